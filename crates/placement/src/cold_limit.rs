//! Rate limit of one node for an upstream that is cold after its start.
//!
//! Each node keeps to its own share of the rate that the upstream can handle, so that the fleet as
//! a whole stays within that rate without coordination.

use crate::Millis;

/// How long the upstreams of a formerly evacuated zone count as cold after it is restored,
/// milliseconds, unless they report their state: they report every one to two seconds, and a report
/// takes some tenths of a second to arrive.
pub const PRESUMED_COLD_MS: u64 = 2_000;

/// When an upstream is cold, and when this node may send it the next call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdLimit {
    until: Millis,
    since: Millis,
    /// Offset of the first permitted call, as a fraction of the spacing. It is random, so that not
    /// all nodes send their first call at once.
    phase: f64,
    /// When the next call is permitted; `None` until the first one was sent.
    next_at: Option<Millis>,
}

impl ColdLimit {
    /// Sets the offset of the first permitted call as a fraction of the spacing, 0 to 1.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Resets the state for a new incarnation of the upstream.
    pub fn restarted(&mut self, now: Millis) {
        self.next_at = None;
        self.since = now;
    }

    /// Records the remaining cold time that the upstream reports.
    pub fn report_remaining(&mut self, remaining_ms: u64, now: Millis) {
        if !self.is_cold(now) {
            self.since = now;
        }
        self.until = now + remaining_ms;
    }

    /// Treats the upstream as cold until it reports.
    pub fn assume_cold(&mut self, now: Millis) {
        self.since = now;
        self.until = self.until.max(now + PRESUMED_COLD_MS);
    }

    /// Whether the upstream still is slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Whether this node's share of the rate permits a call now; always true for a warm upstream,
    /// and without a rate limit.
    pub fn permits(&self, spacing_ms: Option<f64>, now: Millis) -> bool {
        let Some(spacing_ms) = spacing_ms.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let first_at = self.since + (spacing_ms * self.phase) as Millis;
        self.next_at.unwrap_or(first_at) <= now
    }

    /// Records that a call was sent to the upstream.
    pub fn note_sent(&mut self, spacing_ms: f64, now: Millis) {
        if self.is_cold(now) {
            self.next_at = Some(now + spacing_ms as Millis);
        }
    }
}
