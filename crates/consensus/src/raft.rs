//! The core: roles, terms, and the interface to the driver.

use crate::log::RaftLog;
use crate::progress::Progress;
use crate::read_index::PendingRead;
use crate::{
    Body, Entry, HardState, Index, Membership, MembershipError, Message, NodeId, Payload, Snapshot,
    Term,
};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Mechanisms that can be switched off, only to prove that the checks of the simulator notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// A read is answered without asking a quorum.
    UnconfirmedReads,
    /// An entry of an earlier term is committed by counting replicas (figure 3.7).
    CommitAnyTerm,
    /// A voter may vote again in the same term.
    DoubleVote,
    /// A leader never notices that it lost its quorum.
    NoQuorumCheck,
    /// A member whose machine slept takes for true what it knew before.
    KeepsRoleAfterSleep,
}

/// Fixed parameters of one member.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member.
    pub id: NodeId,
    /// Fewest ticks without a leader before campaigning; the most is twice this.
    pub election_ticks: u32,
    /// Ticks between heartbeats.
    pub heartbeat_ticks: u32,
    /// Seed of the election timeout's randomness.
    pub seed: u64,
    /// Broken variant for checker tests; `None` in the product.
    pub weakness: Option<Weakness>,
}

/// A member's role with the state that only exists in it.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows `leader`, if one is known.
    Follower {
        /// Leader of the current term.
        leader: Option<NodeId>,
    },
    /// Asks whether it would be elected.
    PreCandidate {
        /// Grants received.
        votes: BTreeSet<NodeId>,
    },
    /// Asks to be elected.
    Candidate {
        /// Grants received.
        votes: BTreeSet<NodeId>,
    },
    /// Leads the current term.
    Leader {
        /// State of every peer.
        peers: BTreeMap<NodeId, Progress>,
    },
}

/// A confirmed read: the state machine may answer once it applied `index` (section 6.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// The caller's mark.
    pub context: u64,
    /// Commit index at the time the read began.
    pub index: Index,
}

/// Work for the driver. Order: save, then send, then apply.
#[derive(Debug, Default)]
pub struct Ready {
    /// Hard state to save, if it changed.
    pub hard_state: Option<HardState>,
    /// Received snapshot to save and to load into the state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to save; a first index at or below the stored last cuts the stored tail.
    pub entries: Vec<Entry>,
    /// Messages to send after saving.
    pub messages: Vec<Message>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered.
    pub reads: Vec<ReadState>,
    /// Marks of reads that will never be confirmed by this member.
    pub failed_reads: Vec<u64>,
}

impl Ready {
    /// Whether the driver must save before it goes on.
    pub fn must_save(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}

/// Why a proposal or read was refused; nothing was appended.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This member does not lead.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// Who does, if known.
        leader: Option<NodeId>,
    },
    /// The leader is handing over its office, or has not committed in its term yet.
    #[snafu(display("the leader is not ready"))]
    NotReady,
    /// The membership change is not allowed.
    #[snafu(display("{source}"))]
    Membership {
        /// Why.
        source: MembershipError,
    },
}

/// One member of a replicated group.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) term: Term,
    pub(crate) vote: Option<NodeId>,
    pub(crate) role: Role,
    pub(crate) log: RaftLog,
    pub(crate) membership: Membership,
    pub(crate) membership_index: Index,
    pub(crate) ticks_since_leader: u32,
    pub(crate) ticks_since_heartbeat: u32,
    pub(crate) ticks_since_quorum_check: u32,
    pub(crate) election_deadline: u32,
    /// Whether no leader was known since the start.
    pub(crate) is_new: bool,
    /// Votes asked for in that time.
    pub(crate) early_campaigns: u32,
    pub(crate) random: fastrand::Rng,
    pub(crate) round: u64,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) transfer_to: Option<NodeId>,
    pub(crate) incoming: Option<Snapshot>,
    pub(crate) out: Ready,
    saved_hard_state: HardState,
}

impl Raft {
    /// Starts a member from what its storage recovered.
    pub fn new(config: Config, hard: HardState, snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let log = RaftLog::new(snapshot, entries);
        let (membership, membership_index) = log.membership();
        let random = fastrand::Rng::with_seed(config.seed ^ config.id.rotate_left(32));
        let mut raft = Raft {
            config,
            term: hard.term,
            vote: hard.vote,
            role: Role::Follower { leader: None },
            log,
            membership,
            membership_index,
            ticks_since_leader: 0,
            ticks_since_heartbeat: 0,
            ticks_since_quorum_check: 0,
            election_deadline: 0,
            is_new: true,
            early_campaigns: 0,
            random,
            round: 0,
            pending_reads: Vec::new(),
            transfer_to: None,
            incoming: None,
            out: Ready::default(),
            saved_hard_state: hard,
        };
        raft.shorten_election();
        raft
    }

    /// This member's id.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The log, for inspection.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// The membership in force.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.role {
            Role::Leader { .. } => Some(self.config.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// Term and vote, as they must be saved.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, vote: self.vote }
    }

    /// Number of the latest heartbeat round.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Replication state of the peers, when leading.
    pub fn peers(&self) -> Option<&BTreeMap<NodeId, Progress>> {
        match &self.role {
            Role::Leader { peers } => Some(peers),
            _ => None,
        }
    }

    /// Whether the leader has committed an entry of its own term (section 6.4, step 1).
    pub fn committed_in_term(&self) -> bool {
        self.log.term_at(self.log.committed) == Some(self.term)
    }

    /// Appends a command; it is accepted only once it comes back in `Ready::committed`.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), ProposeError> {
        self.check_can_propose()?;
        let index = self.append_own(Payload::Command(command));
        Ok((self.term, index))
    }

    /// Appends a new membership after checking it against the one in force.
    pub fn propose_membership(&mut self, next: Membership) -> Result<Index, ProposeError> {
        self.check_can_propose()?;
        let refuse = |source| Err(ProposeError::Membership { source });
        if self.membership_index > self.log.committed {
            return refuse(MembershipError::ChangeInProgress);
        }
        if !self.committed_in_term() {
            return Err(ProposeError::NotReady);
        }
        if let Err(source) = self.membership.check_change(&next) {
            return refuse(source);
        }
        let joining = next.voters.difference(&self.membership.voters).next().copied();
        if joining.is_some_and(|id| !self.caught_up(id)) {
            return refuse(MembershipError::LearnerBehind);
        }
        Ok(self.append_own(Payload::Membership(next)))
    }

    fn caught_up(&self, id: NodeId) -> bool {
        let peer = self.peers().and_then(|peers| peers.get(&id));
        peer.is_some_and(|progress| progress.match_index >= self.log.committed)
    }

    fn check_can_propose(&self) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        if self.transfer_to.is_some() {
            return Err(ProposeError::NotReady);
        }
        Ok(())
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { term: self.term, index, payload };
        self.log.append(entry.clone());
        self.out.entries.push(entry);
        self.refresh_membership();
        self.broadcast_append();
        index
    }

    /// Recomputes the membership after the log changed, and the set of peers if leading.
    pub(crate) fn refresh_membership(&mut self) {
        let (membership, index) = self.log.membership();
        self.membership = membership;
        self.membership_index = index;
        let next = self.log.last_index().max(1);
        let id = self.config.id;
        let members: BTreeSet<NodeId> = self.membership.members().filter(|m| *m != id).collect();
        if let Role::Leader { peers } = &mut self.role {
            peers.retain(|peer, _| members.contains(peer));
            for member in members {
                peers.entry(member).or_insert_with(|| Progress::new(next));
            }
        }
    }

    /// Hands over what the driver must do now.
    pub fn ready(&mut self) -> Ready {
        let hard = self.hard_state();
        if hard != self.saved_hard_state {
            self.out.hard_state = Some(hard);
            self.saved_hard_state = hard;
        }
        self.out.committed = self.log.take_committed();
        std::mem::take(&mut self.out)
    }

    /// Whether `ready` would hand over anything.
    pub fn has_ready(&self) -> bool {
        let hard = self.hard_state();
        hard != self.saved_hard_state
            || self.out.must_save()
            || !self.out.messages.is_empty()
            || !self.out.reads.is_empty()
            || !self.out.failed_reads.is_empty()
            || self.log.committed.min(self.log.persisted) > self.log.delivered
    }

    /// Tells the core that entries up to `index` are durable on this member.
    pub fn on_persisted(&mut self, index: Index) {
        self.log.persisted = self.log.persisted.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.maybe_commit();
        }
    }

    /// Records a snapshot of the state machine so that old entries can be dropped.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        let meta = self.log.meta_at(index)?;
        let snapshot = Snapshot { meta, data };
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        let message = Message { from: self.config.id, to, term: self.term, body };
        self.out.messages.push(message);
    }

    pub(crate) fn weak(&self, weakness: Weakness) -> bool {
        self.config.weakness == Some(weakness)
    }
}
