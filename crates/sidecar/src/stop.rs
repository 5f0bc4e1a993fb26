//! The planned stop, as a plan in time; pure.
//!
//! Callers notice a stop only after two looks at the readiness, and some have nowhere else to go.
//! So for a while everything is served as before, peers' calls to the upstream beside included.
//! Then the calls that came in that time are finished, which may take long. The upstream beside is
//! still of use to peers meanwhile, and new calls are taken in if their own deadline is sure to end
//! them in time. Once the old calls are done, peers are told and new calls are refused with a
//! promise; the process ends as soon as none is left. Shortly before its limit it gives every call
//! that is left its final answer: none is cut without one.

use crate::Millis;

/// How long all new calls are still served: requests sent this early must not be cut off.
const SERVING_MS: u64 = 2_300;
/// Part of the limit after which peers are told in any case: what they sent until then has the
/// rest, some times as long as calls usually take.
const CLOSING_PART: f64 = 0.55;
/// After peers are told, calls of so short a deadline are still taken in for as long: jobs that run
/// ask for them, and fail without, milliseconds.
const INNER_MS: u64 = 1_300;
/// Callers that look at the readiness go elsewhere within this time.
const NOTICE_MS: u64 = 2_200;
/// Without a request for this long, all callers have gone.
const QUIET_MS: u64 = 400;
/// Part of the limit, at its end, in which calls that are left get their final answer: upstreams
/// that are still at work then would not be done in time.
const ENDING_PART: u64 = 12;
/// Longest and shortest such time, milliseconds: answers must still go out in it.
const ENDING_MS: std::ops::RangeInclusive<u64> = 100..=500;
/// Part of that time that is left for the process to end.
const LEAVING_PART: u64 = 2;
/// When a caller that was refused should come back: about when the next life is ready, ms.
const RETURN_MS: u64 = 1_500;

/// How far a stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// Not asked to stop.
    Running,
    /// New calls are served.
    Serving,
    /// Calls of the time before are finished; peers are served.
    Finishing,
    /// Peers were told; what is left is finished.
    Closed,
    /// Calls that are left get their final answer, which goes out.
    Ending,
    /// The process ends.
    Over,
}

/// What the phase depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Activity {
    /// Calls and jobs without an end.
    pub in_flight: usize,
    /// When the last request came.
    pub last_request: Millis,
    /// Whether answers are not out yet.
    pub unsent: bool,
}

/// The plan of one process.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    limit_ms: u64,
    since: Option<Millis>,
    closed_at: Option<Millis>,
}

impl StopPlan {
    /// A process that must end within `limit_ms` once it is asked to.
    pub fn new(limit_ms: u64) -> Self {
        StopPlan { limit_ms, since: None, closed_at: None }
    }

    /// The process was asked to stop; true the first time.
    pub fn begin(&mut self, now: Millis) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        first
    }

    /// Whether it was asked to stop.
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Whether a new call with so much time left is taken in now.
    pub fn accepts(&self, left_ms: u64, now: Millis) -> bool {
        let Some(since) = self.since else {
            return true;
        };
        let ends_at = now.saturating_add(left_ms).saturating_add(self.ending_ms());
        let ends_by_itself = ends_at <= since + self.limit_ms;
        match self.closed_at {
            None => now < self.served_until(since) || ends_by_itself,
            Some(at) => ends_by_itself && left_ms <= INNER_MS && now < at + INNER_MS,
        }
    }

    /// Takes down that peers are told, if that is due; true if it is. `oldest_call` is when the
    /// oldest call without an end came.
    pub fn close(&mut self, oldest_call: Option<Millis>, now: Millis) -> bool {
        let Some(since) = self.since.filter(|_| self.closed_at.is_none()) else {
            return false;
        };
        let served_until = self.served_until(since);
        let finished = oldest_call.is_none_or(|at| at >= served_until);
        let latest = since + (self.limit_ms as f64 * CLOSING_PART) as u64;
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
        (self.limit_ms / ENDING_PART).clamp(*ENDING_MS.start(), *ENDING_MS.end())
    }

    /// When a refused caller should come back, milliseconds from now.
    pub fn retry_after_ms(&self) -> u64 {
        RETURN_MS
    }

    /// Whether the process must end, whatever is left.
    pub fn is_at_limit(&self, now: Millis) -> bool {
        let ending_ms = self.ending_ms() / LEAVING_PART;
        self.since.is_some_and(|since| now + ending_ms >= since + self.limit_ms)
    }

    /// The phase now.
    pub fn phase(&self, activity: Activity, now: Millis) -> StopPhase {
        let Some(since) = self.since else {
            return StopPhase::Running;
        };
        let limit = since + self.limit_ms;
        let ending_ms = self.ending_ms();
        if self.is_at_limit(now) {
            return StopPhase::Over;
        }
        if now + ending_ms >= limit {
            let answered = activity.in_flight == 0 && !activity.unsent;
            return if answered { StopPhase::Over } else { StopPhase::Ending };
        }
        let quiet = now >= activity.last_request + QUIET_MS && now >= since + NOTICE_MS;
        let closed = self.closed_at.is_some();
        if activity.in_flight == 0 && !activity.unsent && (quiet || closed) {
            return StopPhase::Over;
        }
        match closed {
            true => StopPhase::Closed,
            false if now < self.served_until(since) => StopPhase::Serving,
            false => StopPhase::Finishing,
        }
    }
}
