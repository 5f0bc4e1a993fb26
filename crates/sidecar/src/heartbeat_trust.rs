//! Whether a heartbeat proves that the upstream is ready.
//!
//! A heartbeat may arrive seconds after it was sent: later than the departure of its sender, which an
//! earlier process of this sidecar acknowledged. A process that has just started therefore holds it until
//! a coordinator that knows of all acknowledged departures has told them.

use crate::Millis;
use mesh::{Incarnation, InstanceRecord, InstanceState};

/// Time from the start of this process after which a heartbeat was most likely sent since then, in
/// milliseconds.
const LATE_HEARTBEAT_MS: Millis = 3_000;

/// A heartbeat that waits for the coordinators' knowledge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldHeartbeat {
    /// What it states.
    pub record: InstanceRecord,
    /// Its place among the heartbeats of its incarnation.
    pub sequence: u64,
}

impl HeldHeartbeat {
    fn is_before(&self, record: &InstanceRecord, sequence: u64) -> bool {
        self.sequence < sequence && self.record.incarnation().may_equal(&record.incarnation())
    }
}

/// What a process that has just started knows about departures before it.
#[derive(Debug, Default)]
pub struct HeartbeatTrust {
    is_informed: bool,
    /// An incarnation whose departure an earlier process may have acknowledged though no coordinator
    /// held it.
    doubtful: Option<Incarnation>,
    held: Option<HeldHeartbeat>,
}

impl HeartbeatTrust {
    /// Whether a heartbeat may be applied. Otherwise it is held. The clock of `now` starts with this
    /// process.
    ///
    /// Without the coordinators' knowledge, the second heartbeat of an incarnation is trusted if it comes
    /// late enough: one that has left sends none, and two in a row are rarely that late.
    pub fn admits(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) -> bool {
        let is_proven = self.is_informed && !self.is_doubtful(record);
        let follows = self.held.as_ref().is_some_and(|held| held.is_before(record, sequence));
        if is_proven || record.state != InstanceState::Ready {
            return true;
        }
        if now >= LATE_HEARTBEAT_MS && follows {
            self.doubtful = None;
            return true;
        }
        self.held = Some(HeldHeartbeat { record: record.clone(), sequence });
        false
    }

    /// Notes that an earlier process was out of touch with the coordinators for so long that it may have
    /// acknowledged a departure of this incarnation that they do not know of.
    pub fn doubt(&mut self, incarnation: Incarnation) {
        self.doubtful = Some(incarnation);
    }

    /// Notes that a coordinator that knows of all departures has told them; returns the heartbeat that
    /// waited for it.
    pub fn informed(&mut self) -> Option<HeldHeartbeat> {
        self.is_informed = true;
        let is_proven = self.held.as_ref().is_some_and(|held| !self.is_doubtful(&held.record));
        if is_proven {
            self.held.take()
        } else {
            None
        }
    }

    /// Whether a coordinator that knows of all departures has told them.
    pub fn is_informed(&self) -> bool {
        self.is_informed
    }

    fn is_doubtful(&self, record: &InstanceRecord) -> bool {
        let incarnation = record.incarnation();
        self.doubtful.as_ref().is_some_and(|doubtful| doubtful.may_equal(&incarnation))
    }
}
