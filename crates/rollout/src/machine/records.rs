//! Records in the state: bundles, generations, version numbers and answers.

use crate::{Answer, GenerationTarget, Stage};
use bundle::{Approval, Bundle, Digest};
use serde::Serialize;
use speedy::{Readable, Writable};

/// How a generation was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
#[serde(rename_all = "lowercase")]
pub enum GenerationKind {
    /// An operator rolled a bundle out.
    Rolled,
    /// A trusted source replaced the whole content.
    Replaced,
    /// An operator withdrew a generation and returned to earlier content.
    Withdrawn,
}

/// A generation in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Readable, Writable)]
pub struct GenerationRecord {
    /// Number of the generation.
    pub generation: u64,
    /// Digest of its content.
    pub digest: Digest,
    /// Operator who created it.
    pub operator: String,
    /// How it was created.
    pub kind: GenerationKind,
    /// Log index at which it was accepted.
    pub accepted_at: u64,
}

/// A submitted bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Version number chosen by the operators.
    pub version: u64,
    /// Operator who submitted it.
    pub submitter: String,
    /// Approval, if it is approved.
    pub approval: Option<Approval>,
}

/// A line of `bundle list`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VersionSummary {
    /// Version number chosen by the operators.
    pub version: u64,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Operator who submitted it.
    pub submitter: String,
    /// Operator who approved it, if any.
    pub approver: Option<String>,
    /// Number of objects in the bundle.
    pub objects: usize,
}

/// A rollout in progress.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct Rollout {
    pub target: GenerationTarget,
    pub stages: Vec<Stage>,
    /// Number of stages reached.
    pub stages_reached: u32,
    pub advance_after_s: Option<u32>,
    pub paused: bool,
}

/// Answer to a request, retained for resends.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct RecordedAnswer {
    pub operator: String,
    pub request_id: String,
    pub command_digest: Digest,
    pub answer: Answer,
}

/// Submitter and content of a taken version number; retained longer than the content.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct VersionClaim {
    pub digest: Digest,
    pub submitter: String,
    /// Generation created by a replacement; 0 for a submission.
    pub generation: u64,
}
