//! Upstream slots that are occupied by requests the sidecar does not track.
//!
//! Such requests are aborted calls that the upstream keeps processing, and calls from a previous
//! process of this sidecar. While they run, a newly admitted call exceeds the capacity of the
//! upstream: it waits there unnoticed, or an upstream that cannot queue resets it or never answers.
//! The load that the upstream reports with each response reveals them. The module does no I/O;
//! callers pass in the time as milliseconds.

use crate::Millis;

/// How long a reported load is valid, milliseconds. A busy upstream responds several times within it.
const REPORT_FRESH_MS: u64 = 300;
/// Maximum fraction of the slots that counts as occupied. An upstream that reports more is wrong, and
/// must not be starved because of that.
const MAX_FRACTION: f64 = 0.5;

/// Slots occupied by untracked requests, as derived from the load that the upstream reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct UntrackedSlots {
    count: u32,
    until: Millis,
}

impl UntrackedSlots {
    /// Records how many requests the upstream has by its own count, including waiting ones, and how many
    /// the sidecar has sent it. The upstream does not know of requests in transit, so a lower count has
    /// no meaning.
    pub fn note(&mut self, reported: u32, sent: u32, now: Millis) {
        self.count = reported.saturating_sub(sent);
        self.until = now + REPORT_FRESH_MS;
    }

    /// Whether any slots are occupied by untracked requests.
    pub fn any(&self, now: Millis) -> bool {
        self.count > 0 && now < self.until
    }

    /// Returns how many of these slots are available.
    pub fn available_of(&self, slots: u32, now: Millis) -> u32 {
        if !self.any(now) {
            return slots;
        }
        let most = (f64::from(slots) * MAX_FRACTION) as u32;
        slots - self.count.min(most)
    }
}
