//! Messages, timers and process ids of the simulated network.

use claims::{ClaimAnswer, ClaimCommand};
use consensus::Message;
use endpoints::LeavingMark;
use rollout::{Answer, Request};
use speedy::{Readable, Writable};
use wire::{ProxyPoll, ProxyReply, ReportReply, ReportRequest, WatchReply, WatchRequest};

/// Address of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Node {
    Control(u64),
    Relay(usize),
    Proxy(usize),
    Operator(usize),
}

/// Identifies a request within its sender, so that a late answer is not matched to another request.
pub(crate) type CallId = u64;

/// Command in the replicated log of the control plane, which holds both configuration and claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub(crate) enum SimCommand {
    Config(Request),
    Claim(ClaimCommand),
}

/// Answer to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ProposalReply {
    Config(Answer),
    Claim(ClaimAnswer),
    NotLeader {
        leader: Option<u64>,
    },
    /// The command was not committed and never will be.
    NotRun,
}

/// Message between processes.
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
    /// Back ends that are leaving, as observed by a proxy or a relay.
    LeavingMarks(Vec<LeavingMark>),
    /// The peer process is down (connection refused or reset).
    Reset(CallId),
}

impl Packet {
    /// Returns the call id if this is a request.
    pub fn request_call_id(&self) -> Option<CallId> {
        match self {
            Packet::Watch(call, _)
            | Packet::Report(call, _)
            | Packet::Poll(call, _)
            | Packet::Propose(call, _) => Some(*call),
            _ => None,
        }
    }
}

/// Timer of a process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Timer {
    /// Consensus tick of a control replica.
    Tick,
    /// Timeout of a request.
    CallTimeout(CallId),
    /// End of a relay's hold time for the long poll of a proxy.
    HoldExpired(CallId),
    /// A relay sends its next watch request.
    SendWatch,
    /// A relay sends its next report, or an operator resends its request.
    SendReport,
    /// A relay reads the platform's endpoint list.
    PollPlatform,
    /// A proxy connects to a relay.
    Connect,
    /// An operator takes its next action.
    Act,
}
