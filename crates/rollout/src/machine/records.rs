//! What the state machine keeps: bundles, generations, version numbers, answers.

use crate::{Answer, GenerationTarget, Stage};
use bundle::{Approval, Bundle, Digest};
use serde::Serialize;
use speedy::{Readable, Writable};

/// Why a generation was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
#[serde(rename_all = "lowercase")]
pub enum GenerationKind {
    /// An operator rolled a bundle out.
    Rolled,
    /// A trusted source replaced the whole content.
    Replaced,
    /// An operator withdrew the generation before.
    Withdrawn,
}

/// One generation in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Readable, Writable)]
pub struct GenerationRecord {
    /// Its number.
    pub generation: u64,
    /// Its content.
    pub digest: Digest,
    /// Who made it.
    pub operator: String,
    /// Why.
    pub kind: GenerationKind,
    /// Log index at which it was accepted.
    pub accepted_at: u64,
}

/// A submitted bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBundle {
    /// Content.
    pub bundle: Bundle,
    /// The operators' number.
    pub version: u64,
    /// Who submitted it.
    pub submitter: String,
    /// Sign-off.
    pub approval: Option<Approval>,
}

/// A line of `bundle list`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VersionSummary {
    /// The operators' number.
    pub version: u64,
    /// Content.
    pub digest: Digest,
    /// Who submitted it.
    pub submitter: String,
    /// Who approved it.
    pub approver: Option<String>,
    /// Number of objects.
    pub objects: usize,
}

/// A rollout in progress.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct Rollout {
    pub target: GenerationTarget,
    pub stages: Vec<Stage>,
    pub reached: u32,
    pub advance_after_s: Option<u32>,
    pub paused: bool,
}

/// The answer to a request, kept for resends.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct RecordedAnswer {
    pub operator: String,
    pub request_id: String,
    pub command_digest: Digest,
    pub answer: Answer,
}

/// Who took a version number, and for which content; kept longer than the content.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(super) struct VersionClaim {
    pub digest: Digest,
    pub submitter: String,
    /// The generation a replacement became; 0 for a submission.
    pub generation: u64,
}
