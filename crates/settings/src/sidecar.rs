//! Settings of a sidecar.

use crate::{Checks, Validate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The fleet's bound on calls that are sent a second time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats granted besides, over the whole fleet and one window.
    pub slack: f64,
    /// Length of the window, seconds.
    pub window_s: u64,
}

/// How far calls to a cold upstream may exceed what its service says that one bears.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStartSettings {
    /// Calls a second, as a multiple of what it bears.
    pub over: f64,
    /// Calls beyond that within one second.
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
    /// Name of the fleet; coordinators of another fleet are refused.
    pub fleet: String,
    /// Name of this process in logs.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its own address.
    pub ip: Ipv4Addr,
    /// Port on which coordinators are reached, alike on all machines.
    pub mesh_port: u16,
    /// Address for callers on this machine.
    pub outbound_listen: SocketAddrV4,
    /// Address for peers.
    pub inbound_listen: SocketAddrV4,
    /// Address for readiness.
    pub ready_listen: SocketAddrV4,
    /// Address where the upstream registers.
    pub registration_listen: SocketAddrV4,
    /// Address for metrics, health and readiness.
    pub metrics_listen: SocketAddrV4,
    /// Address of the upstream.
    pub upstream: SocketAddrV4,
    /// Service of the upstream.
    pub service: String,
    /// Some coordinators.
    pub seeds: Vec<SocketAddrV4>,
    /// Connections between processes are neither encrypted nor authenticated; see the
    /// coordinators' settings.
    pub plain_transport: bool,
    /// Bound on repeats.
    pub retry_budget: RetryBudgetSettings,
    /// Region of each zone; zones that are not named are all in one. Calls stay in their region while
    /// it has room.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Bound on calls to cold upstreams.
    #[serde(default)]
    pub cold_start: ColdStartSettings,
    /// Time after an upstream said that it leaves, until it is given no more calls, ms.
    pub drain_ms: u64,
    /// Longest time for a planned stop, milliseconds.
    pub stop_ms: u64,
    /// Speed of this machine's link, megabits a second; peers send less over one that is nearly
    /// full. 0 if it is not known.
    #[serde(default)]
    pub link_mbps: f64,
    /// Whether a repeatable call that takes longer than nearly all of its like is also sent to a second
    /// upstream that has an idle slot, within the bound on repeats.
    #[serde(default = "default_hedging")]
    pub hedging: bool,
    /// One of so many calls has every step logged, the same ones on all nodes; refusals and
    /// failures are always logged.
    #[serde(default = "default_log_sample")]
    pub log_sample: u64,
}

fn default_hedging() -> bool {
    true
}

fn default_log_sample() -> u64 {
    16
}

impl Validate for SidecarSettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.require("plain_transport", self.plain_transport, "only true is possible");
        checks.require("seeds", !self.seeds.is_empty(), "at least one seed is needed");
        checks.require("service", !self.service.is_empty(), "must name a service");
        checks.range("drain_ms", self.drain_ms, 100, 600_000);
        checks.range("stop_ms", self.stop_ms, 500, 600_000);
        checks.range("log_sample", self.log_sample, 1, 1_000_000);
        checks.range("retry_budget.window_s", self.retry_budget.window_s, 1, 3_600);
        checks.require("link_mbps", self.link_mbps >= 0.0, "must not be below 0");
        let ratio = (0.0..=1.0).contains(&self.retry_budget.ratio);
        checks.require("retry_budget.ratio", ratio, "must be 0 to 1");
        let over = (0.1..=100.0).contains(&self.cold_start.over);
        checks.require("cold_start.over", over, "must be 0.1 to 100");
        let cold_slack = (0.0..=1e6).contains(&self.cold_start.slack);
        checks.require("cold_start.slack", cold_slack, "must be 0 to 1000000");
        let slack = self.retry_budget.slack >= 0.0;
        checks.require("retry_budget.slack", slack, "must not be below 0");
    }
}
