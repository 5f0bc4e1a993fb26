//! Acknowledgements of the upstream's departure.
//!
//! An acknowledged departure is binding, even if this process is killed. The acknowledgement is
//! therefore deferred until as many coordinators as required, or as can be reached in time, hold
//! the report. One that no coordinator holds binds through the next process, which trusts an old
//! record only if none can have been given after it.

use crate::net::ConnectionId;
use crate::Millis;
use http1::Slot;
use mesh::LastRecord;

/// Number of coordinators that must hold the report of a departure.
const REQUIRED_HOLDERS: usize = 2;
/// Longest wait for them, in milliseconds; the upstream expects its answer within one second.
const MAX_WAIT_MS: u64 = 600;
/// Time after its start in which this process acknowledges nothing that no coordinator holds, in
/// milliseconds. It lets the next process tell whether another one may have done so in between, see
/// [`is_last_word`], and exceeds the time from the last frame of a killed process until the next
/// one runs.
const UNHELD_AFTER_MS: u64 = 2_000;

/// Whether a record is the last word of the process before this one, so that no departure was
/// acknowledged that it does not contain. `reported_at` is when this process, whose clock starts with
/// it, reported itself to the coordinator that sent the record.
///
/// That coordinator has all that the earlier process ever sent it, since their link ended in order.
/// A process that ran in between would have acknowledged nothing unheld in its first
/// [`UNHELD_AFTER_MS`]; so nothing was if the time between the two processes was shorter.
pub fn is_last_word(last: &LastRecord, reported_at: Millis) -> bool {
    last.ended_ms.is_some_and(|ended_ms| u64::from(ended_ms) < reported_at + UNHELD_AFTER_MS)
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
    /// When the report is answered in any case.
    pub until: Millis,
}

/// How the report of a departure is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAnswer {
    /// The departure binds from now on.
    Acknowledged,
    /// No coordinator holds the report yet; the upstream should report again.
    NotHeld,
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

    /// Takes the reports that are to be answered now; `acknowledged_by` returns how many
    /// coordinators hold a report, and how many are linked.
    pub fn ready(
        &mut self,
        acknowledged_by: impl Fn(u64) -> (usize, usize),
        now: Millis,
    ) -> Vec<(PendingAcknowledgement, DepartureAnswer)> {
        let answer = |pending: &PendingAcknowledgement| {
            let (holders, linked) = acknowledged_by(pending.sequence);
            let is_due = now >= pending.until;
            if holders >= REQUIRED_HOLDERS.min(linked.max(1)) || (holders > 0 && is_due) {
                return Some(DepartureAnswer::Acknowledged);
            }
            is_due.then_some(match now < UNHELD_AFTER_MS {
                true => DepartureAnswer::NotHeld,
                false => DepartureAnswer::Acknowledged,
            })
        };
        let mut ready = Vec::new();
        self.pending.retain(|pending| match answer(pending) {
            Some(answer) => {
                ready.push((*pending, answer));
                false
            }
            None => true,
        });
        ready
    }

    /// When the next report must be answered at the latest.
    pub fn next_tick(&self) -> Option<Millis> {
        self.pending.iter().map(|pending| pending.until).min()
    }
}
