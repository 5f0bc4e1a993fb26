//! Rate limit for calls to a cold upstream.
//!
//! An upstream that has just started sustains a limited rate of calls and collapses well above it.
//! The limit guards against a thundering herd: an upstream that comes back idle looks best to all
//! senders at once, and after a total power loss every upstream of a service is cold while all callers
//! return. Calls are admitted at an even rate with a small burst (the generic cell rate algorithm), so
//! that admitted calls wait as little as possible. The others are refused at once with the time at
//! which there is room, instead of overloading the upstream.

use crate::Millis;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Interval between checks while the rate limit of the service is not known yet, milliseconds.
const UNKNOWN_RATE_POLL_MS: Millis = 20;

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Sustained rate, calls per second.
    pub per_s: f64,
    /// Number of calls that may exceed the sustained rate after an idle period.
    pub burst: f64,
}

/// Knowledge of the rate limit for cold upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
enum RateLimit {
    /// Not known yet; there may be a limit.
    #[default]
    Unknown,
    /// Calls are limited to this rate.
    Limited(ColdRate),
    /// Calls are not limited.
    Unlimited,
}

/// Rate limiter for an upstream that applies while the upstream is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    rate: RateLimit,
    until: Millis,
    /// Theoretical arrival time of the next call, milliseconds: when it would start if calls were evenly
    /// spaced.
    next_arrival_ms: f64,
}

impl ColdStart {
    /// Sets the rate limit for cold upstreams of the service; `None` for no limit. When a rate is first
    /// known, the burst counts as used up, because the previous process of this sidecar may have
    /// used it.
    pub fn set_rate(&mut self, rate: Option<ColdRate>, now: Millis) {
        let known = rate.filter(|rate| rate.per_s > 0.0);
        if let (RateLimit::Unknown, Some(rate)) = (self.rate, known) {
            self.next_arrival_ms = now as f64 + burst_ms(rate);
        }
        self.rate = known.map_or(RateLimit::Unlimited, RateLimit::Limited);
    }

    /// Sets the end of the cold phase.
    pub fn set_until(&mut self, until: Millis) {
        self.until = until;
    }

    /// Records that another incarnation has taken over, which has not received any calls yet. Calls to
    /// the previous one are still charged, up to one burst, since reports of the two incarnations may
    /// arrive out of order.
    pub fn restarted(&mut self, now: Millis) {
        if let RateLimit::Limited(rate) = self.rate {
            self.next_arrival_ms = self.next_arrival_ms.min(now as f64 + burst_ms(rate));
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
            RateLimit::Unknown => return self.until.min(now + UNKNOWN_RATE_POLL_MS),
            RateLimit::Unlimited => return now,
            RateLimit::Limited(rate) => rate,
        };
        let interval_ms = MILLIS_PER_SECOND / rate.per_s;
        let next_arrival_ms = self.next_arrival_ms.max(now as f64) + interval_ms * ahead as f64;
        let at = (next_arrival_ms - rate.burst * interval_ms).ceil().max(now as f64) as Millis;
        at.min(self.until)
    }

    /// Records that a call starts now. Calls of the last second also count if they started while the
    /// upstream was considered warm: it may have become cold before it reported that.
    pub fn note_start(&mut self, now: Millis) {
        if let RateLimit::Limited(rate) = self.rate {
            let latest = now as f64 + MILLIS_PER_SECOND;
            let interval_ms = MILLIS_PER_SECOND / rate.per_s;
            self.next_arrival_ms = (self.next_arrival_ms.max(now as f64) + interval_ms).min(latest);
        }
    }
}

fn burst_ms(rate: ColdRate) -> f64 {
    rate.burst * MILLIS_PER_SECOND / rate.per_s
}
