//! How long the calls of peers waited on their way, reckoned without a common clock.
//!
//! A sender stamps each call with its own clock. The least difference between that stamp and the
//! arrival that was seen of late stands for the two clocks and the bare way; what a call's difference
//! has beyond it, the call spent in queues of links (the base delay of LEDBAT, RFC 6817).

use crate::Millis;
use mesh::Departure;
use std::collections::BTreeMap;

/// The least difference is that of the running window and the one before it, so that clocks may
/// drift apart, milliseconds. Queues that last longer than two windows would hide.
const WINDOW_MS: Millis = 60_000;
/// Clocks remembered; beyond that, the one whose window began first is forgotten.
const MOST_CLOCKS: usize = 4_096;

/// Differences between one sender's clock and this one's, milliseconds.
#[derive(Clone, Copy, Debug)]
struct Base {
    least: i64,
    least_before: i64,
    window_began: Millis,
}

/// The clocks of all senders.
#[derive(Clone, Debug, Default)]
pub struct TransitTimes {
    clocks: BTreeMap<u32, Base>,
}

impl TransitTimes {
    /// How long a call that arrives now waited on its way, milliseconds; 0 for the first of a clock.
    pub fn waited_ms(&mut self, departure: Departure, now: Millis) -> u64 {
        let difference = now as i64 - departure.at_ms as i64;
        self.make_room(departure.clock);
        let first = Base { least: difference, least_before: difference, window_began: now };
        let base = self.clocks.entry(departure.clock).or_insert(first);
        if now >= base.window_began + WINDOW_MS {
            *base = Base { least: difference, least_before: base.least, window_began: now };
        }
        base.least = base.least.min(difference);
        (difference - base.least.min(base.least_before)) as u64
    }

    fn make_room(&mut self, clock: u32) {
        if self.clocks.len() < MOST_CLOCKS || self.clocks.contains_key(&clock) {
            return;
        }
        let oldest = self.clocks.iter().min_by_key(|(_, base)| base.window_began);
        if let Some(oldest) = oldest.map(|(clock, _)| *clock) {
            self.clocks.remove(&oldest);
        }
    }
}
