//! The replicated state machine of bundles, approvals, rollouts, canaries and evacuations.

mod canaries;
mod evacuations;
mod queries;
mod records;
mod snapshot;

pub use canaries::CanaryRecord;
pub use evacuations::EvacuationRecord;
pub use records::{GenerationKind, GenerationRecord, StoredBundle, VersionSummary};

use crate::command::{
    BadStagesSnafu, GenerationConflictSnafu, InvalidBundleSnafu, NoSuchRolloutSnafu,
    NotApprovedSnafu, NotTrustedSnafu, NothingToWithdrawSnafu, RequestIdReusedSnafu,
    RolloutInProgressSnafu, SelfApprovalSnafu, UnknownBundleSnafu, VersionChangedSnafu,
    VersionConflictSnafu, VersionNotAboveSnafu,
};
use crate::{
    Accepted, Answer, ApprovalPolicy, Command, GenerationTarget, Request, Stage, TargetView,
    CONTROL_OPERATOR,
};
use bundle::{Approval, Bundle, BundleUpdate, Digest, LIMITS};
use canaries::{Canaries, CanaryStep};
use evacuations::Evacuations;
use records::{RecordedAnswer, Rollout, VersionClaim};
use snafu::{ensure, OptionExt};
use speedy::Writable;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of bundles retained for deltas and withdrawals. Bundles in use are never evicted.
const RETAINED_BUNDLES: usize = 64;
/// Maximum number of bundles retained after a replacement.
const RETAINED_REPLACEMENTS: usize = 4;
/// Maximum number of version numbers retained, so that none is taken twice.
const RETAINED_VERSIONS: usize = 16_384;
/// Maximum number of generations retained in the history.
const RETAINED_GENERATIONS: usize = 1024;
/// Maximum number of answers retained for resends.
const RETAINED_ANSWERS: usize = 4096;

/// Safety mechanisms that can be disabled to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutWeakness {
    /// A resent request is executed again.
    ForgetsAnswers,
    /// A version number can be taken by a second bundle.
    AcceptsVersionTwice,
    /// A withdrawal reuses the number of the generation in force instead of a new one.
    ReusesGeneration,
    /// A replacement is accepted whatever version it is based on.
    IgnoresExpectedVersion,
}

/// State of the configuration, identical on every replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigMachine {
    revision: u64,
    bundles: BTreeMap<Digest, StoredBundle>,
    /// Digests of `bundles`, oldest first.
    bundle_order: VecDeque<Digest>,
    versions: BTreeMap<u64, VersionClaim>,
    base: GenerationTarget,
    rollout: Option<Rollout>,
    newest_generation: u64,
    history: VecDeque<GenerationRecord>,
    answers: VecDeque<RecordedAnswer>,
    policy: ApprovalPolicy,
    current_version: u64,
    canaries: Canaries,
    evacuations: Evacuations,
    weakness: Option<RolloutWeakness>,
}

impl Default for ConfigMachine {
    fn default() -> Self {
        ConfigMachine {
            revision: 0,
            bundles: BTreeMap::new(),
            bundle_order: VecDeque::new(),
            versions: BTreeMap::new(),
            base: TargetView::empty().base,
            rollout: None,
            newest_generation: 0,
            history: VecDeque::new(),
            answers: VecDeque::new(),
            policy: ApprovalPolicy::default(),
            current_version: 0,
            canaries: Canaries::default(),
            evacuations: Evacuations::default(),
            weakness: None,
        }
    }
}

impl ConfigMachine {
    /// Disables a mechanism, for tests of the checks.
    pub fn weaken(&mut self, weakness: RolloutWeakness) {
        self.weakness = Some(weakness);
    }

    /// Applies the committed request at log index `index`.
    pub fn apply(&mut self, index: u64, request: &Request) -> Answer {
        if is_idempotent(&request.command) {
            return self.execute(index, request);
        }
        let command_digest = command_digest(&request.command);
        let recorded = self.recorded_answer(request);
        let recorded = recorded.filter(|_| !self.has_weakness(RolloutWeakness::ForgetsAnswers));
        if let Some(recorded) = recorded {
            let reused = recorded.command_digest != command_digest;
            let request_id = &request.request_id;
            ensure!(!reused, RequestIdReusedSnafu { request_id });
            return recorded.answer.clone();
        }
        let answer = self.execute(index, request);
        self.record_answer(request, command_digest, answer.clone());
        answer
    }

    fn has_weakness(&self, weakness: RolloutWeakness) -> bool {
        self.weakness == Some(weakness)
    }

    fn recorded_answer(&self, request: &Request) -> Option<&RecordedAnswer> {
        self.answers.iter().rev().find(|answer| {
            answer.request_id == request.request_id && answer.operator == request.operator
        })
    }

    fn record_answer(&mut self, request: &Request, command_digest: Digest, answer: Answer) {
        self.answers.push_back(RecordedAnswer {
            operator: request.operator.clone(),
            request_id: request.request_id.clone(),
            command_digest,
            answer,
        });
        while self.answers.len() > RETAINED_ANSWERS {
            self.answers.pop_front();
        }
    }

    fn execute(&mut self, index: u64, request: &Request) -> Answer {
        let operator = &request.operator;
        match &request.command {
            Command::Submit { version, compressed } => self.submit(operator, *version, compressed),
            Command::Approve { digest, signature } => self.approve(operator, digest, signature),
            Command::Roll { digest, expected_generation, stages, advance_after_s } => {
                self.check_generation(*expected_generation)?;
                self.roll(index, operator, digest, stages, *advance_after_s)
            }
            Command::Advance { generation, from_stage } => {
                self.advance(index, *generation, *from_stage)
            }
            Command::Pause { generation } => {
                self.rollout_of(*generation)?.paused = true;
                Ok(Accepted::Paused { generation: *generation })
            }
            Command::Resume { generation } => {
                self.rollout_of(*generation)?.paused = false;
                Ok(Accepted::Resumed { generation: *generation })
            }
            Command::SetApprovalPolicy { policy } => {
                self.policy = policy.clone();
                Ok(Accepted::PolicySet)
            }
            Command::Replace { expected_version, version, digest, update } => {
                self.replace(index, operator, *expected_version, *version, digest, update)
            }
            Command::Withdraw { expected_generation, to } => {
                self.check_generation(*expected_generation)?;
                self.withdraw(index, operator, *to)
            }
            Command::StartCanary { service, version, duration_ms } => {
                self.check_trusted(operator)?;
                let exists = self.has_service(service);
                self.canaries.start(index, service, version, *duration_ms, exists)
            }
            Command::MoveCanary { service, run, from, to, elapsed_ms, replaced } => {
                ensure!(operator == CONTROL_OPERATOR, NotTrustedSnafu { operator });
                let (run, from, to, elapsed_ms) = (*run, *from, *to, *elapsed_ms);
                let step = CanaryStep { run, from, to, elapsed_ms, replaced };
                self.canaries.step(index, service, &step)
            }
            Command::EvacuateZone { zone, ordered_ms } => {
                self.check_trusted(operator)?;
                self.evacuations.start(index, zone, *ordered_ms)
            }
            Command::RestoreZone { zone } => {
                self.check_trusted(operator)?;
                self.evacuations.end(index, zone)
            }
        }
    }

    fn submit(&mut self, operator: &str, version: u64, compressed: &[u8]) -> Answer {
        let bundle = decode_submission(compressed)?;
        let digest = bundle.digest();
        let claim = self.versions.get(&version);
        if let Some(claim) =
            claim.filter(|_| !self.has_weakness(RolloutWeakness::AcceptsVersionTwice))
        {
            if claim.digest == digest {
                return Ok(Accepted::Submitted { version, digest });
            }
            let (winner, winner_digest) = (&claim.submitter, claim.digest);
            return VersionConflictSnafu { version, winner, winner_digest }.fail();
        }
        let submitter = operator.to_owned();
        let claim = VersionClaim { digest, submitter: submitter.clone(), generation: 0 };
        self.versions.insert(version, claim);
        while self.versions.len() > RETAINED_VERSIONS {
            self.versions.pop_first();
        }
        if let Entry::Vacant(vacant) = self.bundles.entry(digest) {
            vacant.insert(StoredBundle { bundle, version, submitter, approval: None });
            self.bundle_order.push_back(digest);
        }
        self.evict_bundles();
        Ok(Accepted::Submitted { version, digest })
    }

    fn replace(
        &mut self,
        index: u64,
        operator: &str,
        expected: u64,
        version: u64,
        digest: &Digest,
        update: &BundleUpdate,
    ) -> Answer {
        self.check_trusted(operator)?;
        let digest = *digest;
        if let Some(claim) = self.versions.get(&version).filter(|claim| claim.digest == digest) {
            let generation = claim.generation;
            return Ok(Accepted::Replaced { version, generation });
        }
        let current = self.current_version;
        let ignore_expected = self.has_weakness(RolloutWeakness::IgnoresExpectedVersion);
        ensure!(expected == current || ignore_expected, VersionChangedSnafu { expected, current });
        ensure!(version > current, VersionNotAboveSnafu { version, current });
        let empty = Bundle::default();
        let base = self.bundles.get(&self.base.digest).map_or(&empty, |stored| &stored.bundle);
        let bundle = apply_replacement(base, update, digest)?;
        let approval = Approval { operator: operator.to_owned(), signature: Vec::new() };
        let generation = self.next_generation(index, operator, digest, GenerationKind::Replaced);
        let submitter = operator.to_owned();
        self.versions
            .insert(version, VersionClaim { digest, submitter: submitter.clone(), generation });
        while self.versions.len() > RETAINED_VERSIONS {
            self.versions.pop_first();
        }
        let approval = Some(approval);
        let stored = StoredBundle { bundle, version, submitter, approval: approval.clone() };
        if self.bundles.insert(digest, stored).is_none() {
            self.bundle_order.push_back(digest);
        }
        self.base = GenerationTarget { generation, digest, approval };
        self.rollout = None;
        self.current_version = version;
        self.evict_bundles_beyond(RETAINED_REPLACEMENTS);
        Ok(Accepted::Replaced { version, generation })
    }

    fn check_trusted(&self, operator: &str) -> Result<(), crate::Refusal> {
        let trusted = ApprovalPolicy::TrustedSource { principal: operator.to_owned() };
        ensure!(self.policy == trusted, NotTrustedSnafu { operator });
        Ok(())
    }

    fn evict_bundles(&mut self) {
        self.evict_bundles_beyond(RETAINED_BUNDLES);
    }

    fn evict_bundles_beyond(&mut self, max_bundles: usize) {
        let in_use: Vec<Digest> = self.view().targets().map(|target| target.digest).collect();
        while self.bundle_order.len() > max_bundles {
            let Some(position) =
                self.bundle_order.iter().position(|digest| !in_use.contains(digest))
            else {
                return;
            };
            if let Some(digest) = self.bundle_order.remove(position) {
                self.bundles.remove(&digest);
            }
        }
    }

    fn approve(&mut self, operator: &str, digest: &Digest, signature: &[u8]) -> Answer {
        let digest = *digest;
        let stored = self.bundles.get_mut(&digest).context(UnknownBundleSnafu { digest })?;
        ensure!(stored.submitter != operator, SelfApprovalSnafu { operator });
        if stored.approval.is_none() {
            let signature = signature.to_vec();
            stored.approval = Some(Approval { operator: operator.to_owned(), signature });
        }
        Ok(Accepted::Approved { digest })
    }

    fn check_generation(&self, expected: u64) -> Result<(), crate::Refusal> {
        let current = self.newest_generation;
        let winner = self.history.back().map_or("nobody", |record| &record.operator);
        ensure!(expected == current, GenerationConflictSnafu { expected, current, winner });
        Ok(())
    }

    fn roll(
        &mut self,
        index: u64,
        operator: &str,
        digest: &Digest,
        stages: &[Stage],
        advance_after_s: Option<u32>,
    ) -> Answer {
        let digest = *digest;
        if let Some(rollout) = &self.rollout {
            return RolloutInProgressSnafu { generation: rollout.target.generation }.fail();
        }
        check_stages(stages)?;
        let stored = self.bundles.get(&digest).context(UnknownBundleSnafu { digest })?;
        let approval = stored.approval.clone().context(NotApprovedSnafu { digest })?;
        let generation = self.next_generation(index, operator, digest, GenerationKind::Rolled);
        let target = GenerationTarget { generation, digest, approval: Some(approval) };
        let stages = stages.to_vec();
        self.rollout =
            Some(Rollout { target, stages, stages_reached: 1, advance_after_s, paused: false });
        self.finish_if_complete();
        Ok(Accepted::Rolled { generation })
    }

    fn next_generation(
        &mut self,
        index: u64,
        operator: &str,
        digest: Digest,
        kind: GenerationKind,
    ) -> u64 {
        self.newest_generation += 1;
        self.revision = index;
        self.history.push_back(GenerationRecord {
            generation: self.newest_generation,
            digest,
            operator: operator.to_owned(),
            kind,
            accepted_at: index,
        });
        while self.history.len() > RETAINED_GENERATIONS {
            self.history.pop_front();
        }
        self.newest_generation
    }

    fn rollout_of(&mut self, generation: u64) -> Result<&mut Rollout, crate::Refusal> {
        self.rollout
            .as_mut()
            .filter(|rollout| rollout.target.generation == generation)
            .context(NoSuchRolloutSnafu { generation })
    }

    fn advance(&mut self, index: u64, generation: u64, from_stage: u32) -> Answer {
        let rollout = self.rollout_of(generation)?;
        ensure!(rollout.stages_reached == from_stage, NoSuchRolloutSnafu { generation });
        rollout.stages_reached += 1;
        let stages = rollout.stages_reached;
        self.revision = index;
        let complete = self.finish_if_complete();
        Ok(Accepted::Advanced { generation, stages, complete })
    }

    /// Makes the target of a rollout whose last stage is reached the base of the whole fleet.
    fn finish_if_complete(&mut self) -> bool {
        match self.rollout.take() {
            Some(rollout) if rollout.stages_reached as usize >= rollout.stages.len() => {
                self.base = rollout.target;
                true
            }
            unfinished => {
                self.rollout = unfinished;
                false
            }
        }
    }

    fn withdraw(&mut self, index: u64, operator: &str, to: Option<Digest>) -> Answer {
        let digest = to.or_else(|| self.replaced_content()).context(NothingToWithdrawSnafu)?;
        let approval = match self.bundles.get(&digest) {
            Some(stored) => Some(stored.approval.clone().context(NotApprovedSnafu { digest })?),
            None if digest == Bundle::default().digest() => None,
            None => return UnknownBundleSnafu { digest }.fail(),
        };
        let mut generation =
            self.next_generation(index, operator, digest, GenerationKind::Withdrawn);
        if self.has_weakness(RolloutWeakness::ReusesGeneration) {
            generation = self.base.generation;
        }
        self.base = GenerationTarget { generation, digest, approval };
        self.rollout = None;
        Ok(Accepted::Withdrawn { generation, digest })
    }

    /// Digest of the content that the newest generation replaced.
    fn replaced_content(&self) -> Option<Digest> {
        if self.rollout.is_some() {
            return Some(self.base.digest);
        }
        let newest = self.history.back()?.digest;
        let earlier = self.history.iter().rev().find(|record| record.digest != newest);
        earlier.map(|record| record.digest)
    }
}

/// Whether a resend is recognized by its content instead of its request id: a replacement by version
/// and digest for as long as versions are retained, a canary by service and version or by the phase
/// it leaves, an evacuation by its zone.
fn is_idempotent(command: &Command) -> bool {
    matches!(
        command,
        Command::Replace { .. }
            | Command::StartCanary { .. }
            | Command::MoveCanary { .. }
            | Command::EvacuateZone { .. }
            | Command::RestoreZone { .. }
    )
}

fn apply_replacement(
    base: &Bundle,
    update: &BundleUpdate,
    digest: Digest,
) -> Result<Bundle, crate::Refusal> {
    let invalid =
        |error: bundle::UpdateError| InvalidBundleSnafu { problem: error.to_string() }.build();
    let bundle = update.apply(base).map_err(invalid)?;
    let digest_matches = bundle.digest() == digest;
    ensure!(digest_matches, InvalidBundleSnafu { problem: "the content does not have its digest" });
    Ok(bundle)
}

fn decode_submission(compressed: &[u8]) -> Result<Bundle, crate::Refusal> {
    let update = bundle::BundleUpdate::decompress(compressed);
    let bundle = update.ok().context(InvalidBundleSnafu { problem: "it cannot be decoded" })?;
    match bundle.check().first() {
        Some(problem) => InvalidBundleSnafu { problem: problem.to_string() }.fail(),
        None => Ok(bundle),
    }
}

fn command_digest(command: &Command) -> Digest {
    Digest::of(&command.write_to_vec().expect("encoding to memory cannot fail"))
}

fn check_stages(stages: &[Stage]) -> Result<(), crate::Refusal> {
    let last_is_all = matches!(stages.last(), Some(Stage::All));
    let reason = "the last stage must be 'all', so that a rollout can end";
    ensure!(last_is_all, BadStagesSnafu { reason });
    let percent_ok = stages.iter().all(|stage| match stage {
        Stage::Percent(percent) => (1..=100).contains(percent),
        _ => true,
    });
    ensure!(percent_ok, BadStagesSnafu { reason: "a share is 1 to 100 per cent" });
    let max_stages = LIMITS.objects;
    ensure!(stages.len() <= max_stages, BadStagesSnafu { reason: "too many stages" });
    Ok(())
}
