//! The upstream's registration: its messages, and when they may be acknowledged.
//!
//! Once an end is acknowledged it binds, also across a kill of this process; so the answer waits
//! until coordinators hold it, as many as are needed or can be reached in time.

use crate::net::ConnectionId;
use crate::Millis;
use http1::Slot;

/// Coordinators that must hold the end of an upstream.
const HOLDERS: usize = 2;
/// Longest wait for them, milliseconds; the upstream wants its answer within a second.
const LONGEST_WAIT_MS: u64 = 600;

/// An acknowledgement that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingAcknowledgement {
    /// Connection of the upstream.
    pub connection: ConnectionId,
    /// Place on it.
    pub slot: Slot,
    /// Report that must be held.
    pub sequence: u64,
    /// When it is given all the same.
    pub until: Millis,
}

/// Acknowledgements that wait.
#[derive(Debug, Default)]
pub struct Registrar {
    pending: Vec<PendingAcknowledgement>,
}

impl Registrar {
    /// Lets an acknowledgement wait until the report is held.
    pub fn wait(&mut self, connection: ConnectionId, slot: Slot, sequence: u64, now: Millis) {
        let until = now + LONGEST_WAIT_MS;
        self.pending.push(PendingAcknowledgement { connection, slot, sequence, until });
    }

    /// Takes out what may be acknowledged; `taken_by` tells how many coordinators hold a report,
    /// and how many are linked.
    pub fn ready(
        &mut self,
        taken_by: impl Fn(u64) -> (usize, usize),
        now: Millis,
    ) -> Vec<PendingAcknowledgement> {
        let is_ready = |pending: &PendingAcknowledgement| {
            let (holders, linked) = taken_by(pending.sequence);
            holders >= HOLDERS.min(linked.max(1)) || now >= pending.until
        };
        let ready = self.pending.iter().filter(|pending| is_ready(pending)).copied().collect();
        self.pending.retain(|pending| !is_ready(pending));
        ready
    }

    /// When the next one is given at the latest.
    pub fn next_tick(&self) -> Option<Millis> {
        self.pending.iter().map(|pending| pending.until).min()
    }
}
