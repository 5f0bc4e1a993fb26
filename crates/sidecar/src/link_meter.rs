//! How much of this machine's link is in use.

use crate::Millis;

/// Time over which bytes are averaged, milliseconds.
const WINDOW_MS: f64 = 400.0;
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1_000_000.0;
const MS_PER_SECOND: f64 = 1_000.0;
const MOST_PERCENT: f64 = 100.0;

/// Wait of a large answer from which on the link is called full, and below which it is called free
/// again, milliseconds: half and a tenth of what callers with long targets wait for.
const FULL_WAIT_MS: u64 = 200;
const FREE_WAIT_MS: u64 = 40;

/// Bytes that went one way, each weighing less with its age.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    weighed_bytes: f64,
    at: Millis,
}

impl Flow {
    fn weighed(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.weighed_bytes * (-age / WINDOW_MS).exp()
    }

    fn note(&mut self, bytes: usize, now: Millis) {
        self.weighed_bytes = self.weighed(now) + bytes as f64;
        self.at = now;
    }

    fn bytes_per_ms(&self, now: Millis) -> f64 {
        self.weighed(now) / WINDOW_MS
    }
}

/// The link of this machine.
#[derive(Clone, Copy, Debug)]
pub struct LinkMeter {
    bytes_per_ms: Option<f64>,
    received: Flow,
    sent: Flow,
}

impl LinkMeter {
    /// A link of so many megabits a second; 0 if that is not known, and nothing is told then.
    pub fn new(megabits_per_second: f64) -> Self {
        let bytes_per_ms = megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE / MS_PER_SECOND;
        LinkMeter {
            bytes_per_ms: (bytes_per_ms > 0.0).then_some(bytes_per_ms),
            received: Flow::default(),
            sent: Flow::default(),
        }
    }

    /// What the link carries each way, as told; `None` if that is not known.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.bytes_per_ms
    }

    /// Notes bytes that came from other machines.
    pub fn received(&mut self, bytes: usize, now: Millis) {
        self.received.note(bytes, now);
    }

    /// Notes bytes that went to other machines.
    pub fn sent(&mut self, bytes: usize, now: Millis) {
        self.sent.note(bytes, now);
    }

    /// Part of the busier direction that is in use, percent; 0 if the link is not known.
    pub fn percent(&self, now: Millis) -> u32 {
        let Some(whole) = self.bytes_per_ms else {
            return 0;
        };
        let busier = self.received.bytes_per_ms(now).max(self.sent.bytes_per_ms(now));
        (busier / whole * 100.0).min(MOST_PERCENT).round() as u32
    }
}

/// Whether large answers wait for the link, as operators are told: once each time it changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkWatch {
    full_since: Option<Millis>,
}

/// What changed about the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Large answers wait for it.
    Full,
    /// They do not any more.
    Free {
        /// For how long they did, milliseconds.
        lasted_ms: u64,
    },
}

impl LinkWatch {
    /// Takes in how long a large answer would wait for the link, milliseconds.
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
