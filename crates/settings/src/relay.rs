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
    /// Address for other processes of the fleet.
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
    /// Zone of this relay.
    pub zone: String,
    /// Region of this relay.
    pub region: String,
    /// Address for proxies and other relays.
    pub listen: SocketAddr,
    /// Address of the metrics, health and readiness endpoints.
    pub metrics_listen: SocketAddr,
    /// TLS files.
    pub tls: TlsSettings,
    /// Control replicas.
    pub control: Vec<ControlAddressSettings>,
    /// Other relays, with which this relay exchanges leaving marks.
    #[serde(default)]
    pub peer: Vec<SocketAddr>,
    /// URL of the platform's list of machines.
    pub platform_url: String,
    /// Interval at which the list of machines is polled, in milliseconds.
    #[serde(default = "default_platform_poll_ms")]
    pub platform_poll_ms: u64,
    /// Maximum time for which a proxy's long poll is held without an update, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Time without contact after which a proxy is reported as unknown, in milliseconds.
    #[serde(default = "default_proxy_lease_ms")]
    pub proxy_lease_ms: u64,
    /// Maximum number of snapshots and other large updates sent at once; other proxies are told
    /// when to retry.
    #[serde(default = "default_max_catch_ups")]
    pub max_catch_ups: u64,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: u64,
    /// Number of groups that claims are sharded over; must be the same as in the control replicas'
    /// settings.
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
        let is_http = self.platform_url.starts_with("http://");
        checks.require("platform_url", is_http, "must begin with http://");
    }
}
