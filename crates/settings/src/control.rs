//! Settings of a control replica.

use crate::{Checks, TlsSettings, Validate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// One control replica, as the others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Member id, never reused after its disk was lost.
    pub id: u64,
    /// Address for our own processes.
    pub address: SocketAddr,
    /// Address for operators.
    pub api_address: SocketAddr,
}

/// Settings of `chutecove control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the fleet; a data folder of another fleet is refused.
    pub fleet: String,
    /// Member id of this replica.
    pub member_id: u64,
    /// Address for our own processes.
    pub listen: SocketAddr,
    /// Address for operators.
    pub api_listen: SocketAddr,
    /// Address for metrics, health and readiness.
    pub metrics_listen: SocketAddr,
    /// Folder for all durable state.
    pub data_dir: PathBuf,
    /// List of operators.
    pub operators_file: PathBuf,
    /// Certificate.
    pub tls: TlsSettings,
    /// All replicas, this one included.
    pub peer: Vec<PeerSettings>,
    /// Independent groups that claims are spread over.
    #[serde(default = "default_claim_groups")]
    pub claim_groups: u32,
    /// Length of one tick of the consensus clock, milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Shortest time without a leader before an election, milliseconds; the longest is twice it.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Time between heartbeats of a leader, milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Longest time a relay's request is held without news, milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Relays served at once; the rest are told when to come back.
    #[serde(default = "default_max_readers")]
    pub max_readers: u64,
    /// Log size at which a checkpoint is made, bytes.
    #[serde(default = "default_checkpoint_bytes")]
    pub checkpoint_bytes: u64,
}

fn default_claim_groups() -> u32 {
    2
}
fn default_tick_ms() -> u64 {
    20
}
fn default_election_ms() -> u64 {
    400
}
fn default_heartbeat_ms() -> u64 {
    80
}
fn default_hold_ms() -> u64 {
    500
}
fn default_max_readers() -> u64 {
    64
}
fn default_checkpoint_bytes() -> u64 {
    4 * 1024 * 1024
}

impl Validate for ControlSettings {
    fn validate(&self, checks: &mut Checks) {
        checks.name("fleet", &self.fleet);
        checks.range("member_id", self.member_id, 1, u64::MAX);
        checks.range("claim_groups", u64::from(self.claim_groups), 0, 64);
        checks.range("tick_ms", self.tick_ms, 1, 1_000);
        checks.range("election_ms", self.election_ms, 5 * self.tick_ms, 60_000);
        checks.range("heartbeat_ms", self.heartbeat_ms, self.tick_ms, self.election_ms / 3);
        checks.range("hold_ms", self.hold_ms, 50, 10_000);
        checks.range("max_readers", self.max_readers, 1, 10_000);
        checks.range("checkpoint_bytes", self.checkpoint_bytes, 4_096, 1 << 32);
        let mut ids: Vec<u64> = self.peer.iter().map(|peer| peer.id).collect();
        ids.sort_unstable();
        ids.dedup();
        checks.require("peer", ids.len() == self.peer.len(), "two peers have the same id");
        let own = ids.contains(&self.member_id);
        checks.require("peer", own, "this member's own id must be listed");
    }
}
