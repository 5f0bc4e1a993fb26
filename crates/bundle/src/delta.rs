//! Updates from one bundle to another: object deltas and compressed snapshots.

use crate::object::HashedObject;
use crate::{Bundle, Digest, Object, ObjectId, Problem, LIMITS};
use serde::{Deserialize, Serialize};
use snafu::{ensure, OptionExt, Snafu};
use speedy::{Readable, Writable};
use std::sync::Arc;

/// Compression level of snapshots; 3 is the library's default trade.
const SNAPSHOT_COMPRESSION_LEVEL: i32 = 3;

/// What turns the bundle `base` into the bundle `target`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Delta {
    /// Digest of the bundle to start from.
    pub base: Digest,
    /// Digest of the result.
    pub target: Digest,
    /// Objects to leave out.
    #[speedy(length_type = u64_varint)]
    pub removed: Vec<ObjectId>,
    /// Objects to add or replace.
    #[speedy(length_type = u64_varint)]
    pub upserts: Vec<Object>,
}

/// A way to bring a reader to a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum BundleUpdate {
    /// The reader has it already.
    Unchanged {
        /// Digest of what it has.
        target: Digest,
    },
    /// Changes to the bundle the reader said it has.
    Delta(Delta),
    /// The whole, compressed.
    Snapshot {
        /// Digest of the result.
        target: Digest,
        /// zstd frame over [`Bundle::encode`].
        compressed: Vec<u8>,
    },
}

/// Why an update was not applied; the bundle held stays as it was.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum UpdateError {
    /// The delta starts from another bundle.
    #[snafu(display("the delta starts from {base:?}, not from {held:?}"))]
    WrongBase {
        /// The delta's base.
        base: Digest,
        /// What is held.
        held: Digest,
    },
    /// The result does not have the digest announced.
    #[snafu(display("the result has digest {found:?} instead of {expected:?}"))]
    WrongResult {
        /// What came out.
        found: Digest,
        /// What was announced.
        expected: Digest,
    },
    /// The bytes could not be decoded.
    #[snafu(display("the update cannot be decoded"))]
    Undecodable,
    /// The result breaks a rule of bundles.
    #[snafu(display("the bundle is not valid: {problem}"))]
    Invalid {
        /// The first problem.
        problem: String,
    },
}

impl Delta {
    /// The difference between two bundles.
    pub fn between(base: &Bundle, target: &Bundle) -> Delta {
        let removed =
            base.objects().keys().filter(|id| !target.objects().contains_key(id)).cloned();
        let changed = target.objects().iter().filter(|(id, hashed)| {
            base.objects().get(id).map(|held| held.digest) != Some(hashed.digest)
        });
        Delta {
            base: base.digest(),
            target: target.digest(),
            removed: removed.collect(),
            upserts: changed.map(|(_, hashed)| hashed.object.clone()).collect(),
        }
    }

    /// Bytes on the wire.
    pub fn encoded_size(&self) -> usize {
        Writable::<speedy::LittleEndian>::bytes_needed(self).unwrap_or(usize::MAX)
    }
}

/// The smaller of a delta from `base`, if the sender knows it, and a compressed snapshot.
pub fn best_update(base: Option<&Bundle>, target: &Bundle) -> BundleUpdate {
    if base.is_some_and(|base| base.digest() == target.digest()) {
        return BundleUpdate::Unchanged { target: target.digest() };
    }
    let delta = base.map(|base| Delta::between(base, target));
    // A delta smaller than this cannot lose against a compressed snapshot with its frame; the
    // snapshot then need not be made.
    const SURELY_SMALLER_BYTES: usize = 512;
    match delta {
        Some(delta) if delta.encoded_size() <= SURELY_SMALLER_BYTES => BundleUpdate::Delta(delta),
        Some(delta) => smaller(delta, snapshot_of(target)),
        None => snapshot_of(target),
    }
}

fn smaller(delta: Delta, snapshot: BundleUpdate) -> BundleUpdate {
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
    /// Digest of the result.
    pub fn target(&self) -> Digest {
        match self {
            BundleUpdate::Unchanged { target } | BundleUpdate::Snapshot { target, .. } => *target,
            BundleUpdate::Delta(delta) => delta.target,
        }
    }

    /// Builds the new bundle beside the held one, which was accepted before; the result is complete
    /// and valid or an error. It shares the memory of every object that the held one has as well.
    pub fn apply(&self, held: &Bundle) -> Result<Bundle, UpdateError> {
        match self {
            BundleUpdate::Unchanged { target } => accept(held.clone(), *target, &[]),
            BundleUpdate::Delta(delta) => apply_delta(delta, held),
            BundleUpdate::Snapshot { target, compressed } => {
                accept_whole(BundleUpdate::decompress(compressed)?.sharing_with(held), *target)
            }
        }
    }

    /// Decodes a compressed bundle; references are not checked.
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

fn apply_delta(delta: &Delta, held: &Bundle) -> Result<Bundle, UpdateError> {
    let (base, held_digest) = (delta.base, held.digest());
    ensure!(base == held_digest, WrongBaseSnafu { base, held: held_digest });
    let mut objects = held.objects().clone();
    for id in &delta.removed {
        objects.remove(id);
    }
    for object in &delta.upserts {
        objects.insert(object.id(), Arc::new(HashedObject::of(object.clone())));
    }
    let bundle = Bundle::from_hashed(objects);
    let problems = bundle.check_change(&delta.removed, &delta.upserts);
    accept(bundle, delta.target, &problems)
}

fn accept_whole(bundle: Bundle, expected: Digest) -> Result<Bundle, UpdateError> {
    let problems = bundle.check();
    accept(bundle, expected, &problems)
}

fn accept(bundle: Bundle, expected: Digest, problems: &[Problem]) -> Result<Bundle, UpdateError> {
    let found = bundle.digest();
    ensure!(found == expected, WrongResultSnafu { found, expected });
    match problems.first() {
        Some(problem) => InvalidSnafu { problem: problem.to_string() }.fail(),
        None => Ok(bundle),
    }
}
