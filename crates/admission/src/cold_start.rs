//! Rate limit for calls to a cold upstream.
//!
//! An upstream that has just started sustains a limited rate of calls and collapses well above it.
//! The limit guards against a thundering herd: an upstream that comes back idle looks best to all
//! senders at once, and after a total power loss every upstream of a service is cold while all callers
//! return. Calls beyond the rate are refused at once with the time at which there is room, instead of
//! overloading the upstream.

use crate::rate_limiter::RateLimiter;
use crate::{Millis, RateLimit};

/// How long calls count that started while the upstream was considered warm, milliseconds.
const MEMORY_MS: f64 = 1_000.0;
/// Interval between checks while the rate limit of the service is not known yet, milliseconds.
const UNKNOWN_RATE_POLL_MS: Millis = 20;

/// Knowledge of the rate limit for cold upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
enum Knowledge {
    /// Not known yet; there may be a limit.
    #[default]
    Unknown,
    /// Calls are limited to this rate.
    Limited(RateLimit),
    /// Calls are not limited.
    Unlimited,
}

/// Rate limiter for an upstream that applies while the upstream is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    rate: Knowledge,
    until: Millis,
    limiter: RateLimiter,
}

impl ColdStart {
    /// Sets the rate limit for cold upstreams of the service; `None` for no limit. When a rate is first
    /// known, the burst counts as used up, because the previous process of this sidecar may have
    /// used it.
    pub fn set_rate(&mut self, rate: Option<RateLimit>, now: Millis) {
        let known = rate.filter(|rate| rate.per_s > 0.0);
        if let (Knowledge::Unknown, Some(rate)) = (self.rate, known) {
            self.limiter.use_up_burst(rate, now);
        }
        self.rate = known.map_or(Knowledge::Unlimited, Knowledge::Limited);
    }

    /// Sets the end of the cold phase.
    pub fn set_until(&mut self, until: Millis) {
        self.until = until;
    }

    /// Records that another incarnation has taken over, which has not received any calls yet. Calls to
    /// the previous one are still charged, up to one burst, since reports of the two incarnations may
    /// arrive out of order.
    pub fn restarted(&mut self, now: Millis) {
        if let Knowledge::Limited(rate) = self.rate {
            self.limiter.forget_beyond_burst(rate, now);
        }
    }

    /// Returns when the next call may start; `now` if it may start at once.
    pub fn next_at(&self, now: Millis) -> Millis {
        self.room_at(0, now)
    }

    /// Returns when a call with `ahead` calls in front of it may start.
    pub fn room_at(&self, ahead: usize, now: Millis) -> Millis {
        if now >= self.until {
            return now;
        }
        let rate = match self.rate {
            Knowledge::Unknown => return self.until.min(now + UNKNOWN_RATE_POLL_MS),
            Knowledge::Unlimited => return now,
            Knowledge::Limited(rate) => rate,
        };
        self.limiter.room_at(rate, ahead, now).min(self.until)
    }

    /// Records that a call starts now. Calls of the last second also count if they started while the
    /// upstream was considered warm: it may have become cold before it reported that.
    pub fn note_start(&mut self, now: Millis) {
        if let Knowledge::Limited(rate) = self.rate {
            self.limiter.note_start(rate, now);
            self.limiter.forget_after(now as f64 + MEMORY_MS);
        }
    }
}
