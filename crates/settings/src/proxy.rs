//! Settings of a proxy.

use crate::{Checks, TlsSettings, Validate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A relay, as proxies reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayAddressSettings {
    /// Address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A back end on the proxy's own node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalBackendSettings {
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Settings of `chutecove proxy`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Unique name of this proxy, stable over restarts.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for metrics, health and readiness.
    pub metrics_listen: SocketAddr,
    /// Certificate.
    pub tls: TlsSettings,
    /// Relays, in any order.
    pub relay: Vec<RelayAddressSettings>,
    /// Keys that open secrets.
    pub seal_key_file: PathBuf,
    /// Operators whose approval of a bundle is accepted.
    pub operators_file: PathBuf,
    /// Folder for the applied configuration, if the node has a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Back ends on this node, watched for draining.
    #[serde(default)]
    pub local_backend: Vec<LocalBackendSettings>,
    /// Connections of callers served at once, a thread each; more are refused as not run.
    #[serde(default = "default_workers")]
    pub workers: u64,
    /// Calls accepted at once, waiting ones included.
    #[serde(default = "default_max_calls")]
    pub max_calls: u64,
    /// Largest request or answer body, bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Time between two looks at a local back end's health, milliseconds.
    #[serde(default = "default_health_poll_ms")]
    pub health_poll_ms: u64,
    /// On a planned stop, time for callers to go elsewhere before the last call is awaited, ms.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// On a planned stop, longest wait for calls in flight, milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// How long the outcome of a keyed call is kept, seconds.
    #[serde(default = "default_claim_keep_s")]
    pub claim_keep_s: u64,
}

fn default_workers() -> u64 {
    512
}
fn default_max_calls() -> u64 {
    1_024
}
fn default_max_body_bytes() -> u64 {
    4 * 1024 * 1024
}
fn default_health_poll_ms() -> u64 {
    500
}
fn default_drain_notice_ms() -> u64 {
    1_000
}
fn default_drain_limit_ms() -> u64 {
    30_000
}
fn default_claim_keep_s() -> u64 {
    24 * 3600
}

impl Validate for ProxySettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.name("name", &self.name);
        checks.name("zone", &self.zone);
        checks.name("region", &self.region);
        checks.require("relay", !self.relay.is_empty(), "at least one relay is needed");
        checks.range("workers", self.workers, 1, 4_096);
        checks.range("max_calls", self.max_calls, 1, 100_000);
        checks.range("max_body_bytes", self.max_body_bytes, 1_024, 1 << 30);
        checks.range("health_poll_ms", self.health_poll_ms, 50, 60_000);
        checks.range("drain_notice_ms", self.drain_notice_ms, 0, 60_000);
        checks.range("drain_limit_ms", self.drain_limit_ms, 0, 600_000);
        checks.range("claim_keep_s", self.claim_keep_s, 1, 30 * 24 * 3600);
    }
}
