//! This node's part in keeping to the rate limit that an upstream states.
//!
//! The sidecar beside the upstream keeps to the limit. Each node prefers other upstreams beyond its
//! share, since calls above the limit would only be refused there.

use crate::rate_share::RateShare;
use crate::Millis;
use mesh::CallRate;

const MS_PER_SECOND: f64 = 1_000.0;
/// Maximum time between two calls of this node's share, milliseconds: only an answer tells that a
/// limit was raised or lifted.
const MAX_SPACING_MS: f64 = 5_000.0;

/// The limit that an upstream states, and this node's share of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedLimit {
    rate: Option<CallRate>,
    share: RateShare,
}

impl StatedLimit {
    /// Sets the offset of the first permitted call as a fraction of the spacing, 0 to 1.
    pub fn set_phase(&mut self, phase: f64) {
        self.share.set_phase(phase);
    }

    /// Sets the stated rate; `None` without a limit.
    pub fn set(&mut self, rate: Option<CallRate>, now: Millis) {
        if self.rate.is_none() {
            self.share.restart(now);
        }
        self.rate = rate;
    }

    /// The stated rate.
    pub fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Number of slots that are in use at the stated rate if each call takes `service_ms`.
    pub fn usable_slots(&self, service_ms: f64) -> Option<u32> {
        let rate = self.rate.filter(|_| service_ms > 0.0)?;
        Some((rate.per_s() * service_ms / MS_PER_SECOND).ceil() as u32)
    }

    /// Time between two calls of one of `nodes` nodes, milliseconds; `None` without a limit.
    pub fn spacing_ms(&self, nodes: usize) -> Option<f64> {
        let per_s = self.rate?.per_s();
        Some((MS_PER_SECOND * nodes as f64 / per_s).min(MAX_SPACING_MS))
    }

    /// Whether this node's share permits a call now; always true without a limit.
    pub fn permits(&self, nodes: usize, now: Millis) -> bool {
        self.spacing_ms(nodes).is_none_or(|spacing_ms| self.share.permits(spacing_ms, now))
    }

    /// Records that a call was sent to the upstream.
    pub fn note_sent(&mut self, nodes: usize, now: Millis) {
        if let Some(spacing_ms) = self.spacing_ms(nodes) {
            self.share.note_sent(spacing_ms, now);
        }
    }
}
