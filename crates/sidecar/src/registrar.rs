//! Acknowledgements of the upstream's departure.
//!
//! An acknowledged departure is binding, even if this process is killed. The acknowledgement is
//! therefore deferred until as many coordinators as required, or as can be reached in time, hold
//! the report.

use crate::net::ConnectionId;
use crate::Millis;
use http1::Slot;
use mesh::LastRecord;

/// Number of coordinators that must hold the report of a departure.
const REQUIRED_HOLDERS: usize = 2;
/// Longest wait for them, in milliseconds; the upstream expects its answer within one second.
const MAX_WAIT_MS: u64 = 600;

/// Whether a record is the last word of the previous process of this sidecar, so that no departure
/// was acknowledged that it does not contain. `reported_at` is when this process, whose clock starts
/// with it, reported itself to the coordinator that sent the record.
///
/// That coordinator has all that the previous process sent until their link ended. A departure that
/// was reported afterwards and that no other coordinator holds was acknowledged at the earliest
/// [`MAX_WAIT_MS`] after that end, and before this process started.
pub fn is_last_word(last: &LastRecord, reported_at: Millis) -> bool {
    last.link_ended_ms.is_some_and(|ended_ms| u64::from(ended_ms) < reported_at + MAX_WAIT_MS)
}

/// A deferred acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingAcknowledgement {
    /// Connection of the upstream.
    pub connection: ConnectionId,
    /// Position of the request on the connection.
    pub slot: Slot,
    /// Sequence number of the report that must be held.
    pub sequence: u64,
    /// When the acknowledgement is sent in any case.
    pub until: Millis,
}

/// All deferred acknowledgements.
#[derive(Debug, Default)]
pub struct Registrar {
    pending: Vec<PendingAcknowledgement>,
}

impl Registrar {
    /// Defers an acknowledgement until the report is held.
    pub fn defer(&mut self, connection: ConnectionId, slot: Slot, sequence: u64, now: Millis) {
        let until = now + MAX_WAIT_MS;
        self.pending.push(PendingAcknowledgement { connection, slot, sequence, until });
    }

    /// Takes the acknowledgements that may be sent now; `acknowledged_by` returns how many
    /// coordinators hold a report, and how many are linked.
    pub fn ready(
        &mut self,
        acknowledged_by: impl Fn(u64) -> (usize, usize),
        now: Millis,
    ) -> Vec<PendingAcknowledgement> {
        let is_ready = |pending: &PendingAcknowledgement| {
            let (holders, linked) = acknowledged_by(pending.sequence);
            holders >= REQUIRED_HOLDERS.min(linked.max(1)) || now >= pending.until
        };
        let ready = self.pending.iter().filter(|pending| is_ready(pending)).copied().collect();
        self.pending.retain(|pending| !is_ready(pending));
        ready
    }

    /// When the next acknowledgement must be sent at the latest.
    pub fn next_tick(&self) -> Option<Millis> {
        self.pending.iter().map(|pending| pending.until).min()
    }
}
