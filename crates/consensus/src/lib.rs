//! A replicated log as a pure state machine: `step`, `tick`, `propose`, `ready`.
//!
//! Written from Ongaro, "Consensus: Bridging Theory and Practice" (the Raft dissertation, 2014);
//! doc comments name its sections. The core does no I/O and reads no clock: the driver feeds it
//! messages and ticks, saves what [`Ready`] lists, and only then sends `Ready::messages`.
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

/// Identifies one voter or learner; never reused after its disk was lost.
pub type NodeId = u64;
/// A leader's term of office (dissertation section 3.3).
pub type Term = u64;
/// A position in the log; the first entry has index 1.
pub type Index = u64;
