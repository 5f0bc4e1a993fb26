//! Settings of a sidecar.

use crate::{Checks, Validate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Limit on repeats (calls that are sent again) over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Maximum ratio of repeats to requests.
    pub ratio: f64,
    /// Repeats allowed in addition, over the whole fleet and one window.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: u64,
}

/// How far the calls to a cold upstream may exceed the rate that its service declares for one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStartSettings {
    /// Maximum rate of calls, as a multiple of the declared rate.
    pub over: f64,
    /// Calls allowed in addition within one second.
    pub slack: f64,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        Self { over: 1.0, slack: 0.0 }
    }
}

/// Settings of `chutecove sidecar`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of the fleet; coordinators of another fleet are rejected.
    pub fleet: String,
    /// Name of this process in logs.
    pub name: String,
    /// Zone of this machine.
    pub zone: String,
    /// IP address of this machine.
    pub ip: Ipv4Addr,
    /// Port on which coordinators are reached; the same on all machines.
    pub mesh_port: u16,
    /// Address on which callers on this machine connect.
    pub outbound_listen: SocketAddrV4,
    /// Address on which other sidecars connect.
    pub inbound_listen: SocketAddrV4,
    /// Address of the readiness endpoint.
    pub ready_listen: SocketAddrV4,
    /// Address on which the upstream registers.
    pub registration_listen: SocketAddrV4,
    /// Address of the metrics, health and readiness endpoints.
    pub metrics_listen: SocketAddrV4,
    /// Address of the upstream.
    pub upstream: SocketAddrV4,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Addresses of some coordinators.
    pub seeds: Vec<SocketAddrV4>,
    /// Acknowledges that connections between processes are neither encrypted nor authenticated.
    /// Must be true; see [`crate::CoordinatorSettings::plain_transport`].
    pub plain_transport: bool,
    /// Limit on repeats.
    pub retry_budget: RetryBudgetSettings,
    /// Region of each zone; all zones that are not listed form one region. Calls stay in their
    /// region while it has capacity.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Limit on calls to cold upstreams.
    #[serde(default)]
    pub cold_start: ColdStartSettings,
    /// Time after an upstream announced that it is leaving, until it is sent no more calls, in ms.
    pub drain_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Speed of this machine's network link in megabits per second; peers send less over a link
    /// that is nearly saturated. 0 if it is not known.
    #[serde(default)]
    pub link_mbps: f64,
    /// Memory of this machine for this process, in MiB. It bounds the bodies that are held at the same time,
    /// see [`SidecarSettings::body_budget_bytes`].
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Whether a repeatable call that takes longer than nearly all similar calls is hedged: also
    /// sent to a second upstream that has an idle slot, within the limit on repeats.
    #[serde(default = "default_hedging")]
    pub hedging: bool,
    /// One in this many calls has every step logged, the same calls on all nodes; refusals and
    /// failures are always logged.
    #[serde(default = "default_log_sample")]
    pub log_sample: u64,
}

/// Part of a machine's memory that a process may use at most; the rest is a margin for what the allocator keeps.
const USED_FRACTION: f64 = 0.6;
/// Memory for everything but bodies, in MiB: the program, tables, and what was read and not parsed yet.
const OTHER_MB: f64 = 16.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

fn default_memory_mb() -> u64 {
    160
}

fn default_hedging() -> bool {
    true
}

fn default_log_sample() -> u64 {
    16
}

impl SidecarSettings {
    /// Bytes of the bodies that may be held at the same time.
    pub fn body_budget_bytes(&self) -> u64 {
        ((self.memory_mb as f64 * USED_FRACTION - OTHER_MB) * BYTES_PER_MB) as u64
    }
}

impl Validate for SidecarSettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.require(
            "plain_transport",
            self.plain_transport,
            "must be true; no other transport is supported",
        );
        checks.require("seeds", !self.seeds.is_empty(), "at least one seed is needed");
        checks.require("service", !self.service.is_empty(), "must name a service");
        checks.range("drain_ms", self.drain_ms, 100, 600_000);
        checks.range("stop_ms", self.stop_ms, 500, 600_000);
        checks.range("memory_mb", self.memory_mb, 48, 1 << 20);
        checks.range("log_sample", self.log_sample, 1, 1_000_000);
        checks.range("retry_budget.window_s", self.retry_budget.window_s, 1, 3_600);
        checks.require("link_mbps", self.link_mbps >= 0.0, "must not be below 0");
        let valid_ratio = (0.0..=1.0).contains(&self.retry_budget.ratio);
        checks.require("retry_budget.ratio", valid_ratio, "must be 0 to 1");
        let valid_over = (0.1..=100.0).contains(&self.cold_start.over);
        checks.require("cold_start.over", valid_over, "must be 0.1 to 100");
        let valid_cold_slack = (0.0..=1e6).contains(&self.cold_start.slack);
        checks.require("cold_start.slack", valid_cold_slack, "must be 0 to 1000000");
        let valid_slack = self.retry_budget.slack >= 0.0;
        checks.require("retry_budget.slack", valid_slack, "must not be below 0");
    }
}
