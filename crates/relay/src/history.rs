//! Bundles a relay holds: those in use, and earlier ones as bases for deltas.

use bundle::{best_update, Bundle, BundleUpdate, Digest};
use std::collections::{BTreeMap, VecDeque};

/// Objects referenced by all bundles held; bundles share unchanged objects, so this bounds the
/// size of their indexes to about 25 MB.
const MAX_OBJECT_REFERENCES: usize = 300_000;
/// Updates kept ready for the next proxy with the same base.
const MAX_CACHED_UPDATES: usize = 16;

/// Bundles by digest, oldest first.
#[derive(Clone, Debug)]
pub struct BundleHistory {
    bundles: BTreeMap<Digest, Bundle>,
    order: VecDeque<Digest>,
    references: usize,
    cached: VecDeque<(Digest, Digest, BundleUpdate)>,
}

impl Default for BundleHistory {
    fn default() -> Self {
        let empty = Bundle::default();
        let digest = empty.digest();
        BundleHistory {
            bundles: BTreeMap::from([(digest, empty)]),
            order: VecDeque::from([digest]),
            references: 0,
            cached: VecDeque::new(),
        }
    }
}

impl BundleHistory {
    /// A bundle held.
    pub fn get(&self, digest: &Digest) -> Option<&Bundle> {
        self.bundles.get(digest)
    }

    /// Digests held, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &Digest> {
        self.order.iter().rev()
    }

    /// Adds a bundle and drops the oldest beyond the limit, except those `in_use`.
    pub fn insert(&mut self, bundle: Bundle, in_use: &[Digest]) {
        let digest = bundle.digest();
        self.order.retain(|held| *held != digest);
        self.order.push_back(digest);
        let objects = bundle.objects().len();
        if self.bundles.insert(digest, bundle).is_none() {
            self.references += objects;
        }
        while self.references > MAX_OBJECT_REFERENCES {
            let oldest = self.order.iter().position(|held| !in_use.contains(held));
            let Some(dropped) = oldest.and_then(|position| self.order.remove(position)) else {
                return;
            };
            let objects = self.bundles.remove(&dropped).map_or(0, |gone| gone.objects().len());
            self.references -= objects;
        }
    }

    /// The smallest update from `base` to `target`; `None` if `target` is not held.
    pub fn update(&mut self, base: &Digest, target: &Digest) -> Option<BundleUpdate> {
        let found = self.cached.iter().find(|(from, to, _)| from == base && to == target);
        if let Some((_, _, update)) = found {
            return Some(update.clone());
        }
        let update = best_update(self.bundles.get(base), self.bundles.get(target)?);
        self.cached.push_back((*base, *target, update.clone()));
        if self.cached.len() > MAX_CACHED_UPDATES {
            self.cached.pop_front();
        }
        Some(update)
    }
}
