//! Detection of receivers that stopped sending receipts; without I/O.

use std::time::Duration;
use telemetry::BootInstant;

/// A receiver that sends no receipt for this long after data was sent is considered unreachable.
/// Longer than an election, so that a member short of CPU time is not reconnected repeatedly.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Tracks sent data and receipts of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceWatch {
    /// When the first data without a later receipt was sent.
    unacknowledged_since: Option<BootInstant>,
}

impl SilenceWatch {
    /// Notes that data was sent.
    pub fn note_sent(&mut self, now: BootInstant) {
        self.unacknowledged_since.get_or_insert(now);
    }

    /// Notes a receipt.
    pub fn note_receipt(&mut self) {
        self.unacknowledged_since = None;
    }

    /// Whether the connection should be replaced.
    pub fn is_silent(&self, now: BootInstant) -> bool {
        let unacknowledged =
            self.unacknowledged_since.map(|since| now.saturating_duration_since(since));
        unacknowledged.is_some_and(|time| time >= SILENCE_LIMIT)
    }
}
