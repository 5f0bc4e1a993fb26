//! Adaptive concurrency limit for one upstream: grows while calls succeed, shrinks on overload.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, 1989): proxies that do not
//! communicate with each other converge to fair shares of an upstream's slots.

const INITIAL_LIMIT: f64 = 8.0;
const MIN_LIMIT: f64 = 1.0;
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum interval between two decreases, so that a burst of rejections counts once, in ms.
const DECREASE_INTERVAL_MS: u64 = 100;

/// Adaptive limit on the number of calls in flight.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    ceiling: u32,
    last_decrease_ms: Option<u64>,
}

impl AdaptiveLimit {
    /// Creates a limit that never exceeds `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        AdaptiveLimit {
            limit: INITIAL_LIMIT.min(f64::from(ceiling)),
            ceiling,
            last_decrease_ms: None,
        }
    }

    /// Changes the ceiling, for example when the size of the fleet changes.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.limit = self.limit.min(f64::from(self.ceiling));
    }

    /// Number of calls currently allowed in flight.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Records an answered call; `in_flight` includes the call itself.
    pub fn on_success(&mut self, in_flight: u32) {
        // A limit that is not fully used must not grow: success below it shows nothing about the
        // upstream's capacity.
        if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.ceiling));
        }
    }

    /// Records a call that was shed, failed or timed out.
    pub fn on_overload(&mut self, now_ms: u64) {
        let decreased_recently =
            self.last_decrease_ms.is_some_and(|at| now_ms < at + DECREASE_INTERVAL_MS);
        if !decreased_recently {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.last_decrease_ms = Some(now_ms);
        }
    }
}
