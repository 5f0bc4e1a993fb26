//! Measures the utilization of this machine's link.

use crate::Millis;

/// Time constant of the average, in milliseconds.
const WINDOW_MS: f64 = 400.0;
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1_000_000.0;
const MS_PER_SECOND: f64 = 1_000.0;
const MAX_PERCENT: f64 = 100.0;

/// The link counts as full when a large answer would wait at least this long, and as free again
/// when the wait drops below the second value, in milliseconds: half and a tenth of what callers
/// with long targets wait for.
const FULL_WAIT_MS: u64 = 200;
const FREE_WAIT_MS: u64 = 40;

/// Bytes transferred in one direction, decaying exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingByteCount {
    bytes: f64,
    at: Millis,
}

impl DecayingByteCount {
    fn decayed_bytes(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.bytes * (-age / WINDOW_MS).exp()
    }

    fn note(&mut self, bytes: usize, now: Millis) {
        self.bytes = self.decayed_bytes(now) + bytes as f64;
        self.at = now;
    }

    fn bytes_per_ms(&self, now: Millis) -> f64 {
        self.decayed_bytes(now) / WINDOW_MS
    }
}

/// The meter of this machine's link.
#[derive(Clone, Copy, Debug)]
pub struct LinkMeter {
    bytes_per_ms: Option<f64>,
    received: DecayingByteCount,
    sent: DecayingByteCount,
}

impl LinkMeter {
    /// Creates the meter of a link with this capacity; 0 means unknown, and no utilization is
    /// reported then.
    pub fn new(megabits_per_second: f64) -> Self {
        let bytes_per_ms = megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE / MS_PER_SECOND;
        LinkMeter {
            bytes_per_ms: (bytes_per_ms > 0.0).then_some(bytes_per_ms),
            received: DecayingByteCount::default(),
            sent: DecayingByteCount::default(),
        }
    }

    /// Configured capacity of the link in each direction; `None` if unknown.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.bytes_per_ms
    }

    /// Records bytes received from other machines.
    pub fn received(&mut self, bytes: usize, now: Millis) {
        self.received.note(bytes, now);
    }

    /// Records bytes sent to other machines.
    pub fn sent(&mut self, bytes: usize, now: Millis) {
        self.sent.note(bytes, now);
    }

    /// Utilization of the busier direction, in percent; 0 if the capacity is unknown.
    pub fn percent(&self, now: Millis) -> u32 {
        let Some(capacity) = self.bytes_per_ms else {
            return 0;
        };
        let busier = self.received.bytes_per_ms(now).max(self.sent.bytes_per_ms(now));
        (busier / capacity * 100.0).min(MAX_PERCENT).round() as u32
    }
}

/// Detects when large answers wait for the link. Each change is reported once, for operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFullDetector {
    full_since: Option<Millis>,
}

/// A change in the state of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Large answers wait for it.
    Full,
    /// Large answers no longer wait for it.
    Free {
        /// How long they did, in milliseconds.
        lasted_ms: u64,
    },
}

impl LinkFullDetector {
    /// Records how long a large answer would wait for the link, in milliseconds.
    pub fn note(&mut self, wait_ms: u64, now: Millis) -> Option<LinkChange> {
        match self.full_since {
            None if wait_ms >= FULL_WAIT_MS => {
                self.full_since = Some(now);
                Some(LinkChange::Full)
            }
            Some(since) if wait_ms < FREE_WAIT_MS => {
                self.full_since = None;
                Some(LinkChange::Free { lasted_ms: now.saturating_sub(since) })
            }
            _ => None,
        }
    }
}
