//! Read-only queries of the state.

use super::{
    CanaryRecord, ConfigMachine, EvacuationRecord, GenerationRecord, StoredBundle, VersionClaim,
    VersionSummary,
};
use crate::{ApprovalPolicy, Candidate, GenerationTarget, TargetView};
use bundle::{Bundle, Digest};
use std::collections::BTreeMap;

impl ConfigMachine {
    /// Whether the content in force or the content being rolled out contains a service.
    pub(super) fn has_service(&self, name: &str) -> bool {
        let view = self.view();
        let mut bundles = view.targets().filter_map(|target| self.bundles.get(&target.digest));
        bundles.any(|stored| stored.bundle.services().any(|service| service.name == name))
    }

    /// The newest canary of each service that has had one, by service.
    pub fn canaries(&self) -> &BTreeMap<String, CanaryRecord> {
        &self.canaries.records
    }

    /// Log index of the newest change of a canary; 0 before the first.
    pub fn canaries_revision(&self) -> u64 {
        self.canaries.revision
    }

    /// The evacuated zones, by name.
    pub fn evacuations(&self) -> &BTreeMap<String, EvacuationRecord> {
        &self.evacuations.zones
    }

    /// Log index of the newest change of the evacuated zones; 0 before the first.
    pub fn evacuations_revision(&self) -> u64 {
        self.evacuations.revision
    }

    /// The approval policy.
    pub fn approval_policy(&self) -> &ApprovalPolicy {
        &self.policy
    }

    /// The version of the newest replacement; 0 before the first.
    pub fn current_version(&self) -> u64 {
        self.current_version
    }

    /// The generation in force outside a rollout, with its content.
    pub fn in_force(&self) -> (GenerationTarget, Bundle) {
        (self.base.clone(), self.content(&self.base.digest).unwrap_or_default())
    }

    /// The generation in force outside a rollout.
    pub fn in_force_generation(&self) -> u64 {
        self.base.generation
    }

    /// The view of the rollout state for relays.
    pub fn view(&self) -> TargetView {
        let candidate = self.rollout.as_ref().map(|rollout| Candidate {
            target: rollout.target.clone(),
            active_stages: rollout.stages[..rollout.stages_reached as usize].to_vec(),
        });
        TargetView { revision: self.revision, base: self.base.clone(), candidate }
    }

    /// The generation of the rollout, the number of stages reached and the time in seconds that a
    /// stage must be healthy, if the rollout advances automatically and is not paused.
    pub(crate) fn automatic_advance(&self) -> Option<(u64, u32, u32)> {
        let rollout = self.rollout.as_ref().filter(|rollout| !rollout.paused)?;
        let seconds = rollout.advance_after_s?;
        Some((rollout.target.generation, rollout.stages_reached, seconds))
    }

    /// Whether the rollout is paused.
    pub fn paused(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.paused)
    }

    /// Number of stages reached and total number of stages of the rollout in progress.
    pub fn rollout_stages(&self) -> Option<(u32, usize)> {
        self.rollout.as_ref().map(|rollout| (rollout.stages_reached, rollout.stages.len()))
    }

    /// The newest generation.
    pub fn newest_generation(&self) -> u64 {
        self.newest_generation
    }

    /// The stored bundle with the given digest.
    pub fn bundle(&self, digest: &Digest) -> Option<&StoredBundle> {
        self.bundles.get(digest)
    }

    /// The bundle with the given digest. The empty bundle exists without being stored.
    pub fn content(&self, digest: &Digest) -> Option<Bundle> {
        let empty = Bundle::default();
        if *digest == empty.digest() {
            return Some(empty);
        }
        self.bundles.get(digest).map(|stored| stored.bundle.clone())
    }

    /// Digest of the bundle with the given version.
    pub fn version(&self, version: u64) -> Option<Digest> {
        self.versions.get(&version).map(|claim| claim.digest)
    }

    /// Summaries of the versions whose bundles are stored.
    pub fn versions(&self) -> Vec<VersionSummary> {
        let summary = |(version, claim): (&u64, &VersionClaim)| {
            let stored = self.bundles.get(&claim.digest)?;
            Some(VersionSummary {
                version: *version,
                digest: claim.digest,
                submitter: claim.submitter.clone(),
                approver: stored.approval.as_ref().map(|approval| approval.operator.clone()),
                objects: stored.bundle.objects().len(),
            })
        };
        self.versions.iter().filter_map(summary).collect()
    }

    /// The retained generations, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &GenerationRecord> {
        self.history.iter()
    }
}
