//! Slots of an upstream that are taken by what its one sender knows nothing of.
//!
//! Load answered: runs that were cut and that the upstream works on all the same, and runs of this
//! sidecar's former life. With them a call that is let in is one more than the upstream works on: it
//! waits there, unseen, or is reset, or never answered, by upstreams that cannot queue. What the
//! upstream tells of its load with each answer shows them. Pure: time is passed in as milliseconds.

use crate::Millis;

/// How long what an upstream told counts, milliseconds: it answers several times in it, or it is idle.
const FRESH_MS: u64 = 300;
/// Most part of the slots that is taken for taken: an upstream that tells of more does not tell the truth,
/// and is not starved for it.
const MOST_PART: f64 = 0.5;

/// Slots taken by others, as the upstream's figures show.
#[derive(Clone, Copy, Debug, Default)]
pub struct UntrackedSlots {
    count: u32,
    until: Millis,
}

impl UntrackedSlots {
    /// Takes in how many requests the upstream has by its own count, those that wait included, and by
    /// the count of its sender. Of requests on their way it knows nothing, so a lower count says nothing.
    pub fn note(&mut self, told: u32, own: u32, now: Millis) {
        self.count = told.saturating_sub(own);
        self.until = now + FRESH_MS;
    }

    /// Whether some are taken.
    pub fn any(&self, now: Millis) -> bool {
        self.count > 0 && now < self.until
    }

    /// Slots that are left of these.
    pub fn available_of(&self, slots: u32, now: Millis) -> u32 {
        if !self.any(now) {
            return slots;
        }
        let most = (f64::from(slots) * MOST_PART) as u32;
        slots - self.count.min(most)
    }
}
