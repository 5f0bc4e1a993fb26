//! Figures of a sidecar, set when they are asked for.

use crate::calls::CallCounts;
use telemetry::{Gauge, Registry};

/// What the figures are taken from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Outbound side.
    pub calls: CallCounts,
    /// Calls without a final answer.
    pub in_flight: usize,
    /// Calls the upstream works on.
    pub running: u32,
    /// Calls that wait for the upstream.
    pub queued: u32,
    /// Generation in force.
    pub generation: u64,
    /// Nodes known.
    pub nodes: usize,
    /// Open connections.
    pub connections: usize,
}

/// Reads one figure.
type Read = fn(&Snapshot) -> i64;

/// Name, explanation and reading of one figure.
type Figure = (&'static str, &'static str, Read);

/// The registered figures.
pub struct Metrics {
    registry: Registry,
    gauges: Vec<(Gauge, Read)>,
}

impl Metrics {
    /// Registers all figures.
    pub fn new() -> Self {
        let registry = Registry::default();
        let figures: [Figure; 13] = [
            ("calls_begun", "Calls taken in", |s| s.calls.begun as i64),
            ("calls_answered", "Answers of upstreams passed on", |s| s.calls.answered as i64),
            ("calls_refused", "Calls refused, not run", |s| s.calls.refused as i64),
            ("calls_failed", "Calls failed that may have run", |s| s.calls.failed as i64),
            ("calls_timed_out", "Calls whose time was over", |s| s.calls.timed_out as i64),
            ("calls_cancelled", "Calls whose caller left", |s| s.calls.cancelled as i64),
            ("calls_repeats", "Arrivals past the first", |s| s.calls.repeats as i64),
            ("calls_in_flight", "Calls without an answer", |s| s.in_flight as i64),
            ("upstream_running", "Calls the upstream works on", |s| i64::from(s.running)),
            ("upstream_queued", "Calls that wait for it", |s| i64::from(s.queued)),
            ("config_generation", "Generation in force", |s| s.generation as i64),
            ("nodes", "Nodes known", |s| s.nodes as i64),
            ("connections", "Open connections", |s| s.connections as i64),
        ];
        let gauges = figures
            .into_iter()
            .map(|(name, help, read)| (registry.gauge(&format!("sidecar_{name}"), help), read))
            .collect();
        Metrics { registry, gauges }
    }

    /// The text exposition.
    pub fn encode(&self, snapshot: &Snapshot) -> String {
        for (gauge, read) in &self.gauges {
            gauge.set(read(snapshot));
        }
        self.registry.encode()
    }
}
