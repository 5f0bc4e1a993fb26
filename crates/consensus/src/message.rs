//! Log entries and the messages voters exchange.

use crate::{Index, Membership, NodeId, Term};
use speedy::{Readable, Writable};
use std::sync::Arc;

/// What one log entry carries.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Payload {
    /// Appended by every new leader so that it can commit in its own term (section 6.4).
    Noop,
    /// A command for the replicated state machine.
    Command(Vec<u8>),
    /// A new membership, in force from the moment it is appended (section 4.1).
    Membership(Membership),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// State that must be durable before a voter answers (figure 3.1: currentTerm, votedFor).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate voted for in `term`.
    pub vote: Option<NodeId>,
}

/// Position and membership that a snapshot stands for.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct SnapshotMeta {
    /// Last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership in force at that entry.
    pub membership: Membership,
}

/// State machine content up to an index (section 5.1).
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Snapshot {
    /// Where it stands.
    pub meta: SnapshotMeta,
    /// Encoded state machine.
    pub data: Vec<u8>,
}

/// The answer to an append.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index, durably.
    Accepted(Index),
    /// The entry before did not match; try from here (section 3.5, last paragraph).
    Rejected(Index),
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Body {
    /// Asks for a vote; `pre` asks only whether one would be given (section 9.6).
    RequestVote {
        /// True for a pre-vote, which changes no state.
        pre: bool,
        /// Candidate's last index.
        last_index: Index,
        /// Candidate's last term.
        last_term: Term,
        /// True when the old leader asked for this election (section 3.10).
        transfer: bool,
    },
    /// Answers `RequestVote`.
    VoteReply {
        /// Echoes the request.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries, or is a heartbeat when `entries` is empty.
    Append {
        /// Index of the entry before `entries`.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// Entries to store.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Leader's heartbeat round, echoed in the answer to confirm reads (section 6.4).
        round: u64,
    },
    /// Answers `Append` and snapshot chunks.
    AppendReply {
        /// Echo of the round.
        round: u64,
        /// Outcome.
        result: AppendResult,
    },
    /// A piece of a snapshot for a follower whose next entry was compacted (section 5.3).
    SnapshotChunk {
        /// What the whole stands for.
        meta: SnapshotMeta,
        /// Position of `data` in the whole, bytes.
        offset: u64,
        /// Size of the whole, bytes.
        total: u64,
        /// The piece.
        data: Vec<u8>,
        /// Heartbeat round.
        round: u64,
    },
    /// Asks for the chunk at `next_offset` of the snapshot at `index`.
    SnapshotProgress {
        /// Snapshot's index.
        index: Index,
        /// Bytes received so far.
        next_offset: u64,
        /// Echo of the round.
        round: u64,
    },
    /// Tells the receiver to start an election at once (section 3.10).
    TimeoutNow,
}

/// A message between two members of one group.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term; a pre-vote carries the term it would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Snapshots are shared, not copied, between the core and its driver.
pub(crate) type SharedSnapshot = Arc<Snapshot>;
