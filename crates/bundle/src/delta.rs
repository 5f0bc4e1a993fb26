//! Bundle updates: object deltas and compressed snapshots.

use crate::object::HashedObject;
use crate::{Bundle, Digest, Object, ObjectId, Problem, LIMITS};
use serde::{Deserialize, Serialize};
use snafu::{ensure, OptionExt, Snafu};
use speedy::{Readable, Writable};
use std::sync::Arc;

/// Compression level of snapshots; 3 is the zstd default, a trade-off between speed and size.
const SNAPSHOT_COMPRESSION_LEVEL: i32 = 3;

/// Changes that turn the bundle `base` into the bundle `target`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Delta {
    /// Digest of the bundle the delta applies to.
    pub base: Digest,
    /// Digest of the resulting bundle.
    pub target: Digest,
    /// Objects to remove.
    #[speedy(length_type = u64_varint)]
    pub removed: Vec<ObjectId>,
    /// Objects to add or replace.
    #[speedy(length_type = u64_varint)]
    pub upserts: Vec<Object>,
}

/// An update that brings a reader to a target bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum BundleUpdate {
    /// The reader already has the target bundle.
    Unchanged {
        /// Digest of the target bundle.
        target: Digest,
    },
    /// Changes relative to a bundle that the reader reported to hold.
    Delta(Delta),
    /// The complete bundle, compressed.
    Snapshot {
        /// Digest of the target bundle.
        target: Digest,
        /// zstd frame over the output of [`Bundle::encode`].
        compressed: Vec<u8>,
    },
}

/// Reason an update was not applied; the current bundle is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum UpdateError {
    /// The delta applies to another bundle.
    #[snafu(display("the delta starts from {base:?}, not from {current:?}"))]
    WrongBase {
        /// Digest of the delta's base.
        base: Digest,
        /// Digest of the current bundle.
        current: Digest,
    },
    /// The digest of the result differs from the announced one.
    #[snafu(display("the result has digest {found:?} instead of {expected:?}"))]
    WrongResult {
        /// Digest of the result.
        found: Digest,
        /// Announced digest.
        expected: Digest,
    },
    /// The compressed bundle could not be decoded.
    #[snafu(display("the update cannot be decoded"))]
    Undecodable,
    /// The resulting bundle fails validation.
    #[snafu(display("the bundle is not valid: {problem}"))]
    Invalid {
        /// The first validation problem.
        problem: String,
    },
}

impl Delta {
    /// Computes the difference between two bundles.
    pub fn between(base: &Bundle, target: &Bundle) -> Delta {
        let removed =
            base.objects().keys().filter(|id| !target.objects().contains_key(id)).cloned();
        let changed = target.objects().iter().filter(|(id, hashed)| {
            base.objects().get(id).map(|known| known.digest) != Some(hashed.digest)
        });
        Delta {
            base: base.digest(),
            target: target.digest(),
            removed: removed.collect(),
            upserts: changed.map(|(_, hashed)| hashed.object.clone()).collect(),
        }
    }

    /// Encoded size, in bytes.
    pub fn encoded_size(&self) -> usize {
        Writable::<speedy::LittleEndian>::bytes_needed(self).unwrap_or(usize::MAX)
    }
}

/// Returns the smaller of a delta from `base`, if it is given, and a compressed snapshot.
pub fn best_update(base: Option<&Bundle>, target: &Bundle) -> BundleUpdate {
    if base.is_some_and(|base| base.digest() == target.digest()) {
        return BundleUpdate::Unchanged { target: target.digest() };
    }
    let delta = base.map(|base| Delta::between(base, target));
    // A delta up to this size is never larger than a compressed snapshot with its frame, so the
    // snapshot need not be built for comparison.
    const ALWAYS_SMALLER_BYTES: usize = 512;
    match delta {
        Some(delta) if delta.encoded_size() <= ALWAYS_SMALLER_BYTES => BundleUpdate::Delta(delta),
        Some(delta) => smaller_update(delta, snapshot_of(target)),
        None => snapshot_of(target),
    }
}

fn smaller_update(delta: Delta, snapshot: BundleUpdate) -> BundleUpdate {
    match &snapshot {
        BundleUpdate::Snapshot { compressed, .. } if compressed.len() < delta.encoded_size() => {
            snapshot
        }
        _ => BundleUpdate::Delta(delta),
    }
}

fn snapshot_of(target: &Bundle) -> BundleUpdate {
    BundleUpdate::Snapshot { target: target.digest(), compressed: BundleUpdate::compress(target) }
}

impl BundleUpdate {
    /// Digest of the target bundle.
    pub fn target(&self) -> Digest {
        match self {
            BundleUpdate::Unchanged { target } | BundleUpdate::Snapshot { target, .. } => *target,
            BundleUpdate::Delta(delta) => delta.target,
        }
    }

    /// Builds the target bundle from the current one, which must be valid. The result is either
    /// complete and valid or an error, and shares memory with `current` for every object they have
    /// in common.
    pub fn apply(&self, current: &Bundle) -> Result<Bundle, UpdateError> {
        match self {
            BundleUpdate::Unchanged { target } => check_result(current.clone(), *target, &[]),
            BundleUpdate::Delta(delta) => apply_delta(delta, current),
            BundleUpdate::Snapshot { target, compressed } => {
                check_snapshot(BundleUpdate::decompress(compressed)?.sharing_with(current), *target)
            }
        }
    }

    /// Decodes a compressed bundle without validating it.
    pub fn decompress(compressed: &[u8]) -> Result<Bundle, UpdateError> {
        let encoded = zstd::bulk::decompress(compressed, 2 * LIMITS.bundle_bytes);
        let encoded = encoded.ok().context(UndecodableSnafu)?;
        Bundle::decode(&encoded).ok().context(UndecodableSnafu)
    }

    /// Compresses a bundle for submission; [`BundleUpdate::decompress`] is the inverse.
    pub fn compress(bundle: &Bundle) -> Vec<u8> {
        zstd::bulk::compress(&bundle.encode(), SNAPSHOT_COMPRESSION_LEVEL)
            .expect("compressing memory cannot fail")
    }
}

fn apply_delta(delta: &Delta, current: &Bundle) -> Result<Bundle, UpdateError> {
    let (base, current_digest) = (delta.base, current.digest());
    ensure!(base == current_digest, WrongBaseSnafu { base, current: current_digest });
    let mut objects = current.objects().clone();
    for id in &delta.removed {
        objects.remove(id);
    }
    for object in &delta.upserts {
        objects.insert(object.id(), Arc::new(HashedObject::of(object.clone())));
    }
    let bundle = Bundle::from_hashed(objects);
    let problems = bundle.check_change(&delta.removed, &delta.upserts);
    check_result(bundle, delta.target, &problems)
}

fn check_snapshot(bundle: Bundle, expected: Digest) -> Result<Bundle, UpdateError> {
    let problems = bundle.check();
    check_result(bundle, expected, &problems)
}

fn check_result(
    bundle: Bundle,
    expected: Digest,
    problems: &[Problem],
) -> Result<Bundle, UpdateError> {
    let found = bundle.digest();
    ensure!(found == expected, WrongResultSnafu { found, expected });
    match problems.first() {
        Some(problem) => InvalidSnafu { problem: problem.to_string() }.fail(),
        None => Ok(bundle),
    }
}
