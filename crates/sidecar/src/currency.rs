//! Evidence that the configuration held is the newest.
//!
//! A node that is partitioned, or behind a saturated link, cannot notice that its configuration is
//! outdated. It therefore asks coordinators periodically, and an answer counts from the time at
//! which it was requested.

use crate::Millis;

/// How long an answer is valid after it was requested, in milliseconds. Shorter than the time
/// within which operators are promised that a change is in force.
const CONFIRMATION_TTL_MS: u64 = 1_800;

/// What the coordinators reported about the newest generation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    newest_generation: u64,
    asked_at: Option<Millis>,
}

impl ConfigFreshness {
    /// Records an answer; a generation of 0 means that the coordinator did not know.
    pub fn note(&mut self, asked_at: Millis, generation: u64) {
        if generation == 0 {
            return;
        }
        self.newest_generation = self.newest_generation.max(generation);
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Whether a generation was recently confirmed to be the newest.
    pub fn confirms(&self, generation: u64, now: Millis) -> bool {
        let fresh = self.asked_at.is_some_and(|at| now < at + CONFIRMATION_TTL_MS);
        fresh && generation >= self.newest_generation
    }

    /// Time since the newest answer was requested, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.asked_at.map(|at| now.saturating_sub(at))
    }
}
