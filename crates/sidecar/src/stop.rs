//! The planned stop, as a plan in time; pure.
//!
//! Callers notice a stop only after two looks at the readiness, and some have nowhere else to go.
//! So for a while everything is served as before, peers' calls to the upstream beside included;
//! then peers are told, new calls are refused with a promise while those that run are finished,
//! and the process ends as soon as none is left. Shortly before its limit it gives every call that
//! is left its final answer: none is cut without one.

use crate::Millis;

/// How long new calls are still served: requests sent this early must not be cut off.
const SERVING_MS: u64 = 2_300;
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
    /// New calls are refused; those that run are finished.
    Refusing,
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
}

impl StopPlan {
    /// A process that must end within `limit_ms` once it is asked to.
    pub fn new(limit_ms: u64) -> Self {
        StopPlan { limit_ms, since: None }
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

    /// Whether new calls are refused now.
    pub fn refuses(&self, now: Millis) -> bool {
        self.since.is_some_and(|since| now >= since + SERVING_MS.min(self.limit_ms / 2))
    }

    /// When a refused caller should come back, milliseconds from now.
    pub fn retry_after_ms(&self) -> u64 {
        RETURN_MS
    }

    /// The phase now.
    pub fn phase(&self, activity: Activity, now: Millis) -> StopPhase {
        let Some(since) = self.since else {
            return StopPhase::Running;
        };
        let limit = since + self.limit_ms;
        let ending_ms = (self.limit_ms / ENDING_PART).clamp(*ENDING_MS.start(), *ENDING_MS.end());
        if now + ending_ms / LEAVING_PART >= limit {
            return StopPhase::Over;
        }
        if now + ending_ms >= limit {
            let answered = activity.in_flight == 0 && !activity.unsent;
            return if answered { StopPhase::Over } else { StopPhase::Ending };
        }
        let refuses = self.refuses(now);
        let quiet = now >= activity.last_request + QUIET_MS && now >= since + NOTICE_MS;
        if activity.in_flight == 0 && !activity.unsent && (quiet || refuses) {
            return StopPhase::Over;
        }
        if refuses {
            StopPhase::Refusing
        } else {
            StopPhase::Serving
        }
    }
}
