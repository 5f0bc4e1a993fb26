//! Settings of a relay.

use crate::{Checks, TlsSettings, Validate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A control replica, as relays reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlAddressSettings {
    /// Member id.
    pub id: u64,
    /// Address for our own processes.
    pub address: SocketAddr,
}

/// Settings of `chutecove relay`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Unique name of this relay.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address for proxies and other relays.
    pub listen: SocketAddr,
    /// Address for metrics, health and readiness.
    pub metrics_listen: SocketAddr,
    /// Certificate.
    pub tls: TlsSettings,
    /// Control replicas.
    pub control: Vec<ControlAddressSettings>,
    /// Other relays, to exchange leaving marks with.
    #[serde(default)]
    pub peer: Vec<SocketAddr>,
    /// Address of the platform's list of machines.
    pub platform_url: String,
    /// Time between two readings of the list, milliseconds.
    #[serde(default = "default_platform_poll_ms")]
    pub platform_poll_ms: u64,
    /// Longest time a proxy's request is held without news, milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// A proxy not heard from for this long is reported as unknown, milliseconds.
    #[serde(default = "default_proxy_lease_ms")]
    pub proxy_lease_ms: u64,
    /// Snapshots and other large updates sent at once; the rest are told when to come back.
    #[serde(default = "default_max_catch_ups")]
    pub max_catch_ups: u64,
    /// Connections accepted at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: u64,
    /// Groups that claims are spread over; the same as control's.
    #[serde(default = "default_claim_groups")]
    pub claim_groups: u32,
}

fn default_platform_poll_ms() -> u64 {
    500
}
fn default_hold_ms() -> u64 {
    2_500
}
fn default_proxy_lease_ms() -> u64 {
    6_000
}
fn default_max_catch_ups() -> u64 {
    32
}
fn default_max_connections() -> u64 {
    2_000
}
fn default_claim_groups() -> u32 {
    2
}

impl Validate for RelaySettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.name("name", &self.name);
        checks.name("zone", &self.zone);
        checks.name("region", &self.region);
        checks.require("control", !self.control.is_empty(), "at least one replica is needed");
        checks.range("platform_poll_ms", self.platform_poll_ms, 50, 60_000);
        checks.range("hold_ms", self.hold_ms, 100, 30_000);
        checks.range("proxy_lease_ms", self.proxy_lease_ms, 2 * self.hold_ms, 120_000);
        checks.range("max_catch_ups", self.max_catch_ups, 1, 10_000);
        checks.range("max_connections", self.max_connections, 1, 100_000);
        checks.range("claim_groups", u64::from(self.claim_groups), 0, 64);
        let http = self.platform_url.starts_with("http://");
        checks.require("platform_url", http, "must begin with http://");
    }
}
