//! How often an upstream fails what it is given, told by its own ends.
//!
//! A health check can be good while calls fail. The one sender to an upstream sees every end, so it
//! knows first, and tells its peers in band.

use crate::Millis;

/// Weight of one end.
const END_WEIGHT: f64 = 0.08;
/// Time in which what was seen loses half of its weight, milliseconds: one that gets no calls any
/// more for its failures is tried again.
const HALF_LIFE_MS: f64 = 2_500.0;
/// An end that took this many times as long as usual and was then cancelled counts as a failure.
const HANGING_FACTOR: f64 = 4.0;
const PERCENT: f64 = 100.0;

/// Share of an upstream's recent ends that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    share: f64,
    at: Millis,
}

impl FailureRate {
    /// Takes in how one call ended.
    pub fn note(&mut self, failed: bool, now: Millis) {
        let held = self.share_at(now);
        let seen = if failed { 1.0 } else { 0.0 };
        self.share = held + (seen - held) * END_WEIGHT;
        self.at = now;
    }

    /// Takes in that a call was cancelled after `spent_ms` with the upstream, where `usual_ms` is
    /// usual; one that leaves early says nothing of the upstream.
    pub fn note_cancelled(&mut self, spent_ms: u64, usual_ms: f64, now: Millis) {
        if spent_ms as f64 > usual_ms * HANGING_FACTOR {
            self.note(true, now);
        }
    }

    fn share_at(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.share * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// The share in percent.
    pub fn percent(&self, now: Millis) -> u32 {
        (self.share_at(now) * PERCENT).round() as u32
    }

    /// Forgets all, for another incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
