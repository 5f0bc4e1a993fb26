//! Latency statistics of each route.

use crate::LatencyHistogram;
use std::collections::BTreeMap;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Lower bound of the pace that a latency is divided by, so that one outlier does not distort the
/// average.
const MIN_PACE: f64 = 0.05;

/// Measurements of one answered call.
#[derive(Clone, Copy, Debug)]
pub struct LatencySample {
    /// Time the call spent at the upstream, milliseconds.
    pub spent_ms: f64,
    /// Service time of that upstream relative to the average of its service; above 1 is slower.
    pub pace: f64,
    /// The pace that the upstream reports of itself; 1 if it reports none. The route's average is
    /// normalized by this value only: normalizing it by a pace that is itself derived from the
    /// average would let both drift.
    pub reported_pace: f64,
    /// Combined length of the request and response bodies, bytes.
    pub moved_bytes: f64,
}

#[derive(Clone, Debug)]
struct RouteStats {
    ms: f64,
    moved_bytes: f64,
    spread: LatencyHistogram,
}

/// For each route: the average latency at an upstream of average speed, the distribution of
/// latencies around that average, and the bytes moved per call.
#[derive(Clone, Debug, Default)]
pub struct RouteLatencies {
    routes: BTreeMap<String, RouteStats>,
    /// Used for routes without samples.
    no_samples: LatencyHistogram,
}

impl RouteLatencies {
    /// Average latency of a route's calls, milliseconds; `None` before the first answer.
    pub fn usual_ms(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|stats| stats.ms)
    }

    /// Average body bytes that a call of a route and its answer move; `None` before the first
    /// answer.
    pub fn moved_bytes(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|stats| stats.moved_bytes)
    }

    /// Distribution of a route's latencies relative to their average.
    pub fn spread(&self, route: &str) -> &LatencyHistogram {
        self.routes.get(route).map_or(&self.no_samples, |stats| &stats.spread)
    }

    /// Records a call that was cancelled after `spent_ms` because another attempt answered first.
    /// Its latency is a lower bound, which keeps long latencies represented in the distribution.
    pub fn note_cancelled(&mut self, route: &str, spent_ms: f64, pace: f64) {
        let ms = spent_ms / pace.max(MIN_PACE);
        if let Some(stats) = self.routes.get_mut(route).filter(|stats| stats.ms > 0.0) {
            stats.spread.note(ms / stats.ms);
        }
    }

    /// Records an answered call.
    pub fn note(&mut self, route: &str, sample: LatencySample) {
        let ms = sample.spent_ms / sample.reported_pace.max(MIN_PACE);
        let Some(stats) = self.routes.get_mut(route) else {
            let moved_bytes = sample.moved_bytes;
            let first = RouteStats { ms, moved_bytes, spread: LatencyHistogram::default() };
            self.routes.insert(route.to_owned(), first);
            return;
        };
        if stats.ms > 0.0 {
            stats.spread.note(sample.spent_ms / (stats.ms * sample.pace.max(MIN_PACE)));
        }
        stats.ms += (ms - stats.ms) * SAMPLE_WEIGHT;
        stats.moved_bytes += (sample.moved_bytes - stats.moved_bytes) * SAMPLE_WEIGHT;
    }
}
