//! The phases of a planned stop, computed from the time without I/O.
//!
//! Callers notice a stop only after two readiness checks, and some have no alternative. Therefore
//! all calls are first served as before, including peers' calls to the local upstream. Then the
//! calls that arrived in that time are completed, which may take long. In the meantime the local
//! upstream remains available to peers, and a new call is accepted if its own deadline ensures that
//! it ends in time. Once the old calls are done, peers are notified, and new calls are refused with
//! the assurance that they have not run; the process exits as soon as no call is left. Shortly before
//! the time limit, every remaining call gets its final answer, so that none is cut off without one.

use crate::Millis;

/// How long all new calls are still served, in milliseconds: requests sent this early must not be
/// cut off.
const SERVING_MS: u64 = 2_300;
/// Fraction of the time limit after which peers are notified in any case. The rest is left for the
/// calls that they sent until then: a few times the usual duration of a call.
const CLOSE_FRACTION: f64 = 0.55;
/// After peers are notified, calls with a deadline of at most this much are still accepted for this
/// long, in milliseconds: running jobs make such calls and would fail without them.
const NESTED_CALL_MS: u64 = 1_300;
/// Callers that check the readiness use another sidecar after this time, in milliseconds.
const NOTICE_MS: u64 = 2_200;
/// All callers are assumed to have left when no request has arrived for this long, in milliseconds.
const QUIET_MS: u64 = 400;
/// The last part of the limit, one divided by this, is used to give the remaining calls their final
/// answers: upstreams still running them would not finish in time.
const ENDING_DIVISOR: u64 = 12;
/// Shortest and longest duration of that part, in milliseconds: the answers must still be sent in
/// it.
const ENDING_MS: std::ops::RangeInclusive<u64> = 100..=500;
/// The last part of that time, one divided by this, is left for the process to exit.
const EXIT_DIVISOR: u64 = 2;
/// When a refused caller should retry, in milliseconds: about when the restarted process is ready.
const RETRY_AFTER_MS: u64 = 1_500;

/// Phase of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop was requested.
    Running,
    /// New calls are served.
    Serving,
    /// Calls that arrived during the serving phase are completed; peers are still served.
    Finishing,
    /// Peers were notified; the remaining calls are completed.
    Closed,
    /// The remaining calls get their final answers, which are being sent.
    Ending,
    /// The process exits.
    Done,
}

/// The activity that the phase depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Activity {
    /// Number of unfinished calls and jobs.
    pub in_flight: usize,
    /// When the last request arrived.
    pub last_request: Millis,
    /// Whether answers have not been sent completely, or callers have not closed behind their last ones.
    pub unsent: bool,
}

/// The planned stop of one process.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    limit_ms: u64,
    since: Option<Millis>,
    closed_at: Option<Millis>,
}

impl StopPlan {
    /// Creates the plan of a process that must exit within `limit_ms` after a stop is requested.
    pub fn new(limit_ms: u64) -> Self {
        StopPlan { limit_ms, since: None, closed_at: None }
    }

    /// Records the request to stop; returns true the first time.
    pub fn begin(&mut self, now: Millis) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        first
    }

    /// Whether a stop was requested.
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Latest deadline of a call that ends before the remaining calls get their final answers; `None` if
    /// no stop was requested.
    pub fn latest_deadline(&self) -> Option<Millis> {
        self.since.map(|since| since + self.limit_ms.saturating_sub(self.ending_ms()))
    }

    /// Time since the stop was requested, in milliseconds.
    pub fn elapsed_ms(&self, now: Millis) -> u64 {
        self.since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether a new call with `left_ms` until its deadline is accepted now.
    pub fn accepts(&self, left_ms: u64, now: Millis) -> bool {
        let Some(since) = self.since else {
            return true;
        };
        let ends_at = now.saturating_add(left_ms).saturating_add(self.ending_ms());
        let ends_by_itself = ends_at <= since + self.limit_ms;
        match self.closed_at {
            None => now < self.served_until(since) || ends_by_itself,
            Some(at) => ends_by_itself && left_ms <= NESTED_CALL_MS && now < at + NESTED_CALL_MS,
        }
    }

    /// Closes the sidecar to peers if that is due, and returns true if so. `oldest_call` is the
    /// arrival time of the oldest unfinished call.
    pub fn close(&mut self, oldest_call: Option<Millis>, now: Millis) -> bool {
        let Some(since) = self.since.filter(|_| self.closed_at.is_none()) else {
            return false;
        };
        let served_until = self.served_until(since);
        let finished = oldest_call.is_none_or(|at| at >= served_until);
        let latest = since + (self.limit_ms as f64 * CLOSE_FRACTION) as u64;
        let due = now >= served_until && (finished || now >= latest);
        if due {
            self.closed_at = Some(now);
        }
        due
    }

    fn served_until(&self, since: Millis) -> Millis {
        since + SERVING_MS.min(self.limit_ms / 2)
    }

    fn ending_ms(&self) -> u64 {
        (self.limit_ms / ENDING_DIVISOR).clamp(*ENDING_MS.start(), *ENDING_MS.end())
    }

    /// When a refused caller should retry, in milliseconds from now.
    pub fn retry_after_ms(&self) -> u64 {
        RETRY_AFTER_MS
    }

    /// Whether the process must exit regardless of what is left.
    pub fn is_at_limit(&self, now: Millis) -> bool {
        let ending_ms = self.ending_ms() / EXIT_DIVISOR;
        self.since.is_some_and(|since| now + ending_ms >= since + self.limit_ms)
    }

    /// The current phase.
    pub fn phase(&self, activity: Activity, now: Millis) -> StopPhase {
        let Some(since) = self.since else {
            return StopPhase::Running;
        };
        let limit = since + self.limit_ms;
        let ending_ms = self.ending_ms();
        if self.is_at_limit(now) {
            return StopPhase::Done;
        }
        if now + ending_ms >= limit {
            let answered = activity.in_flight == 0 && !activity.unsent;
            return if answered { StopPhase::Done } else { StopPhase::Ending };
        }
        let quiet = now >= activity.last_request + QUIET_MS && now >= since + NOTICE_MS;
        let closed = self.closed_at.is_some();
        if activity.in_flight == 0 && !activity.unsent && (quiet || closed) {
            return StopPhase::Done;
        }
        match closed {
            true => StopPhase::Closed,
            false if now < self.served_until(since) => StopPhase::Serving,
            false => StopPhase::Finishing,
        }
    }
}
