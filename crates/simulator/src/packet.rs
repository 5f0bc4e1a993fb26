//! What travels over the simulated network.

use claims::{ClaimAnswer, ClaimCommand};
use consensus::Message;
use endpoints::LeavingMark;
use rollout::{Answer, Request};
use speedy::{Readable, Writable};
use wire::{ProxyPoll, ProxyReply, ReportReply, ReportRequest, WatchReply, WatchRequest};

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Node {
    Control(u64),
    Relay(usize),
    Proxy(usize),
    Operator(usize),
}

/// Identifies one request of one process, so that a late answer is not taken for another's.
pub(crate) type CallId = u64;

/// What the simulated control replicates: configuration and claims in one log.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(crate) enum SimCommand {
    Config(Request),
    Claim(ClaimCommand),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProposalReply {
    Config(Answer),
    Claim(ClaimAnswer),
    NotLeader {
        leader: Option<u64>,
    },
    /// Lost for certain.
    NotRun,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Packet {
    Raft(Message),
    Watch(CallId, WatchRequest),
    WatchAnswer(CallId, WatchReply),
    Report(CallId, ReportRequest),
    ReportAnswer(CallId, ReportReply),
    Poll(CallId, ProxyPoll),
    PollAnswer(CallId, ProxyReply),
    Propose(CallId, SimCommand),
    ProposeAnswer(CallId, ProposalReply),
    /// Back ends that leave, from a proxy or a relay.
    Marks(Vec<LeavingMark>),
    /// The process at the other end is gone (connection refused or reset).
    Reset(CallId),
}

impl Packet {
    /// The call that a request belongs to.
    pub fn request_call(&self) -> Option<CallId> {
        match self {
            Packet::Watch(call, _)
            | Packet::Report(call, _)
            | Packet::Poll(call, _)
            | Packet::Propose(call, _) => Some(*call),
            _ => None,
        }
    }
}

/// A timer of a process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Timer {
    /// A control replica's clock.
    Tick,
    /// A request was not answered in time.
    CallTimeout(CallId),
    /// A relay's held request of a proxy has waited long enough.
    HoldOver(CallId),
    /// A relay sends its next watch request.
    SendWatch,
    /// A relay sends its next report.
    SendReport,
    /// A relay reads the platform's list.
    ReadList,
    /// A proxy connects.
    Connect,
    /// An operator, or a caller on a proxy's node, does the next thing.
    Act,
}
