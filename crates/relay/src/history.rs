//! Bundles that a relay stores: those in use, and earlier ones as delta bases.

use bundle::{best_update, Bundle, BundleUpdate, Digest};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of object references in all stored bundles. Bundles share unchanged objects, so
/// this bounds the size of their indexes to about 25 MB.
const MAX_OBJECT_REFERENCES: usize = 300_000;
/// Maximum number of updates cached for other proxies with the same base.
const MAX_CACHED_UPDATES: usize = 16;

/// Stored bundles and recently computed updates between them.
#[derive(Clone, Debug)]
pub struct BundleHistory {
    bundles: BTreeMap<Digest, Bundle>,
    /// Digests, oldest first.
    order: VecDeque<Digest>,
    object_references: usize,
    /// Updates with the digests of their base and target.
    cached_updates: VecDeque<(Digest, Digest, BundleUpdate)>,
}

impl Default for BundleHistory {
    fn default() -> Self {
        let empty = Bundle::default();
        let digest = empty.digest();
        BundleHistory {
            bundles: BTreeMap::from([(digest, empty)]),
            order: VecDeque::from([digest]),
            object_references: 0,
            cached_updates: VecDeque::new(),
        }
    }
}

impl BundleHistory {
    /// Returns the bundle with this digest, if it is stored.
    pub fn get(&self, digest: &Digest) -> Option<&Bundle> {
        self.bundles.get(digest)
    }

    /// Digests of the stored bundles, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &Digest> {
        self.order.iter().rev()
    }

    /// Adds a bundle and evicts the oldest ones beyond the limit, except those `in_use`.
    pub fn insert(&mut self, bundle: Bundle, in_use: &[Digest]) {
        let digest = bundle.digest();
        self.order.retain(|stored| *stored != digest);
        self.order.push_back(digest);
        let objects = bundle.objects().len();
        if self.bundles.insert(digest, bundle).is_none() {
            self.object_references += objects;
        }
        while self.object_references > MAX_OBJECT_REFERENCES {
            let oldest = self.order.iter().position(|stored| !in_use.contains(stored));
            let Some(evicted) = oldest.and_then(|position| self.order.remove(position)) else {
                return;
            };
            let objects =
                self.bundles.remove(&evicted).map_or(0, |removed| removed.objects().len());
            self.object_references -= objects;
        }
    }

    /// Returns the smallest update from `base` to `target`; `None` if `target` is not stored.
    pub fn update(&mut self, base: &Digest, target: &Digest) -> Option<BundleUpdate> {
        let found = self.cached_updates.iter().find(|(from, to, _)| from == base && to == target);
        if let Some((_, _, update)) = found {
            return Some(update.clone());
        }
        let update = best_update(self.bundles.get(base), self.bundles.get(target)?);
        self.cached_updates.push_back((*base, *target, update.clone()));
        if self.cached_updates.len() > MAX_CACHED_UPDATES {
            self.cached_updates.pop_front();
        }
        Some(update)
    }
}
