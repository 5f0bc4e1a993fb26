//! One node's share of the rate of calls that an upstream can handle.
//!
//! Each node keeps to its own share, so that the fleet as a whole stays within that rate without
//! coordination.

use crate::Millis;

/// When this node may send the next call of its share.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateShare {
    since: Millis,
    /// Offset of the first permitted call, as a fraction of the spacing. It is random, so that not
    /// all nodes send their first call at once.
    phase: f64,
    /// When the next call is permitted; `None` until the first one was sent.
    next_at: Option<Millis>,
}

impl RateShare {
    /// Sets the offset of the first permitted call as a fraction of the spacing, 0 to 1.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Begins to count the offset of the first call from now.
    pub fn begin(&mut self, now: Millis) {
        self.since = now;
    }

    /// Begins anew, as if no call had been sent.
    pub fn restart(&mut self, now: Millis) {
        self.next_at = None;
        self.since = now;
    }

    /// Whether the share permits a call now; `spacing_ms` is the time between two calls.
    pub fn permits(&self, spacing_ms: f64, now: Millis) -> bool {
        let first_at = self.since + (spacing_ms * self.phase) as Millis;
        self.next_at.unwrap_or(first_at) <= now
    }

    /// Records that a call was sent.
    pub fn note_sent(&mut self, spacing_ms: f64, now: Millis) {
        self.next_at = Some(now + spacing_ms as Millis);
    }
}
