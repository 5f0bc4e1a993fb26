//! What is usual for the calls of each route.

use crate::TimeSpread;
use std::collections::BTreeMap;

/// Weight of a new observation.
const WEIGHT: f64 = 0.05;
/// Slowest speed that a time is divided by, so that an odd one does not spoil what is usual.
const LEAST_SPEED: f64 = 0.05;

/// One answered call.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// Time it spent with its upstream, milliseconds.
    pub spent_ms: f64,
    /// How long that upstream takes, relative to the others of its service.
    pub speed: f64,
    /// Length of its body and of its answer's, bytes.
    pub moved_bytes: f64,
}

#[derive(Clone, Debug)]
struct Usual {
    ms: f64,
    moved_bytes: f64,
    spread: TimeSpread,
}

/// How long the calls of each route take at an upstream of average speed, how their times are
/// spread, and what they move.
#[derive(Clone, Debug, Default)]
pub struct ClassTimes {
    routes: BTreeMap<String, Usual>,
    /// For routes of which nothing was seen.
    unknown: TimeSpread,
}

impl ClassTimes {
    /// The usual time of a route's calls, milliseconds; `None` before the first answer.
    pub fn usual_ms(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|usual| usual.ms)
    }

    /// What a route's call and its answer move, bytes; `None` before the first answer.
    pub fn moved_bytes(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|usual| usual.moved_bytes)
    }

    /// How the times of a route's calls are spread around the usual.
    pub fn spread(&self, route: &str) -> &TimeSpread {
        self.routes.get(route).map_or(&self.unknown, |usual| &usual.spread)
    }

    /// Takes in an answered call.
    pub fn note(&mut self, route: &str, seen: Seen) {
        let ms = seen.spent_ms / seen.speed.max(LEAST_SPEED);
        let Some(usual) = self.routes.get_mut(route) else {
            let moved_bytes = seen.moved_bytes;
            let first = Usual { ms, moved_bytes, spread: TimeSpread::default() };
            self.routes.insert(route.to_owned(), first);
            return;
        };
        if usual.ms > 0.0 {
            usual.spread.note(ms / usual.ms);
        }
        usual.ms += (ms - usual.ms) * WEIGHT;
        usual.moved_bytes += (seen.moved_bytes - usual.moved_bytes) * WEIGHT;
    }
}
