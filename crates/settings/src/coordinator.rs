//! Settings of a coordinator.

use crate::{Checks, Validate};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// Settings of `chutecove coordinator`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Name of the fleet; connections and data of another fleet are rejected.
    pub fleet: String,
    /// Name of this process in logs.
    pub name: String,
    /// Zone of the coordinator; sidecars prefer a coordinator in their own zone. If empty, no
    /// sidecar prefers it.
    #[serde(default)]
    pub zone: String,
    /// IP address of this machine.
    pub ip: Ipv4Addr,
    /// Port on which coordinators and sidecars reach coordinators; the same on all machines.
    pub mesh_port: u16,
    /// Address of the operator API; the port is the same on all machines.
    pub api_listen: SocketAddrV4,
    /// Address of the metrics, health and readiness endpoints.
    pub metrics_listen: SocketAddrV4,
    /// Directory for all durable state.
    pub data_dir: PathBuf,
    /// Addresses of some coordinators; for a new fleet, its initial voters.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether a coordinator with an empty data directory may bootstrap a new fleet.
    #[serde(default)]
    pub bootstrap: bool,
    /// Acknowledges that connections between processes are neither encrypted nor authenticated.
    /// Must be true, because coordinators have no other transport yet.
    pub plain_transport: bool,
    /// Principal whose configuration replacements need no further approval; empty for none.
    #[serde(default)]
    pub trusted_source: String,
    /// Desired number of voting members, once there are as many members; see
    /// [`CoordinatorSettings::desired_voters`].
    #[serde(default = "default_voters")]
    pub voters: u64,
    /// Number of coordinator machines that may lose their disks at the same time.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: u64,
    /// Time without contact after which a voter is replaced by a non-voting member, in ms.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Time from the stop signal until the process is killed, in ms. A stopping voter uses it to hand its
    /// vote over.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Time without contact after which a sidecar is considered gone, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Duration of one tick of the consensus clock, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Minimum election timeout in milliseconds; the maximum is twice as long.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Interval between heartbeats of a leader, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Log size at which a checkpoint is written, in bytes.
    #[serde(default = "default_checkpoint_bytes")]
    pub checkpoint_bytes: u64,
    /// Maximum fraction of a service's calls that a new version of its upstreams may have received
    /// by the time it is found to be bad; above 0, at most 1.
    #[serde(default = "default_canary_exposed_part")]
    pub canary_exposed_part: f64,
}

fn default_canary_exposed_part() -> f64 {
    0.1
}

fn default_voters() -> u64 {
    3
}
fn default_tolerated_losses() -> u64 {
    1
}
fn default_silence_ms() -> u64 {
    2_000
}
fn default_stop_ms() -> u64 {
    6_000
}
fn default_lease_ms() -> u64 {
    3_000
}
fn default_tick_ms() -> u64 {
    50
}
fn default_election_ms() -> u64 {
    600
}
fn default_heartbeat_ms() -> u64 {
    150
}
fn default_checkpoint_bytes() -> u64 {
    2 * 1024 * 1024
}

impl CoordinatorSettings {
    /// Number of voters that the group should have: at least so many that a majority survives the
    /// tolerated number of simultaneous losses.
    pub fn desired_voters(&self) -> u64 {
        self.voters.max(2 * self.tolerated_losses + 1)
    }
}

impl Validate for CoordinatorSettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.require(
            "plain_transport",
            self.plain_transport,
            "must be true; no other transport is supported",
        );
        checks.require("seeds", !self.seeds.is_empty(), "at least one seed is needed");
        let valid_part = self.canary_exposed_part > 0.0 && self.canary_exposed_part <= 1.0;
        checks.require("canary_exposed_part", valid_part, "must be above 0 and at most 1");
        checks.range("voters", self.voters, 1, 9);
        checks.range("tolerated_losses", self.tolerated_losses, 0, 4);
        checks.range("silence_ms", self.silence_ms, 2 * self.election_ms, 600_000);
        checks.range("stop_ms", self.stop_ms, 3_000, 600_000);
        checks.range("lease_ms", self.lease_ms, 500, 60_000);
        checks.range("tick_ms", self.tick_ms, 1, 1_000);
        checks.range("election_ms", self.election_ms, 5 * self.tick_ms, 60_000);
        checks.range("heartbeat_ms", self.heartbeat_ms, self.tick_ms, self.election_ms / 3);
        checks.range("checkpoint_bytes", self.checkpoint_bytes, 4_096, 1 << 32);
    }
}
