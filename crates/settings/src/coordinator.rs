//! Settings of a coordinator.

use crate::{Checks, Validate};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// Settings of `chutecove coordinator`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Name of the fleet; connections and data of another fleet are refused.
    pub fleet: String,
    /// Name of this process in logs.
    pub name: String,
    /// Its zone; sidecars prefer a coordinator of their own. Empty: none is nearer.
    #[serde(default)]
    pub zone: String,
    /// Its own address.
    pub ip: Ipv4Addr,
    /// Port on which coordinators and sidecars reach coordinators, alike on all machines.
    pub mesh_port: u16,
    /// Address for operators; the port is alike on all machines.
    pub api_listen: SocketAddrV4,
    /// Address for metrics, health and readiness.
    pub metrics_listen: SocketAddrV4,
    /// Folder for all durable state.
    pub data_dir: PathBuf,
    /// Some coordinators; of a new fleet, its first voters.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether an empty data folder may begin a new fleet.
    #[serde(default)]
    pub bootstrap: bool,
    /// Connections between processes are neither encrypted nor authenticated. There is no other
    /// transport for coordinators yet, so the settings must say that this is known.
    pub plain_transport: bool,
    /// Principal whose replacements arrive signed off; empty: nobody.
    #[serde(default)]
    pub trusted_source: String,
    /// Members that vote, once there are as many; see [`CoordinatorSettings::desired_voters`].
    #[serde(default = "default_voters")]
    pub voters: u64,
    /// Machines of coordinators that may lose their disks at once.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: u64,
    /// Time without a sign of life after which a voter is exchanged for a spare member, ms.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Time without a sign of life after which a sidecar is taken for gone, milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Length of one tick of the consensus clock, milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Shortest time without a leader before an election, milliseconds; the longest is twice it.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Time between heartbeats of a leader, milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Log size at which a checkpoint is made, bytes.
    #[serde(default = "default_checkpoint_bytes")]
    pub checkpoint_bytes: u64,
    /// Part of a service's calls that a new version of its upstreams may have been given by the time
    /// at which it turns out to be bad, 0 to 1.
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
    /// Voters that the group should have: a majority of them must outlive the losses that are to be
    /// borne at once.
    pub fn desired_voters(&self) -> u64 {
        self.voters.max(2 * self.tolerated_losses + 1)
    }
}

impl Validate for CoordinatorSettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.require("plain_transport", self.plain_transport, "only true is possible");
        checks.require("seeds", !self.seeds.is_empty(), "at least one seed is needed");
        let exposed = self.canary_exposed_part > 0.0 && self.canary_exposed_part <= 1.0;
        checks.require("canary_exposed_part", exposed, "must be above 0 and at most 1");
        checks.range("voters", self.voters, 1, 9);
        checks.range("tolerated_losses", self.tolerated_losses, 0, 4);
        checks.range("silence_ms", self.silence_ms, 2 * self.election_ms, 600_000);
        checks.range("lease_ms", self.lease_ms, 500, 60_000);
        checks.range("tick_ms", self.tick_ms, 1, 1_000);
        checks.range("election_ms", self.election_ms, 5 * self.tick_ms, 60_000);
        checks.range("heartbeat_ms", self.heartbeat_ms, self.tick_ms, self.election_ms / 3);
        checks.range("checkpoint_bytes", self.checkpoint_bytes, 4_096, 1 << 32);
    }
}
