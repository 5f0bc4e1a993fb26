//! Ensures that a call with an idempotency key runs at most once, whichever proxy receives a retry.
//!
//! [`ClaimMachine`] is a replicated state machine: a proxy may send a call that must not run twice
//! only after its `Begin` was committed and answered with [`ClaimAnswer::Started`]. [`group_of`]
//! distributes keys over independent consensus groups, so that claims scale beyond one leader.
#![forbid(unsafe_code)]

mod machine;

pub use machine::{ClaimMachine, ClaimWeakness, MAX_CLAIMS, MAX_OUTCOME_BODY_BYTES};

use speedy::{Readable, Writable};

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Identifies a call that must not run twice, by its route and the caller's idempotency key.
pub type ClaimKey = String;
/// Digest of the request that a key was first used for.
pub type RequestDigest = [u8; 32];

/// Response of the upstream, kept to answer retries.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// Body; `None` if it was longer than [`MAX_OUTCOME_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// Command that changes the claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimCommand {
    /// Requests permission to run a call.
    Begin {
        /// Key of the call.
        key: ClaimKey,
        /// Digest of the request.
        request: RequestDigest,
        /// Id of this attempt, unique across proxies; makes a repeated `Begin` idempotent.
        attempt: u64,
        /// Wall clock time of the leader that proposed the command, in milliseconds.
        now_ms: u64,
        /// How long the claim is kept, in milliseconds.
        keep_ms: u64,
    },
    /// Records the response to a call.
    Finish {
        /// Key of the call.
        key: ClaimKey,
        /// Id of the attempt that ran.
        attempt: u64,
        /// Response to record.
        outcome: Outcome,
    },
    /// Releases a call whose attempt certainly did not run and never will.
    Release {
        /// Key of the call.
        key: ClaimKey,
        /// Id of the abandoned attempt.
        attempt: u64,
    },
}

impl ClaimCommand {
    /// Key of the call that the command refers to.
    pub fn key(&self) -> &str {
        match self {
            ClaimCommand::Begin { key, .. }
            | ClaimCommand::Finish { key, .. }
            | ClaimCommand::Release { key, .. } => key,
        }
    }
}

/// Result of a [`ClaimCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimAnswer {
    /// Only this attempt may send the call, and only once.
    Started,
    /// Another attempt may have run the call; its outcome is unknown.
    MayHaveRun,
    /// The call ran with this outcome.
    Recorded(Outcome),
    /// The key was already used for a different request.
    KeyReused,
    /// This attempt was released before and must not be sent.
    Abandoned,
    /// The limit on claims is reached; nothing was recorded.
    Full,
    /// The `Finish` or `Release` command was processed.
    Done,
}

/// Returns which of `groups` consensus groups holds the claim for a key.
pub fn group_of(key: &str, groups: u32) -> u32 {
    let digest = ring::digest::digest(&ring::digest::SHA256, key.as_bytes());
    let mut prefix = [0; 4];
    prefix.copy_from_slice(&digest.as_ref()[..4]);
    u32::from_le_bytes(prefix) % groups.max(1)
}
