//! Rate limit that the upstream states in its answers.
//!
//! It binds all machines together and has no end of its own. Of the calls that started before it
//! was known nothing is assumed but that they used the burst: a process that has just started must
//! not give the upstream a second one.

use crate::rate_limiter::RateLimiter;
use crate::{Millis, RateLimit};
use mesh::CallRate;

/// Number of calls that may exceed the stated rate after an idle period. Calls do not come evenly,
/// so without a burst a part of the rate would remain unused. Upstreams tolerate five calls beyond
/// it within some seconds.
const BURST: f64 = 3.0;
/// Lowest rate at which the upstream is still called, calls per second: without any call, no answer
/// could tell that the limit was raised or lifted.
const MIN_RATE_PER_S: f64 = 0.2;

/// Rate limiter for an upstream that states a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedLimit {
    limit: Option<RateLimit>,
    limiter: RateLimiter,
}

impl StatedLimit {
    /// Sets the stated rate; `None` without a limit. The first call under a new limit starts one
    /// interval later; a change of the limit keeps the number of calls that have used it.
    pub fn set(&mut self, rate: Option<CallRate>, now: Millis) {
        let limit =
            rate.map(|rate| RateLimit { per_s: rate.per_s().max(MIN_RATE_PER_S), burst: BURST });
        match (self.limit, limit) {
            (Some(previous), Some(limit)) => self.limiter.rescale(previous, limit, now),
            (None, Some(limit)) => {
                self.limiter.use_up_burst(limit, now);
                self.limiter.note_start(limit, now);
            }
            (_, None) => {}
        }
        self.limit = limit;
    }

    /// Whether a limit is stated.
    pub fn is_set(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns when a call with `ahead` calls in front of it may start.
    pub fn room_at(&self, ahead: usize, now: Millis) -> Millis {
        self.limit.map_or(now, |limit| self.limiter.room_at(limit, ahead, now))
    }

    /// Records that a call starts now.
    pub fn note_start(&mut self, now: Millis) {
        if let Some(limit) = self.limit {
            self.limiter.note_start(limit, now);
        }
    }
}
