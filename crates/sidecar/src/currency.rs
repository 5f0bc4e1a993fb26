//! Evidence that the configuration held is the newest.
//!
//! A node that is cut off, or behind a full link, does not know that it is behind. So it asks
//! coordinators again and again, and trusts an answer from the moment at which it asked.

use crate::Millis;

/// How long an answer counts, from when it was asked for, milliseconds. Shorter than the time in
/// which operators are promised that a change is in force.
const TRUST_MS: u64 = 1_800;

/// What coordinators said of the newest generation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    newest: u64,
    asked_at: Option<Millis>,
}

impl ConfigFreshness {
    /// Takes in an answer; a generation of 0 is none.
    pub fn note(&mut self, asked_at: Millis, generation: u64) {
        if generation == 0 {
            return;
        }
        self.newest = self.newest.max(generation);
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Whether a generation is known to be the newest, or was a moment ago.
    pub fn confirms(&self, generation: u64, now: Millis) -> bool {
        let fresh = self.asked_at.is_some_and(|at| now < at + TRUST_MS);
        fresh && generation >= self.newest
    }

    /// Time since the newest answer was asked for, milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.asked_at.map(|at| now.saturating_sub(at))
    }
}
