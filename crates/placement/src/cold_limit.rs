//! Rate limit of one node for an upstream that is cold after its start.

use crate::rate_share::RateShare;
use crate::Millis;

/// How long the upstreams of a formerly evacuated zone count as cold after it is restored,
/// milliseconds, unless they report their state: they report every one to two seconds, and a report
/// takes some tenths of a second to arrive.
pub const PRESUMED_COLD_MS: u64 = 2_000;

/// When an upstream is cold, and when this node may send it the next call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdLimit {
    until: Millis,
    share: RateShare,
}

impl ColdLimit {
    /// Sets the offset of the first permitted call as a fraction of the spacing, 0 to 1.
    pub fn set_phase(&mut self, phase: f64) {
        self.share.set_phase(phase);
    }

    /// Resets the state for a new incarnation of the upstream.
    pub fn restarted(&mut self, now: Millis) {
        self.share.restart(now);
    }

    /// Records the remaining cold time that the upstream reports.
    pub fn report_remaining(&mut self, remaining_ms: u64, now: Millis) {
        if !self.is_cold(now) {
            self.share.begin(now);
        }
        self.until = now + remaining_ms;
    }

    /// Treats the upstream as cold until it reports.
    pub fn assume_cold(&mut self, now: Millis) {
        self.share.begin(now);
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
        self.share.permits(spacing_ms, now)
    }

    /// Records that a call was sent to the upstream.
    pub fn note_sent(&mut self, spacing_ms: f64, now: Millis) {
        if self.is_cold(now) {
            self.share.note_sent(spacing_ms, now);
        }
    }
}
