//! Settings of a control replica.

use crate::{Checks, TlsSettings, Validate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A control replica, as the other replicas reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Member id; must not be reused after the replica lost its disk.
    pub id: u64,
    /// Address for other processes of the fleet.
    pub address: SocketAddr,
    /// Address of the operator API.
    pub api_address: SocketAddr,
}

/// Settings of `chutecove control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the fleet; a data directory of another fleet is rejected.
    pub fleet: String,
    /// Member id of this replica.
    pub member_id: u64,
    /// Address for other processes of the fleet.
    pub listen: SocketAddr,
    /// Address of the operator API.
    pub api_listen: SocketAddr,
    /// Address of the metrics, health and readiness endpoints.
    pub metrics_listen: SocketAddr,
    /// Directory for all durable state.
    pub data_dir: PathBuf,
    /// Path of the operators file.
    pub operators_file: PathBuf,
    /// TLS files.
    pub tls: TlsSettings,
    /// All control replicas, including this one.
    pub peer: Vec<PeerSettings>,
    /// Number of independent consensus groups that claims are sharded over.
    #[serde(default = "default_claim_groups")]
    pub claim_groups: u32,
    /// Duration of one tick of the consensus clock, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Minimum election timeout in milliseconds; the maximum is twice as long.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Interval between heartbeats of a leader, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum time for which a relay's long poll is held without an update, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Maximum number of relays served at once; others are told when to retry.
    #[serde(default = "default_max_readers")]
    pub max_readers: u64,
    /// Log size at which a checkpoint is written, in bytes.
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
        let lists_itself = ids.contains(&self.member_id);
        checks.require("peer", lists_itself, "this member's own id must be listed");
    }
}
