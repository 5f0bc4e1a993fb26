//! One node's part of what a cold upstream bears.
//!
//! Each node keeps to its own part, so that all together send what the upstream bears, and none has to
//! know of another.

use crate::Millis;

/// How long upstreams of a zone that was evacuated are taken for cold once it is restored, unless they
/// tell, milliseconds: they tell each second or two, and word takes some tenths of a second.
pub const PRESUMED_COLD_MS: u64 = 2_000;

/// Since when an upstream is cold, and when this node may send it a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdPart {
    until: Millis,
    since: Millis,
    /// When the first part comes, as a part of the time between two: drawn, so that not all nodes send
    /// to it at once.
    phase: f64,
    /// When the next part comes; `None` before the first was used.
    next_at: Option<Millis>,
}

impl ColdPart {
    /// Takes in when the first part comes, as a part of the time between two, 0 to 1.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Takes in that another incarnation is there.
    pub fn restarted(&mut self, now: Millis) {
        self.next_at = None;
        self.since = now;
    }

    /// Takes in for how much longer it is cold, as it told.
    pub fn told(&mut self, remaining_ms: u64, now: Millis) {
        if !self.is_cold(now) {
            self.since = now;
        }
        self.until = now + remaining_ms;
    }

    /// Takes it for cold until it tells.
    pub fn presume(&mut self, now: Millis) {
        self.since = now;
        self.until = self.until.max(now + PRESUMED_COLD_MS);
    }

    /// Whether it is slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Whether this node may send it a call now for all that it bears: always once it is warm, and
    /// where that is not bounded.
    pub fn has_room(&self, spacing_ms: Option<f64>, now: Millis) -> bool {
        let Some(spacing_ms) = spacing_ms.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let first_at = self.since + (spacing_ms * self.phase) as Millis;
        self.next_at.unwrap_or(first_at) <= now
    }

    /// Notes that a call is sent to it.
    pub fn note_sent(&mut self, spacing_ms: f64, now: Millis) {
        if self.is_cold(now) {
            self.next_at = Some(now + spacing_ms as Millis);
        }
    }
}
