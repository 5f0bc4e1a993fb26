//! Operators' commands, with their results and the reasons why they are refused.

use crate::Stage;
use bundle::{BundleUpdate, Digest};
use canary::Phase;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use speedy::{Readable, Writable};
use verdict::Verdict;

/// Operator name under which the control process advances rollouts and canaries.
pub const CONTROL_OPERATOR: &str = "control";

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Stores a bundle under a version number.
    Submit {
        /// Version number chosen by the operators.
        version: u64,
        /// Encoded bundle, compressed as a zstd frame.
        compressed: Vec<u8>,
    },
    /// Approves a bundle.
    Approve {
        /// Digest of the bundle.
        digest: Digest,
        /// Ed25519 signature over the approval message.
        signature: Vec<u8>,
    },
    /// Starts to roll out an approved bundle as a new generation.
    Roll {
        /// Digest of the bundle.
        digest: Digest,
        /// The newest generation known to the operator; refused if there is a newer one.
        expected_generation: u64,
        /// Stages in order; the last one must be `All`.
        stages: Vec<Stage>,
        /// Advances automatically once all reachable proxies of the reached stages have had the
        /// generation applied without errors for this long, in seconds. `None` if only an operator
        /// advances the rollout.
        advance_after_s: Option<u32>,
    },
    /// Advances a rollout to the next stage.
    Advance {
        /// The generation being rolled out.
        generation: u64,
        /// Number of stages reached so far.
        from_stage: u32,
    },
    /// Pauses automatic advancing.
    Pause {
        /// The generation being rolled out.
        generation: u64,
    },
    /// Resumes automatic advancing.
    Resume {
        /// The generation being rolled out.
        generation: u64,
    },
    /// Sets the approval policy.
    SetApprovalPolicy {
        /// The new policy.
        policy: ApprovalPolicy,
    },
    /// Submits a version, approves it and rolls it out to all proxies at once, in one commit. Only a
    /// trusted source may do this.
    Replace {
        /// The version that the update is based on; 0 for the first one.
        expected_version: u64,
        /// The new version; must be greater than the current one.
        version: u64,
        /// Digest of the complete new content.
        digest: Digest,
        /// Update from the content of the expected version to the new content.
        update: BundleUpdate,
    },
    /// Creates a new generation with earlier content, for all proxies at once.
    Withdraw {
        /// The newest generation known to the operator; refused if there is a newer one.
        expected_generation: u64,
        /// Digest of the content to return to. `None` selects the content that the withdrawn
        /// generation replaced.
        to: Option<Digest>,
    },
    /// Starts to move the calls of a service to another version of its upstreams.
    StartCanary {
        /// Name of the service.
        service: String,
        /// The version to move to.
        version: String,
        /// Time within which the version should receive all calls, in milliseconds.
        duration_ms: u64,
    },
    /// Moves a canary to a later phase.
    MoveCanary {
        /// Name of the service.
        service: String,
        /// Identifies the canary.
        run: u64,
        /// The current phase.
        from: Phase,
        /// The new phase.
        to: Phase,
        /// Time since the canary started, in milliseconds. Later leaders continue to count from this
        /// value.
        elapsed_ms: u64,
        /// Versions that receive no more calls once the new one is promoted.
        replaced: Vec<String>,
    },
    /// Stops sending calls to the upstreams of a zone.
    EvacuateZone {
        /// Name of the zone.
        zone: String,
        /// Time of the command, in Unix milliseconds.
        ordered_ms: u64,
    },
    /// Resumes sending calls to the upstreams of an evacuated zone.
    RestoreZone {
        /// Name of the zone.
        zone: String,
    },
}

/// Who approves versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ApprovalPolicy {
    /// An operator other than the submitter.
    #[default]
    SecondOperator,
    /// Versions are approved before they are sent: what this principal sends counts as approved by
    /// it.
    TrustedSource {
        /// Name of the principal.
        principal: String,
    },
}

/// A command with its sender and an id for deduplication.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Request {
    /// Name of the sender.
    pub operator: String,
    /// Id chosen by the client; a resend carries the same id, so that it is not executed twice.
    pub request_id: String,
    /// The command.
    pub command: Command,
}

/// Result of an executed command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Accepted {
    /// The bundle is stored.
    Submitted {
        /// Version of the bundle.
        version: u64,
        /// Digest of the bundle.
        digest: Digest,
    },
    /// The bundle may be rolled out.
    Approved {
        /// Digest of the bundle.
        digest: Digest,
    },
    /// The rollout has started.
    Rolled {
        /// The new generation.
        generation: u64,
    },
    /// The rollout has reached another stage.
    Advanced {
        /// The generation being rolled out.
        generation: u64,
        /// Number of stages reached.
        stages: u32,
        /// Whether the last stage is reached.
        complete: bool,
    },
    /// The rollout no longer advances automatically.
    Paused {
        /// The generation being rolled out.
        generation: u64,
    },
    /// The rollout may advance automatically again.
    Resumed {
        /// The generation being rolled out.
        generation: u64,
    },
    /// The approval policy is set.
    PolicySet,
    /// The version is the target of all proxies.
    Replaced {
        /// Version number chosen by the operators.
        version: u64,
        /// The generation created for it.
        generation: u64,
    },
    /// Earlier content is rolled out again as a new generation.
    Withdrawn {
        /// The new generation.
        generation: u64,
        /// Digest of its content.
        digest: Digest,
    },
    /// The canary is running, or has already ended.
    CanaryStarted {
        /// Identifies the canary.
        run: u64,
    },
    /// The canary has moved to a later phase.
    CanaryMoved {
        /// Identifies the canary.
        run: u64,
        /// The new phase.
        phase: Phase,
    },
    /// The upstreams of the zone receive no more calls.
    ZoneEvacuated {
        /// Name of the zone.
        zone: String,
    },
    /// The upstreams of the zone receive calls.
    ZoneRestored {
        /// Name of the zone.
        zone: String,
    },
}

/// Why a command was refused. The verdict of every refusal is [`Verdict::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", tag = "kind")]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// The zone cannot be evacuated.
    #[snafu(display("{reason}"))]
    BadZone {
        /// Reason as text.
        reason: String,
    },
    /// The version number is taken by another bundle.
    #[snafu(display("version {version} was submitted by {winner} with digest {winner_digest}"))]
    VersionConflict {
        /// The version number.
        version: u64,
        /// Operator who submitted the other bundle.
        winner: String,
        /// Digest of the other bundle.
        winner_digest: Digest,
    },
    /// The bundle is not valid.
    #[snafu(display("the bundle is not valid: {problem}"))]
    InvalidBundle {
        /// The first problem found.
        problem: String,
    },
    /// No bundle with this digest is stored.
    #[snafu(display("no bundle {digest} is stored"))]
    UnknownBundle {
        /// The requested digest.
        digest: Digest,
    },
    /// The submitter of a bundle tried to approve it.
    #[snafu(display("{operator} submitted this bundle; another operator must approve it"))]
    SelfApproval {
        /// Operator who sent the command.
        operator: String,
    },
    /// The bundle is not approved.
    #[snafu(display("bundle {digest} is not approved"))]
    NotApproved {
        /// Digest of the bundle.
        digest: Digest,
    },
    /// There is a newer generation than the operator expected.
    #[snafu(display("generation {current} by {winner} is newer than the expected {expected}"))]
    GenerationConflict {
        /// The generation expected by the operator.
        expected: u64,
        /// The newest generation.
        current: u64,
        /// Operator who created it.
        winner: String,
    },
    /// Another rollout must complete or be withdrawn first.
    #[snafu(display("generation {generation} is still being rolled out"))]
    RolloutInProgress {
        /// The generation being rolled out.
        generation: u64,
    },
    /// No rollout of the generation is at the given stage.
    #[snafu(display("no rollout of generation {generation} waits at that stage"))]
    NoSuchRollout {
        /// The generation in the command.
        generation: u64,
    },
    /// The list of stages is not valid.
    #[snafu(display("{reason}"))]
    BadStages {
        /// Reason as text.
        reason: String,
    },
    /// The operator is not the trusted source.
    #[snafu(display("{operator} is not a trusted source"))]
    NotTrusted {
        /// Operator who sent the command.
        operator: String,
    },
    /// The current version is not the one that the update is based on.
    #[snafu(display("version {current} is current, not {expected}"))]
    VersionChanged {
        /// The version that the update is based on.
        expected: u64,
        /// The current version.
        current: u64,
    },
    /// The new version is not greater than the current one.
    #[snafu(display("version {version} is not above the current {current}"))]
    VersionNotAbove {
        /// The version in the command.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// There is no earlier content to return to.
    #[snafu(display("there is nothing to return to"))]
    NothingToWithdraw,
    /// The request id was already used for another command.
    #[snafu(display("request id '{request_id}' was used for another command"))]
    RequestIdReused {
        /// The request id.
        request_id: String,
    },
    /// Another canary of the service must end first.
    #[snafu(display("a canary of {service} to {version} is under way"))]
    CanaryUnderWay {
        /// Name of the service.
        service: String,
        /// Version of the running canary.
        version: String,
    },
    /// The canary cannot be started.
    #[snafu(display("{reason}"))]
    BadCanary {
        /// Reason as text.
        reason: String,
    },
    /// No such canary is in the given phase.
    #[snafu(display("no canary {run} of {service} is in that phase"))]
    NoSuchCanary {
        /// Name of the service.
        service: String,
        /// The canary in the command.
        run: u64,
    },
}

impl Refusal {
    /// The verdict of the refusal: a refused command is never executed.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// Result of a request, recorded so that a resend receives the same result.
pub type Answer = Result<Accepted, Refusal>;
