//! Estimates how long the calls of peers waited on their way, without synchronised clocks.
//!
//! Each sender stamps its calls with its own clock. The minimum recent difference between the stamp
//! and the time of arrival represents the offset of the two clocks plus the transit time of an
//! empty network; whatever the difference of a call exceeds it by was spent in link queues (the
//! base delay of LEDBAT, RFC 6817).

use crate::Millis;
use mesh::Departure;
use std::collections::BTreeMap;

/// The minimum is taken over the current window and the previous one, in milliseconds, so that it
/// follows clock drift. A queue that persists for more than two windows would go unnoticed.
const WINDOW_MS: Millis = 60_000;
/// Limit on the number of clocks; beyond it, the one with the oldest window is dropped.
const MAX_CLOCKS: usize = 4_096;

/// Minimum differences between the clock of one sender and the local one, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    minimum: i64,
    previous_minimum: i64,
    window_start: Millis,
}

/// The clock offsets of all senders.
#[derive(Clone, Debug, Default)]
pub struct TransitTimes {
    clocks: BTreeMap<u32, ClockOffset>,
}

impl TransitTimes {
    /// How long a call that arrives now waited on its way, in milliseconds; 0 for the first call of
    /// a clock.
    pub fn waited_ms(&mut self, departure: Departure, now: Millis) -> u64 {
        let difference = now as i64 - departure.at_ms as i64;
        self.make_room(departure.clock);
        let first =
            ClockOffset { minimum: difference, previous_minimum: difference, window_start: now };
        let offset = self.clocks.entry(departure.clock).or_insert(first);
        if now >= offset.window_start + WINDOW_MS {
            *offset = ClockOffset {
                minimum: difference,
                previous_minimum: offset.minimum,
                window_start: now,
            };
        }
        offset.minimum = offset.minimum.min(difference);
        (difference - offset.minimum.min(offset.previous_minimum)) as u64
    }

    fn make_room(&mut self, clock: u32) {
        if self.clocks.len() < MAX_CLOCKS || self.clocks.contains_key(&clock) {
            return;
        }
        let oldest = self.clocks.iter().min_by_key(|(_, offset)| offset.window_start);
        if let Some(oldest) = oldest.map(|(clock, _)| *clock) {
            self.clocks.remove(&oldest);
        }
    }
}
