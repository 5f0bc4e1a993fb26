//! Capped exponential backoff with full jitter, for reconnects.
//!
//! Full jitter (Brooker, "Exponential Backoff And Jitter", 2015) spreads the reconnects of clients
//! that lost their server at the same moment evenly over the whole interval.

use std::time::Duration;

/// Computes the delay before each retry.
#[derive(Clone, Debug)]
pub struct Backoff {
    base_ms: u64,
    cap_ms: u64,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// A backoff whose maximum delay starts at `base_ms` and doubles with each failure, up to
    /// `cap_ms`.
    pub fn new(base_ms: u64, cap_ms: u64, seed: u64) -> Self {
        Backoff { base_ms, cap_ms, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Records a failure and returns the delay before the next attempt, in milliseconds.
    pub fn next_delay_ms(&mut self) -> u64 {
        let max_delay_ms = self.base_ms.saturating_mul(1 << self.failures.min(16)).min(self.cap_ms);
        self.failures += 1;
        self.rng.u64(0..=max_delay_ms)
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        Duration::from_millis(self.next_delay_ms())
    }

    /// Resets the delay to `base_ms` after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
