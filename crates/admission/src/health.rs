//! Failure rate of an upstream, measured from the outcomes of its calls.
//!
//! Health checks can pass while calls fail. The sidecar next to an upstream sees the outcome of every
//! call, so it notices failures first and tells its peers in band.

use crate::Millis;

/// Weight of one outcome.
const OUTCOME_WEIGHT: f64 = 0.08;
/// Half-life of the rate, milliseconds. It makes sure that an upstream that gets no more calls because
/// of its failures is tried again.
const HALF_LIFE_MS: f64 = 2_500.0;
/// A call that was cancelled after this many times the usual duration counts as a failure.
const HANGING_FACTOR: f64 = 4.0;
const PERCENT: f64 = 100.0;

/// Fraction of an upstream's recent calls that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    at: Millis,
}

impl FailureRate {
    /// Records the outcome of one call.
    pub fn note(&mut self, failed: bool, now: Millis) {
        let previous = self.rate_at(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.rate = previous + (outcome - previous) * OUTCOME_WEIGHT;
        self.at = now;
    }

    /// Records that a call was cancelled after `spent_ms` at the upstream, where `usual_ms` is usual. An
    /// early cancellation says nothing about the upstream.
    pub fn note_cancelled(&mut self, spent_ms: u64, usual_ms: f64, now: Millis) {
        if spent_ms as f64 > usual_ms * HANGING_FACTOR {
            self.note(true, now);
        }
    }

    fn rate_at(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.rate * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Returns the failure rate in percent.
    pub fn percent(&self, now: Millis) -> u32 {
        (self.rate_at(now) * PERCENT).round() as u32
    }

    /// Resets the rate for a new incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
