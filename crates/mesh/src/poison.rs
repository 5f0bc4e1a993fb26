//! Requests that may crash their upstreams, as nodes tell each other of them.

use crate::NodeAddress;
use speedy::{Readable, Writable};
use std::fmt;

/// Names a request by what upstreams see of it; the same on all nodes and for all its repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names one end of an upstream; the same on all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An upstream that ended without a word, with the requests that it worked on.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CrashReport {
    /// The sidecar beside it. Ids of incarnations need not differ between nodes.
    pub node: NodeAddress,
    /// Incarnation that ended; a report of it that is told twice counts once.
    pub instance: String,
    /// What it worked on, without requests that upstreams ran well a moment before.
    pub running: Vec<Fingerprint>,
}

/// A request that is kept from all upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuarantineEntry {
    /// Which.
    pub fingerprint: Fingerprint,
    /// Ends of upstreams that speak against it, as far as is known; the newest last. Empty if they were
    /// not told, as by sidecars of an earlier version.
    pub crashes: Vec<CrashId>,
    /// How much longer it is kept from them, milliseconds.
    pub left_ms: u64,
}

/// A request that is cleared of some ends of upstreams. An end that it does not name still speaks
/// against the request, so that it does not matter in which order nodes hear of them.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Clearing {
    /// Which.
    pub fingerprint: Fingerprint,
    /// Those that were known where it was cleared.
    pub crashes: Vec<CrashId>,
}

/// Ends that a quarantine must rest on.
const FEWEST_CRASHES: usize = 2;

impl Clearing {
    /// Whether it names enough for a quarantine to have rested on them.
    pub fn ends_quarantine(&self) -> bool {
        self.crashes.len() >= FEWEST_CRASHES
    }
}

/// What nodes tell each other of such requests. Each may be told twice, or late.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum PoisonEvent {
    /// An upstream ended.
    Crash(CrashReport),
    /// An upstream ran a suspect and did not end, or an operator cleared it.
    Cleared(Clearing),
    /// A request is in quarantine; told to a coordinator that may have forgotten.
    Quarantined(QuarantineEntry),
}

/// Such news with its age.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PoisonNotice {
    /// How long ago it was first told, milliseconds.
    pub age_ms: u64,
    /// What it is.
    pub event: PoisonEvent,
}
