//! The operators' verbs, their answers and their refusals.

use crate::Stage;
use bundle::{BundleUpdate, Digest};
use canary::Phase;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use speedy::{Readable, Writable};
use verdict::Verdict;

/// Name under which control itself advances a rollout.
pub const CONTROL_OPERATOR: &str = "control";

/// One verb.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Stores a bundle under a version number.
    Submit {
        /// The operators' own number for it.
        version: u64,
        /// zstd frame over the encoded bundle.
        compressed: Vec<u8>,
    },
    /// Signs a bundle off.
    Approve {
        /// The bundle.
        digest: Digest,
        /// Ed25519 signature over the approval message.
        signature: Vec<u8>,
    },
    /// Begins to roll an approved bundle out as a new generation.
    Roll {
        /// The bundle.
        digest: Digest,
        /// The newest generation the operator knows of; refused if there is a newer one.
        expected_generation: u64,
        /// Stages, in order; the last must be `All`.
        stages: Vec<Stage>,
        /// Advance by itself once all reachable proxies of the stage have applied without error
        /// for this long, seconds; `None`: only by an operator.
        advance_after_s: Option<u32>,
    },
    /// Goes on to the next stage.
    Advance {
        /// The generation being rolled out.
        generation: u64,
        /// Number of stages reached so far.
        from_stage: u32,
    },
    /// Stops advancing by itself.
    Pause {
        /// The generation being rolled out.
        generation: u64,
    },
    /// Advances by itself again.
    Resume {
        /// The generation being rolled out.
        generation: u64,
    },
    /// Names the source whose replacements arrive signed off; see [`ApprovalPolicy`].
    SetApprovalPolicy {
        /// The policy from now on.
        policy: ApprovalPolicy,
    },
    /// Submits, signs off and rolls a version out to all proxies at once, in one commit; only for
    /// a trusted source.
    Replace {
        /// The version the operator builds on; 0 for the first.
        expected_version: u64,
        /// The new version, above the current one.
        version: u64,
        /// Digest of the whole new content.
        digest: Digest,
        /// What turns the content of the expected version into the new one.
        update: BundleUpdate,
    },
    /// Makes a new generation with earlier content, for all proxies at once.
    Withdraw {
        /// The newest generation the operator knows of.
        expected_generation: u64,
        /// The content to return to; `None`: what the withdrawn generation replaced.
        to: Option<Digest>,
    },
    /// Begins to move the calls of a service to another version of its upstreams.
    StartCanary {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// Time within which it should have taken over, milliseconds.
        duration_ms: u64,
    },
    /// Takes a canary to its next phase.
    MoveCanary {
        /// The service.
        service: String,
        /// Which canary.
        run: u64,
        /// The phase it is in.
        from: Phase,
        /// The next phase.
        to: Phase,
        /// Time since it began, milliseconds: clocks of later leaders go on from here.
        elapsed_ms: u64,
        /// Versions that get no more calls once the new one has taken over.
        replaced: Vec<String>,
    },
    /// Gives the upstreams of a zone no more calls.
    EvacuateZone {
        /// The zone.
        zone: String,
        /// When it was ordered, Unix milliseconds.
        ordered_ms: u64,
    },
    /// Gives the upstreams of an evacuated zone calls again.
    RestoreZone {
        /// The zone.
        zone: String,
    },
}

/// Who signs versions off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ApprovalPolicy {
    /// An operator other than the submitter.
    #[default]
    SecondOperator,
    /// The sign-off happened before: what this principal sends counts as approved by it.
    TrustedSource {
        /// Name of the principal.
        principal: String,
    },
}

/// A verb with who sent it and the id that makes a resend harmless.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Request {
    /// Who.
    pub operator: String,
    /// Chosen by the operator's machine; a resend carries the same.
    pub request_id: String,
    /// What.
    pub command: Command,
}

/// What was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Accepted {
    /// The bundle is stored.
    Submitted {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: Digest,
    },
    /// The bundle may be rolled out.
    Approved {
        /// Its digest.
        digest: Digest,
    },
    /// The rollout began.
    Rolled {
        /// The new generation.
        generation: u64,
    },
    /// The rollout reached another stage.
    Advanced {
        /// The generation.
        generation: u64,
        /// Stages reached.
        stages: u32,
        /// Whether that was the last.
        complete: bool,
    },
    /// The rollout waits for an operator.
    Paused {
        /// The generation.
        generation: u64,
    },
    /// The rollout goes on by itself.
    Resumed {
        /// The generation.
        generation: u64,
    },
    /// The policy is in force.
    PolicySet,
    /// The version is in force for all proxies.
    Replaced {
        /// The operators' number.
        version: u64,
        /// The generation that holds it.
        generation: u64,
    },
    /// Earlier content returns under a new generation.
    Withdrawn {
        /// The new generation.
        generation: u64,
        /// Its content.
        digest: Digest,
    },
    /// The canary is under way, or has ended already.
    CanaryStarted {
        /// Names this canary.
        run: u64,
    },
    /// The canary is in its next phase.
    CanaryMoved {
        /// Which.
        run: u64,
        /// The phase.
        phase: Phase,
    },
    /// The upstreams of the zone get no more calls.
    ZoneEvacuated {
        /// The zone.
        zone: String,
    },
    /// The upstreams of the zone get calls.
    ZoneRestored {
        /// The zone.
        zone: String,
    },
}

/// Why nothing was done. Every refusal is [`Verdict::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case", tag = "kind")]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// A zone cannot be evacuated.
    #[snafu(display("{reason}"))]
    BadZone {
        /// Why.
        reason: String,
    },
    /// Another bundle holds this version number.
    #[snafu(display("version {version} was submitted by {winner} with digest {winner_digest}"))]
    VersionConflict {
        /// The number.
        version: u64,
        /// Who submitted first.
        winner: String,
        /// What they submitted.
        winner_digest: Digest,
    },
    /// The bundle breaks a rule.
    #[snafu(display("the bundle is not valid: {problem}"))]
    InvalidBundle {
        /// The first problem.
        problem: String,
    },
    /// No such bundle.
    #[snafu(display("no bundle {digest} is stored"))]
    UnknownBundle {
        /// What was asked for.
        digest: Digest,
    },
    /// The submitter tried to approve their own bundle.
    #[snafu(display("{operator} submitted this bundle; another operator must approve it"))]
    SelfApproval {
        /// Who.
        operator: String,
    },
    /// The bundle is not signed off.
    #[snafu(display("bundle {digest} is not approved"))]
    NotApproved {
        /// Which.
        digest: Digest,
    },
    /// There is a newer generation than the operator knew of.
    #[snafu(display("generation {current} by {winner} is newer than the expected {expected}"))]
    GenerationConflict {
        /// What the operator built on.
        expected: u64,
        /// The newest generation.
        current: u64,
        /// Who made it.
        winner: String,
    },
    /// Another rollout must end or be withdrawn first.
    #[snafu(display("generation {generation} is still being rolled out"))]
    RolloutInProgress {
        /// Which.
        generation: u64,
    },
    /// No rollout of that generation at that stage.
    #[snafu(display("no rollout of generation {generation} waits at that stage"))]
    NoSuchRollout {
        /// What was named.
        generation: u64,
    },
    /// The list of stages is not usable.
    #[snafu(display("{reason}"))]
    BadStages {
        /// Why.
        reason: String,
    },
    /// The operator is not the trusted source.
    #[snafu(display("{operator} is not a trusted source"))]
    NotTrusted {
        /// Who.
        operator: String,
    },
    /// Another version is current than the operator built on.
    #[snafu(display("version {current} is current, not {expected}"))]
    VersionChanged {
        /// What the operator built on.
        expected: u64,
        /// The current version.
        current: u64,
    },
    /// The new version is not above the current one.
    #[snafu(display("version {version} is not above the current {current}"))]
    VersionNotAbove {
        /// What was sent.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// There is no earlier content.
    #[snafu(display("there is nothing to return to"))]
    NothingToWithdraw,
    /// The request id was used for another command.
    #[snafu(display("request id '{request_id}' was used for another command"))]
    RequestIdReused {
        /// The id.
        request_id: String,
    },
    /// Another canary of the service must end first.
    #[snafu(display("a canary of {service} to {version} is under way"))]
    CanaryUnderWay {
        /// The service.
        service: String,
        /// Its version.
        version: String,
    },
    /// The canary cannot be begun.
    #[snafu(display("{reason}"))]
    BadCanary {
        /// Why.
        reason: String,
    },
    /// No canary in that phase.
    #[snafu(display("no canary {run} of {service} is in that phase"))]
    NoSuchCanary {
        /// The service.
        service: String,
        /// What was named.
        run: u64,
    },
}

impl Refusal {
    /// A refused command changed nothing.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// Outcome of a request, recorded for resends.
pub type Answer = Result<Accepted, Refusal>;
