//! The committed targets, and which proxy each applies to.

use bundle::{Approval, Digest};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Names a proxy and says where it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProxyName {
    /// Unique in the fleet and stable over restarts.
    pub id: String,
    /// Its zone.
    pub zone: String,
}

/// A set of proxies that a rollout reaches together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Stage {
    /// These proxies.
    Proxies(Vec<String>),
    /// All proxies of these zones.
    Zones(Vec<String>),
    /// This share of all proxies, per cent, chosen by a hash of proxy and generation.
    Percent(u32),
    /// Every proxy.
    All,
}

/// A generation with the bundle it stands for.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct GenerationTarget {
    /// Strictly rising number; 0 is the empty configuration a fleet begins with.
    pub generation: u64,
    /// Digest of its bundle.
    pub digest: Digest,
    /// Sign-off of the bundle; `None` only for generation 0.
    pub approval: Option<Approval>,
}

/// A generation that is being rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Candidate {
    /// What is rolled out.
    pub target: GenerationTarget,
    /// Stages reached so far; they add up.
    pub active_stages: Vec<Stage>,
}

/// What every relay needs to know of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TargetView {
    /// Log index of the last change; views are ordered by it.
    pub revision: u64,
    /// The generation of all proxies outside the candidate's stages.
    pub base: GenerationTarget,
    /// The generation being rolled out.
    pub candidate: Option<Candidate>,
}

impl TargetView {
    /// The view of a fleet to which nothing was rolled out.
    pub fn empty() -> Self {
        let digest = bundle::Bundle::default().digest();
        TargetView {
            revision: 0,
            base: GenerationTarget { generation: 0, digest, approval: None },
            candidate: None,
        }
    }

    /// The generation this proxy shall have. For a given proxy it only rises with `revision`.
    pub fn target_for(&self, proxy: &ProxyName) -> &GenerationTarget {
        match &self.candidate {
            Some(candidate) if candidate.covers(proxy) => &candidate.target,
            _ => &self.base,
        }
    }

    /// The targets in use: one, or two during a rollout.
    pub fn targets(&self) -> impl Iterator<Item = &GenerationTarget> {
        std::iter::once(&self.base).chain(self.candidate.iter().map(|found| &found.target))
    }

    /// The highest generation in use.
    pub fn newest_generation(&self) -> u64 {
        self.targets().map(|target| target.generation).max().unwrap_or(0)
    }
}

impl Candidate {
    /// Whether a stage reached so far includes the proxy.
    pub fn covers(&self, proxy: &ProxyName) -> bool {
        let generation = self.target.generation;
        self.active_stages.iter().any(|stage| stage.includes(proxy, generation))
    }
}

impl Stage {
    /// Whether the stage includes a proxy; the answer never changes for one generation.
    pub fn includes(&self, proxy: &ProxyName, generation: u64) -> bool {
        match self {
            Stage::Proxies(ids) => ids.contains(&proxy.id),
            Stage::Zones(zones) => zones.contains(&proxy.zone),
            Stage::Percent(percent) => percentile(&proxy.id, generation) < *percent,
            Stage::All => true,
        }
    }
}

/// A number from 0 to 99 that is stable for a proxy and differs between generations, so that the
/// same proxies are not always the first to get a new version.
fn percentile(proxy: &str, generation: u64) -> u32 {
    let digest = Digest::of(format!("{generation}/{proxy}").as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&digest.0[..4]);
    u32::from_le_bytes(first) % 100
}
