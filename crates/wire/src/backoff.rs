//! Waiting between reconnects: exponential with full jitter and a cap.
//!
//! Full jitter (Brooker, "Exponential Backoff And Jitter", 2015) spreads a herd that lost its
//! server at one moment evenly over the whole interval.

use std::time::Duration;

/// Delay before the next try.
#[derive(Clone, Debug)]
pub struct Backoff {
    base_ms: u64,
    cap_ms: u64,
    failures: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// A backoff whose longest delay doubles from `base_ms` up to `cap_ms`.
    pub fn new(base_ms: u64, cap_ms: u64, seed: u64) -> Self {
        Backoff { base_ms, cap_ms, failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Delay after another failure, milliseconds.
    pub fn next_delay_ms(&mut self) -> u64 {
        let longest = self.base_ms.saturating_mul(1 << self.failures.min(16)).min(self.cap_ms);
        self.failures += 1;
        self.random.u64(0..=longest)
    }

    /// Delay after another failure.
    pub fn next_delay(&mut self) -> Duration {
        Duration::from_millis(self.next_delay_ms())
    }

    /// Starts from the shortest delay again after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
