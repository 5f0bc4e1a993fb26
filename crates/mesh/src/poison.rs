//! Poison requests, which may crash the upstreams that run them, as reported between nodes.

use crate::NodeAddress;
use speedy::{Readable, Writable};
use std::fmt;

/// Identifies a request by the content that upstreams see; equal on all nodes and for all retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one crash of an upstream; equal on all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An unannounced exit of an upstream, with the requests that it was running.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CrashReport {
    /// The upstream's sidecar; instance ids are not necessarily unique across nodes.
    pub node: NodeAddress,
    /// Incarnation that exited; duplicate reports of it count once.
    pub instance: String,
    /// Requests that it was running, except those that upstreams recently completed.
    pub running: Vec<Fingerprint>,
}

/// A request that is not forwarded to any upstream.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Known crashes attributed to it, newest last. Empty if none were reported, for example by
    /// sidecars of an earlier version.
    pub crashes: Vec<CrashId>,
    /// Remaining time in quarantine, milliseconds.
    pub left_ms: u64,
}

/// Clears a request of a set of crashes. Crashes that are not listed still count against the
/// request, so the order in which nodes receive crash reports and clearings does not matter.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Clearing {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes that were known to the node that cleared it.
    pub crashes: Vec<CrashId>,
}

/// Minimum number of crashes that puts a request in quarantine.
const MIN_QUARANTINE_CRASHES: usize = 2;

impl Clearing {
    /// Whether it lists enough crashes for the request to have been in quarantine.
    pub fn ends_quarantine(&self) -> bool {
        self.crashes.len() >= MIN_QUARANTINE_CRASHES
    }
}

/// An event concerning a poison request. Events may be delivered more than once, or late.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum PoisonEvent {
    /// An upstream crashed.
    Crash(CrashReport),
    /// An upstream completed a suspected request, or an operator cleared it.
    Cleared(Clearing),
    /// A request is in quarantine; sent to a coordinator that may have lost this state.
    Quarantined(QuarantineEntry),
}

/// A [`PoisonEvent`] with its age.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PoisonNotice {
    /// Time since it was first reported, milliseconds.
    pub age_ms: u64,
    /// The event.
    pub event: PoisonEvent,
}
