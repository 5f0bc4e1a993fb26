//! Settings of a proxy.

use crate::{Checks, TlsSettings, Validate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A relay, as proxies reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayAddressSettings {
    /// Address of the relay.
    pub address: SocketAddr,
    /// Zone of the relay.
    pub zone: String,
    /// Region of the relay.
    pub region: String,
}

/// A backend on the proxy's own node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalBackendSettings {
    /// Service of the backend.
    pub service: String,
    /// Address on which the backend listens.
    pub address: SocketAddr,
}

/// Settings of `chutecove proxy`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Unique name of this proxy, stable across restarts.
    pub name: String,
    /// Zone of this proxy.
    pub zone: String,
    /// Region of this proxy.
    pub region: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address of the metrics, health and readiness endpoints.
    pub metrics_listen: SocketAddr,
    /// TLS files.
    pub tls: TlsSettings,
    /// Relays, in any order.
    pub relay: Vec<RelayAddressSettings>,
    /// Path of the keys that decrypt secrets.
    pub seal_key_file: PathBuf,
    /// Path of the operators file, with the operators whose approval of a bundle is accepted.
    pub operators_file: PathBuf,
    /// Directory for the applied configuration, if the node has a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Backends on this node, whose health endpoint is polled to detect draining.
    #[serde(default)]
    pub local_backend: Vec<LocalBackendSettings>,
    /// Maximum number of caller connections served at once, with one thread each; calls on further
    /// connections are refused as not run.
    #[serde(default = "default_workers")]
    pub workers: u64,
    /// Maximum number of concurrent calls, including queued ones.
    #[serde(default = "default_max_calls")]
    pub max_calls: u64,
    /// Maximum size of a request or response body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Interval at which the health of local backends is polled, in milliseconds.
    #[serde(default = "default_health_poll_ms")]
    pub health_poll_ms: u64,
    /// On a planned stop, time that callers have to move to other proxies before the proxy waits
    /// for the last calls, in ms.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// On a planned stop, maximum wait for calls in flight, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// How long the outcome of a call with an idempotency key is kept, in seconds.
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
