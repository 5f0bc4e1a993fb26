//! Raft consensus as a pure state machine, driven through `step`, `tick`, `propose` and `ready`.
//!
//! Implements Raft as described in Ongaro, "Consensus: Bridging Theory and Practice" (the Raft
//! dissertation, 2014); doc comments cite its sections. The core does no I/O and reads no clock:
//! the driver passes in messages and ticks, persists what [`Ready`] lists, and only then sends
//! `Ready::messages`.
#![forbid(unsafe_code)]

mod election;
mod log;
mod membership;
mod message;
mod progress;
mod raft;
mod read_index;
mod replication;

pub use log::RaftLog;
pub use membership::{Membership, MembershipError};
pub use message::{AppendResult, Body, Entry, HardState, Message, Payload, Snapshot, SnapshotMeta};
pub use progress::Progress;
pub use raft::{Config, ProposeError, Raft, ReadState, Ready, Role, Weakness};

/// Identifies a voter or learner. An id is never reused after the member lost its disk.
pub type NodeId = u64;
/// A Raft term (dissertation section 3.3).
pub type Term = u64;
/// Position in the log; the first entry has index 1.
pub type Index = u64;
