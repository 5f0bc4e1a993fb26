//! At most one run per idempotency key, whichever proxy a resend arrives at.
//!
//! [`ClaimMachine`] is replicated: a proxy may send a call that must not run twice only after its
//! `Begin` was committed and answered [`ClaimAnswer::Started`]. Keys are spread over independent
//! groups by [`group_of`], so that claims scale past one leader.
#![forbid(unsafe_code)]

mod machine;

pub use machine::{ClaimMachine, ClaimWeakness, MAX_CLAIMS, MAX_OUTCOME_BODY_BYTES};

use speedy::{Readable, Writable};

/// Longest idempotency key, bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Names a call that must not run twice: the route and the caller's key.
pub type ClaimKey = String;
/// Digest of the request that the key stands for.
pub type RequestDigest = [u8; 32];

/// The answer of the back end, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// Body; `None` when it was longer than [`MAX_OUTCOME_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// A change to the claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimCommand {
    /// Asks to run the call.
    Begin {
        /// Which call.
        key: ClaimKey,
        /// What it asks for.
        request: RequestDigest,
        /// Unique to this try of this proxy; makes a repeated `Begin` harmless.
        attempt: u64,
        /// Wall clock of the leader that proposed it, milliseconds.
        now_ms: u64,
        /// How long the claim is kept, milliseconds.
        keep_ms: u64,
    },
    /// Records the answer.
    Finish {
        /// Which call.
        key: ClaimKey,
        /// The attempt that ran.
        attempt: u64,
        /// Its answer.
        outcome: Outcome,
    },
    /// The attempt certainly did not run and never will.
    Release {
        /// Which call.
        key: ClaimKey,
        /// The attempt given up.
        attempt: u64,
    },
}

impl ClaimCommand {
    /// The key it is about.
    pub fn key(&self) -> &str {
        match self {
            ClaimCommand::Begin { key, .. }
            | ClaimCommand::Finish { key, .. }
            | ClaimCommand::Release { key, .. } => key,
        }
    }
}

/// Answer to a [`ClaimCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimAnswer {
    /// This attempt, and no other, may send the call once.
    Started,
    /// Another attempt may have run it; its outcome is not known.
    MayHaveRun,
    /// It ran; this was the answer.
    Recorded(Outcome),
    /// The key stands for another request.
    KeyReused,
    /// This attempt was given up before; it must not be sent.
    Abandoned,
    /// No room for more claims; nothing was recorded.
    Full,
    /// The outcome or release was taken in.
    Done,
}

/// The group that holds a key, out of `groups`.
pub fn group_of(key: &str, groups: u32) -> u32 {
    let digest = ring::digest::digest(&ring::digest::SHA256, key.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&digest.as_ref()[..4]);
    u32::from_le_bytes(first) % groups.max(1)
}
