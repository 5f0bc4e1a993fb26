//! Whether a receiver that should say that it heard something has fallen silent. Pure.

use std::time::Duration;
use telemetry::BootInstant;

/// A receiver that says nothing for this long though it was sent something is not reached. Longer
/// than an election, so that a member short of processor time is not connected to again and again.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// What was sent on one connection, and heard of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceWatch {
    /// When the first was sent that nothing was heard after.
    unheard_since: Option<BootInstant>,
}

impl SilenceWatch {
    /// Something was sent.
    pub fn sent(&mut self, now: BootInstant) {
        self.unheard_since.get_or_insert(now);
    }

    /// The receiver said something.
    pub fn heard(&mut self) {
        self.unheard_since = None;
    }

    /// Whether the connection should give way to another.
    pub fn is_silent(&self, now: BootInstant) -> bool {
        let unheard = self.unheard_since.map(|since| now.saturating_duration_since(since));
        unheard.is_some_and(|time| time >= SILENCE_LIMIT)
    }
}
