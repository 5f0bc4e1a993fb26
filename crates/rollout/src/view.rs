//! The committed target generations, and the proxies that each applies to.

use bundle::{Approval, Digest};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Identity and location of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProxyName {
    /// Id, unique in the fleet and stable across restarts.
    pub id: String,
    /// Zone in which the proxy runs.
    pub zone: String,
}

/// A set of proxies that a rollout reaches at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Stage {
    /// Proxies with these ids.
    Proxies(Vec<String>),
    /// All proxies of these zones.
    Zones(Vec<String>),
    /// This percentage of all proxies, selected by a hash of proxy and generation.
    Percent(u32),
    /// All proxies.
    All,
}

/// A generation and its bundle.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct GenerationTarget {
    /// Strictly increasing number; 0 is the empty configuration of a new fleet.
    pub generation: u64,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Approval of the bundle; `None` only for the empty bundle.
    pub approval: Option<Approval>,
}

/// A generation that is being rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Candidate {
    /// The generation.
    pub target: GenerationTarget,
    /// Stages reached so far; a proxy in any of them gets the generation.
    pub active_stages: Vec<Stage>,
}

/// The part of the rollout state that relays need.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TargetView {
    /// Log index of the last change; orders views.
    pub revision: u64,
    /// The generation of the proxies that are not in a reached stage of the candidate.
    pub base: GenerationTarget,
    /// The generation being rolled out.
    pub candidate: Option<Candidate>,
}

impl TargetView {
    /// The view of a fleet to which nothing has been rolled out.
    pub fn empty() -> Self {
        let digest = bundle::Bundle::default().digest();
        TargetView {
            revision: 0,
            base: GenerationTarget { generation: 0, digest, approval: None },
            candidate: None,
        }
    }

    /// The generation that the proxy should apply. For a given proxy it only increases with
    /// `revision`.
    pub fn target_for(&self, proxy: &ProxyName) -> &GenerationTarget {
        match &self.candidate {
            Some(candidate) if candidate.covers(proxy) => &candidate.target,
            _ => &self.base,
        }
    }

    /// The targets in use: the base and, during a rollout, the candidate.
    pub fn targets(&self) -> impl Iterator<Item = &GenerationTarget> {
        std::iter::once(&self.base).chain(self.candidate.iter().map(|candidate| &candidate.target))
    }

    /// The highest generation in use.
    pub fn newest_generation(&self) -> u64 {
        self.targets().map(|target| target.generation).max().unwrap_or(0)
    }
}

impl Candidate {
    /// Whether the proxy is in a stage reached so far.
    pub fn covers(&self, proxy: &ProxyName) -> bool {
        let generation = self.target.generation;
        self.active_stages.iter().any(|stage| stage.includes(proxy, generation))
    }
}

impl Stage {
    /// Whether the proxy is in the stage. Constant for a given generation.
    pub fn includes(&self, proxy: &ProxyName, generation: u64) -> bool {
        match self {
            Stage::Proxies(ids) => ids.contains(&proxy.id),
            Stage::Zones(zones) => zones.contains(&proxy.zone),
            Stage::Percent(percent) => percentile(&proxy.id, generation) < *percent,
            Stage::All => true,
        }
    }
}

/// Maps a proxy to a number from 0 to 99 that depends on the generation, so that different proxies
/// are the first to get each new generation.
fn percentile(proxy: &str, generation: u64) -> u32 {
    let digest = Digest::of(format!("{generation}/{proxy}").as_bytes());
    let mut prefix = [0; 4];
    prefix.copy_from_slice(&digest.0[..4]);
    u32::from_le_bytes(prefix) % 100
}
