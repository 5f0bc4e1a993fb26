//! Questions about the state; none changes it.

use super::{
    CanaryRecord, ConfigMachine, EvacuationRecord, GenerationRecord, StoredBundle, VersionClaim,
    VersionSummary,
};
use crate::{ApprovalPolicy, Candidate, GenerationTarget, TargetView};
use bundle::{Bundle, Digest};
use std::collections::BTreeMap;

impl ConfigMachine {
    /// Whether the content in force, or one that is being rolled out, knows a service.
    pub(super) fn has_service(&self, name: &str) -> bool {
        let view = self.view();
        let mut contents = view.targets().filter_map(|target| self.bundles.get(&target.digest));
        contents.any(|stored| stored.bundle.services().any(|service| service.name == name))
    }

    /// The newest canary of each service that ever had one, by service.
    pub fn canaries(&self) -> &BTreeMap<String, CanaryRecord> {
        &self.canaries.records
    }

    /// Log index of the newest change of a canary; 0 before the first.
    pub fn canaries_revision(&self) -> u64 {
        self.canaries.revision
    }

    /// The evacuated zones.
    pub fn evacuations(&self) -> &BTreeMap<String, EvacuationRecord> {
        &self.evacuations.zones
    }

    /// Log index of the newest change of the evacuated zones; 0 before the first.
    pub fn evacuations_revision(&self) -> u64 {
        self.evacuations.revision
    }

    /// The policy in force.
    pub fn approval_policy(&self) -> &ApprovalPolicy {
        &self.policy
    }

    /// The operators' number of the newest replacement; 0 before the first.
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

    /// What relays need to know.
    pub fn view(&self) -> TargetView {
        let candidate = self.rollout.as_ref().map(|rollout| Candidate {
            target: rollout.target.clone(),
            active_stages: rollout.stages[..rollout.reached as usize].to_vec(),
        });
        TargetView { revision: self.revision, base: self.base.clone(), candidate }
    }

    /// The rollout's generation, stages reached and rule, unless paused or absent.
    pub(crate) fn self_advancing(&self) -> Option<(u64, u32, u32)> {
        let rollout = self.rollout.as_ref().filter(|rollout| !rollout.paused)?;
        let seconds = rollout.advance_after_s?;
        Some((rollout.target.generation, rollout.reached, seconds))
    }

    /// Whether the rollout is paused.
    pub fn paused(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| rollout.paused)
    }

    /// Number of stages of the rollout in progress, reached and in all.
    pub fn rollout_stages(&self) -> Option<(u32, usize)> {
        self.rollout.as_ref().map(|rollout| (rollout.reached, rollout.stages.len()))
    }

    /// The newest generation accepted.
    pub fn newest_generation(&self) -> u64 {
        self.newest_generation
    }

    /// A stored bundle; the empty one is always known.
    pub fn bundle(&self, digest: &Digest) -> Option<&StoredBundle> {
        self.bundles.get(digest)
    }

    /// Content by digest, the empty bundle included.
    pub fn content(&self, digest: &Digest) -> Option<Bundle> {
        let empty = Bundle::default();
        if *digest == empty.digest() {
            return Some(empty);
        }
        self.bundles.get(digest).map(|stored| stored.bundle.clone())
    }

    /// The digest submitted under a version.
    pub fn version(&self, version: u64) -> Option<Digest> {
        self.versions.get(&version).map(|held| held.digest)
    }

    /// All stored versions.
    pub fn versions(&self) -> Vec<VersionSummary> {
        let summary = |(version, held): (&u64, &VersionClaim)| {
            let stored = self.bundles.get(&held.digest)?;
            Some(VersionSummary {
                version: *version,
                digest: held.digest,
                submitter: held.submitter.clone(),
                approver: stored.approval.as_ref().map(|approval| approval.operator.clone()),
                objects: stored.bundle.objects().len(),
            })
        };
        self.versions.iter().filter_map(summary).collect()
    }

    /// The generations kept, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &GenerationRecord> {
        self.history.iter()
    }
}
