//! Acknowledgements of the upstream's departure.
//!
//! An acknowledged departure is binding, even if this process is killed. The acknowledgement is
//! therefore deferred until as many coordinators as required, or as can be reached in time, hold
//! the report. One that no coordinator holds is given only after [`UNHELD_AFTER_MS`]; it binds
//! through the next process, which trusts a record only if it is younger than that.

use crate::net::ConnectionId;
use crate::Millis;
use http1::Slot;
use mesh::LastRecord;

/// Number of coordinators that must hold the report of a departure.
const REQUIRED_HOLDERS: usize = 2;
/// Longest wait for them, in milliseconds; the upstream expects its answer within one second. Three
/// reports in a row last longer than [`UNHELD_AFTER_MS`].
const MAX_WAIT_MS: u64 = 700;
/// How long a departure has been reported in vain before it is acknowledged though no coordinator
/// holds it, in milliseconds. It exceeds the time from the last frame of a killed process until the
/// next one runs, see [`is_last_word`].
const UNHELD_AFTER_MS: u64 = 2_000;

/// Whether a record is the last word of the processes before this one, so that none of them
/// acknowledged an unheld departure that it does not contain. `reported_at` is when this process,
/// whose clock starts with it, reported itself to the coordinator that sent the record.
///
/// A departure that is missing there was reported after the last contact on that link, by the same
/// process or a later one, and was not acknowledged unheld in the [`UNHELD_AFTER_MS`] that followed.
/// How the link ended makes no difference: a killed process that had not read everything resets it.
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
    /// Since when that report has been waiting.
    pub since: Millis,
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
    /// The latest report that was waited for, and since when.
    latest: Option<(u64, Millis)>,
}

impl Registrar {
    /// Defers an acknowledgement until the report is held. An upstream that reports its departure
    /// again waits for the same report.
    pub fn defer(&mut self, connection: ConnectionId, slot: Slot, sequence: u64, now: Millis) {
        let since = match self.latest {
            Some((latest, since)) if latest == sequence => since,
            _ => now,
        };
        self.latest = Some((sequence, since));
        let until = now + MAX_WAIT_MS;
        self.pending.push(PendingAcknowledgement { connection, slot, sequence, since, until });
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
            is_due.then_some(match now < pending.since + UNHELD_AFTER_MS {
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
