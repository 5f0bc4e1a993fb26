//! What is usual for the calls of each route.

use crate::LatencyHistogram;
use std::collections::BTreeMap;

/// Weight of a new observation.
const WEIGHT: f64 = 0.05;
/// Least pace that a time is divided by, so that an odd one does not spoil what is usual.
const LEAST_PACE: f64 = 0.05;

/// One answered call.
#[derive(Clone, Copy, Debug)]
pub struct LatencySample {
    /// Time it spent with its upstream, milliseconds.
    pub spent_ms: f64,
    /// How long that upstream takes, relative to what is usual at its service.
    pub pace: f64,
    /// What that upstream tells of this itself; 1 if it tells nothing. What is usual is learned by this
    /// alone: by a pace that is itself learned from what is usual, both would drift.
    pub reported_pace: f64,
    /// Length of its body and of its answer's, bytes.
    pub moved_bytes: f64,
}

#[derive(Clone, Debug)]
struct Usual {
    ms: f64,
    moved_bytes: f64,
    spread: LatencyHistogram,
}

/// How long the calls of each route take at an upstream of average speed, how their times are
/// spread, and what they move.
#[derive(Clone, Debug, Default)]
pub struct RouteLatencies {
    routes: BTreeMap<String, Usual>,
    /// For routes of which nothing was seen.
    unknown: LatencyHistogram,
}

impl RouteLatencies {
    /// The usual time of a route's calls, milliseconds; `None` before the first answer.
    pub fn usual_ms(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|usual| usual.ms)
    }

    /// What a route's call and its answer move, bytes; `None` before the first answer.
    pub fn moved_bytes(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|usual| usual.moved_bytes)
    }

    /// How the times of a route's calls are spread around the usual.
    pub fn spread(&self, route: &str) -> &LatencyHistogram {
        self.routes.get(route).map_or(&self.unknown, |usual| &usual.spread)
    }

    /// Takes in a call that was given up after `spent_ms` because another answer came first: it would
    /// have taken longer, so the part of long times stays what it is.
    pub fn note_cancelled(&mut self, route: &str, spent_ms: f64, pace: f64) {
        let ms = spent_ms / pace.max(LEAST_PACE);
        if let Some(usual) = self.routes.get_mut(route).filter(|usual| usual.ms > 0.0) {
            usual.spread.note(ms / usual.ms);
        }
    }

    /// Takes in an answered call.
    pub fn note(&mut self, route: &str, seen: LatencySample) {
        let ms = seen.spent_ms / seen.reported_pace.max(LEAST_PACE);
        let Some(usual) = self.routes.get_mut(route) else {
            let moved_bytes = seen.moved_bytes;
            let first = Usual { ms, moved_bytes, spread: LatencyHistogram::default() };
            self.routes.insert(route.to_owned(), first);
            return;
        };
        if usual.ms > 0.0 {
            usual.spread.note(seen.spent_ms / (usual.ms * seen.pace.max(LEAST_PACE)));
        }
        usual.ms += (ms - usual.ms) * WEIGHT;
        usual.moved_bytes += (seen.moved_bytes - usual.moved_bytes) * WEIGHT;
    }
}
