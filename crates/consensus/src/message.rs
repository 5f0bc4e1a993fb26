//! Log entries, and the messages that members of a group exchange.

use crate::{Index, Membership, NodeId, Term};
use speedy::{Readable, Writable};
use std::sync::Arc;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Payload {
    /// Appended by every new leader so that it can commit an entry of its own term (section 6.4).
    Noop,
    /// A command for the replicated state machine.
    Command(Vec<u8>),
    /// A new membership, effective as soon as it is appended (section 4.1).
    Membership(Membership),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Payload.
    pub payload: Payload,
}

/// State that must be durable before a voter replies (figure 3.1: currentTerm, votedFor).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate voted for in `term`.
    pub vote: Option<NodeId>,
}

/// Log position and membership that a snapshot covers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct SnapshotMeta {
    /// Index of the last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// Snapshot of the state machine up to an index (section 5.1).
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Snapshot {
    /// Log position and membership covered.
    pub meta: SnapshotMeta,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum AppendResult {
    /// The follower's log matches the leader's up to this index and is durable up to it.
    Accepted(Index),
    /// The preceding entry did not match. Carries the last index that may match (section 3.5, last
    /// paragraph).
    Rejected(Index),
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Body {
    /// Requests a vote. With `pre`, asks only whether one would be granted (section 9.6).
    RequestVote {
        /// True for a pre-vote, which changes no state.
        pre: bool,
        /// Index of the candidate's last log entry.
        last_index: Index,
        /// Term of the candidate's last log entry.
        last_term: Term,
        /// True if the previous leader requested this election to transfer leadership (section 3.10).
        transfer: bool,
    },
    /// Reply to `RequestVote`.
    VoteReply {
        /// Echo of `pre` in the request.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; a heartbeat if `entries` is empty.
    Append {
        /// Index of the entry before `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Leader's heartbeat round, echoed in the reply to confirm reads (section 6.4).
        round: u64,
    },
    /// Reply to `Append`, and to a `SnapshotChunk` after which no further chunk is requested.
    AppendReply {
        /// Echo of the heartbeat round.
        round: u64,
        /// Result of the append.
        result: AppendResult,
    },
    /// A chunk of a snapshot, for a follower whose next entry was compacted (section 5.3).
    SnapshotChunk {
        /// Metadata of the whole snapshot.
        meta: SnapshotMeta,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// Bytes of the chunk.
        data: Vec<u8>,
        /// Leader's heartbeat round.
        round: u64,
    },
    /// Requests the chunk at `next_offset` of the snapshot at `index`.
    SnapshotProgress {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received so far.
        next_offset: u64,
        /// Echo of the heartbeat round.
        round: u64,
    },
    /// Tells the receiver to start an election immediately (section 3.10).
    TimeoutNow,
}

/// A message between two members of one group.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term. A pre-vote request carries the term of the election it would start.
    pub term: Term,
    /// Body.
    pub body: Body,
}

/// A snapshot shared by reference count instead of being copied.
pub(crate) type SharedSnapshot = Arc<Snapshot>;
