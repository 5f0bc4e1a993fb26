//! Metrics of the sidecar, updated when they are requested.

use crate::calls::CallCounts;
use crate::net::SentBytes;
use ::quota::GateCounts;
use admission::PacerCounts;
use mesh::CallRate;
use telemetry::{Gauge, Registry};

/// The values that the metrics are computed from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Counters of the outbound side.
    pub calls: CallCounts,
    /// Calls without a final answer.
    pub in_flight: usize,
    /// Calls that run at the upstream.
    pub running: u32,
    /// Calls that are queued for the upstream.
    pub queued: u32,
    /// Generation in force.
    pub generation: u64,
    /// Known nodes.
    pub nodes: usize,
    /// Open connections.
    pub connections: usize,
    /// Utilization of this machine's link, in percent.
    pub link_percent: u32,
    /// Counters of the messages sent over that link.
    pub sent: PacerCounts,
    /// Bytes sent over it, by use.
    pub sent_bytes: SentBytes,
    /// Bytes that wait for it.
    pub link_waiting_bytes: usize,
    /// Calls refused because their answers would have waited too long for it.
    pub link_refusals: u64,
    /// Connections that broke off, as only a failed write showed.
    pub broken_writes: u64,
    /// Requests whose connection was ended without an answer to them.
    pub requests_dropped: u64,
    /// Bytes of the bodies in memory.
    pub body_bytes: u64,
    /// Calls refused because the upstream was cold.
    pub cold_refusals: u64,
    /// Calls refused because of the rate limit that the upstream states.
    pub rate_refusals: u64,
    /// Rate limit that the upstream states.
    pub rate_limit: Option<CallRate>,
    /// Share of recent calls that the upstream failed, in percent.
    pub failing_percent: u32,
    /// How long ago the generation in force was last confirmed to be the newest, in milliseconds.
    pub confirmed_ms: Option<u64>,
    /// Number of upstreams that may receive calls, and of all other known ones.
    pub upstreams: (usize, usize),
    /// Tenants of the generation in force.
    pub tenants: usize,
    /// Counters of calls by tenants with a limit.
    pub quota: GateCounts,
    /// Requests that are kept from upstreams.
    pub quarantined: usize,
    /// Requests that were running when an upstream ended, and that have not been cleared.
    pub suspects: usize,
}

/// Reads the value of one metric.
type Read = fn(&Snapshot) -> i64;

/// Name, help text and value of one metric.
type MetricDefinition = (&'static str, &'static str, Read);

/// The registered metrics.
pub struct Metrics {
    registry: Registry,
    gauges: Vec<(Gauge, Read)>,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new(registry: Registry) -> Self {
        let definitions: [MetricDefinition; 46] = [
            ("calls_begun", "Calls taken in", |s| s.calls.begun as i64),
            ("calls_answered", "Answers of upstreams passed on", |s| s.calls.answered as i64),
            ("calls_refused", "Calls refused, not run", |s| s.calls.refused as i64),
            ("calls_failed", "Calls failed that may have run", |s| s.calls.failed as i64),
            ("calls_denied", "Calls without a tenant's key", |s| s.calls.denied as i64),
            ("calls_timed_out", "Calls whose time was over", |s| s.calls.timed_out as i64),
            ("calls_cancelled", "Calls whose caller left", |s| s.calls.cancelled as i64),
            ("calls_repeats", "Arrivals past the first", |s| s.calls.repeats as i64),
            ("calls_repeats_refused", "Not repeated by the bound", |s| {
                s.calls.repeats_refused as i64
            }),
            ("calls_hedges", "Hedged second tries", |s| s.calls.hedges as i64),
            ("calls_hedges_won", "Those answered first", |s| s.calls.hedges_won as i64),
            ("calls_in_flight", "Calls without an answer", |s| s.in_flight as i64),
            ("upstream_running", "Calls the upstream works on", |s| i64::from(s.running)),
            ("upstream_queued", "Calls that wait for it", |s| i64::from(s.queued)),
            ("config_generation", "Generation in force", |s| s.generation as i64),
            ("tenants", "Tenants of the generation in force", |s| s.tenants as i64),
            ("quota_admitted", "Calls with a credit at hand", |s| s.quota.admitted as i64),
            ("quota_waited", "Calls let on after a wait", |s| s.quota.waited as i64),
            ("quota_refused", "Calls above their quota", |s| s.quota.refused as i64),
            ("quota_unanswered", "Calls without an answer", |s| s.quota.unanswered as i64),
            ("quota_alone", "Calls decided by the own part", |s| s.quota.alone as i64),
            ("nodes", "Nodes known", |s| s.nodes as i64),
            ("connections", "Open connections", |s| s.connections as i64),
            ("link_percent", "Part of the link in use", |s| i64::from(s.link_percent)),
            ("link_waiting_bytes", "Wait for the link", |s| s.link_waiting_bytes as i64),
            ("body_bytes", "Bytes of the bodies in memory", |s| s.body_bytes as i64),
            ("broken_writes", "Connections that broke off, as a failed write showed", |s| {
                s.broken_writes as i64
            }),
            ("requests_dropped", "Requests ended without an answer", |s| s.requests_dropped as i64),
            ("link_refusals", "Calls refused for want of the link", |s| s.link_refusals as i64),
            ("cold_refusals", "Calls a cold upstream does not bear", |s| s.cold_refusals as i64),
            ("rate_refusals", "Calls beyond the limit it states", |s| s.rate_refusals as i64),
            (
                "upstream_rate_limit_milli",
                "Thousandths of a call per second that the upstream takes; -1 without a limit",
                |s| s.rate_limit.map_or(-1, CallRate::saturating_milli),
            ),
            ("sent_bytes_calls", "To peers, calls", |s| s.sent_bytes.calls as i64),
            ("sent_bytes_answers", "To peers, answers", |s| s.sent_bytes.answers as i64),
            ("sent_bytes_control", "To coordinators", |s| s.sent_bytes.control as i64),
            ("link_bytes_at_once", "Small messages' bytes", |s| s.sent.bytes_unpaced as i64),
            ("link_bytes_paced", "Large messages' bytes", |s| s.sent.bytes_paced as i64),
            ("link_messages_paced", "Messages that waited", |s| s.sent.messages_paced as i64),
            ("link_waited_ms", "Their wait together", |s| s.sent.waited_ms as i64),
            ("link_longest_wait_ms", "Longest of them", |s| s.sent.longest_ms as i64),
            ("upstream_failing_percent", "Calls it fails", |s| i64::from(s.failing_percent)),
            (
                "config_confirmed_ms",
                "Age of the last word that it is the newest; -1 if none",
                |s| s.confirmed_ms.map_or(-1, |age| age as i64),
            ),
            ("upstreams_live", "Upstreams that may be given calls", |s| s.upstreams.0 as i64),
            ("upstreams_leaving", "Other upstreams known", |s| s.upstreams.1 as i64),
            ("requests_quarantined", "Requests kept from upstreams", |s| s.quarantined as i64),
            ("requests_suspected", "Requests that may crash upstreams", |s| s.suspects as i64),
        ];
        let gauges = definitions
            .into_iter()
            .map(|(name, help, read)| (registry.gauge(&format!("sidecar_{name}"), help), read))
            .collect();
        Metrics { registry, gauges }
    }

    /// Returns the metrics in the text exposition format.
    pub fn encode(&self, snapshot: &Snapshot) -> String {
        for (gauge, read) in &self.gauges {
            gauge.set(read(snapshot));
        }
        self.registry.encode()
    }
}
