//! Rate limiting of calls to an upstream.
//!
//! Calls are admitted at an even rate with a small burst (the generic cell rate algorithm), so that
//! admitted calls wait as little as possible.

use crate::Millis;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A limit on the rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, calls per second.
    pub per_s: f64,
    /// Number of calls that may exceed the sustained rate after an idle period.
    pub burst: f64,
}

impl RateLimit {
    /// Time between two calls at the sustained rate, milliseconds.
    fn interval_ms(self) -> f64 {
        MILLIS_PER_SECOND / self.per_s
    }

    fn burst_ms(self) -> f64 {
        self.burst * self.interval_ms()
    }
}

/// Which calls have used the rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimiter {
    /// Theoretical arrival time of the next call, milliseconds: when it would start if calls were evenly
    /// spaced.
    next_arrival_ms: f64,
}

impl RateLimiter {
    /// Returns when a call with `ahead` calls in front of it may start.
    pub fn room_at(&self, limit: RateLimit, ahead: usize, now: Millis) -> Millis {
        let ahead_ms = limit.interval_ms() * ahead as f64;
        let next_arrival_ms = self.next_arrival_ms.max(now as f64) + ahead_ms;
        (next_arrival_ms - limit.burst_ms()).ceil().max(now as f64) as Millis
    }

    /// Records that a call starts now.
    pub fn note_start(&mut self, limit: RateLimit, now: Millis) {
        self.next_arrival_ms = self.next_arrival_ms.max(now as f64) + limit.interval_ms();
    }

    /// Forgets calls as far as the next one would start later than at `latest`.
    pub fn forget_after(&mut self, latest: f64) {
        self.next_arrival_ms = self.next_arrival_ms.min(latest);
    }

    /// Treats the burst as used: calls that are not known may have used it.
    pub fn use_up_burst(&mut self, limit: RateLimit, now: Millis) {
        self.next_arrival_ms = now as f64 + limit.burst_ms();
    }

    /// Keeps at most the burst as used.
    pub fn forget_beyond_burst(&mut self, limit: RateLimit, now: Millis) {
        self.forget_after(now as f64 + limit.burst_ms());
    }

    /// Keeps the number of calls that have used the rate while the limit changes; at most the burst
    /// and one call, which is all that a limit lets run ahead.
    pub fn rescale(&mut self, previous: RateLimit, limit: RateLimit, now: Millis) {
        let ahead_ms = (self.next_arrival_ms - now as f64).max(0.0);
        let calls = (ahead_ms / previous.interval_ms()).min(previous.burst + 1.0);
        self.next_arrival_ms = now as f64 + calls * limit.interval_ms();
    }
}
