//! The core state machine: roles, terms, and the interface to the driver.

use crate::log::RaftLog;
use crate::progress::Progress;
use crate::read_index::PendingRead;
use crate::{
    Body, Entry, HardState, Index, Membership, MembershipError, Message, NodeId, Payload, Snapshot,
    Term,
};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Safety mechanisms that can be disabled to verify that the simulator's checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// Reads are answered without confirmation by a quorum.
    UnconfirmedReads,
    /// An entry of an earlier term is committed by counting replicas (figure 3.7).
    CommitAnyTerm,
    /// A voter may vote again in the same term.
    DoubleVote,
    /// A leader does not step down after losing its quorum.
    NoQuorumCheck,
    /// A member keeps its role and known leader after its machine was asleep.
    KeepsRoleAfterSleep,
}

/// Fixed parameters of one member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this member.
    pub id: NodeId,
    /// Minimum election timeout in ticks; the maximum is twice this.
    pub election_ticks: u32,
    /// Ticks between heartbeats.
    pub heartbeat_ticks: u32,
    /// Seed for randomized election timeouts.
    pub seed: u64,
    /// Mechanism to disable in tests of the checks; `None` in production.
    pub weakness: Option<Weakness>,
}

/// Role of a member, with the state specific to it.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows `leader`, if one is known.
    Follower {
        /// Leader of the current term.
        leader: Option<NodeId>,
    },
    /// Requests pre-votes.
    PreCandidate {
        /// Members that granted their pre-vote, this one included.
        votes: BTreeSet<NodeId>,
    },
    /// Requests votes.
    Candidate {
        /// Members that granted their vote, this one included.
        votes: BTreeSet<NodeId>,
    },
    /// Leads the current term.
    Leader {
        /// Replication progress of each peer.
        peers: BTreeMap<NodeId, Progress>,
    },
}

/// A confirmed read, which may be answered once the state machine has applied `index` (section 6.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// Context passed to [`Raft::read_index`].
    pub context: u64,
    /// Commit index when the read started.
    pub index: Index,
}

/// Work for the driver, to be done in this order: save, send, apply.
#[derive(Debug, Default)]
pub struct Ready {
    /// Hard state to save, if changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, to be saved and loaded into the state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to save. They replace stored entries from the first index on.
    pub entries: Vec<Entry>,
    /// Messages to send once everything is saved.
    pub messages: Vec<Message>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Confirmed reads.
    pub reads: Vec<ReadState>,
    /// Contexts of the reads that this member cannot confirm any more.
    pub failed_reads: Vec<u64>,
}

impl Ready {
    /// Whether there is anything that must be saved before sending and applying.
    pub fn must_save(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}

/// Why a proposal or read was rejected; nothing was appended.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This member is not the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// The leader is transferring its leadership, or has not committed an entry of its term yet.
    #[snafu(display("the leader is not ready"))]
    NotReady,
    /// The membership change is not allowed.
    #[snafu(display("{source}"))]
    Membership {
        /// Why it is not allowed.
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
    /// Whether no leader has been known since this member started.
    pub(crate) no_leader_yet: bool,
    /// Whether this member stops and does not stand for election.
    pub(crate) is_retiring: bool,
    /// Elections started in that time.
    pub(crate) early_campaigns: u32,
    pub(crate) rng: fastrand::Rng,
    pub(crate) round: u64,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) transfer_to: Option<NodeId>,
    /// Snapshot of which chunks are being received.
    pub(crate) incoming_snapshot: Option<Snapshot>,
    pub(crate) out: Ready,
    saved_hard_state: HardState,
}

impl Raft {
    /// Starts a member from its recovered storage.
    pub fn new(
        config: Config,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
    ) -> Self {
        let log = RaftLog::new(snapshot, entries);
        let (membership, membership_index) = log.membership();
        let rng = fastrand::Rng::with_seed(config.seed ^ config.id.rotate_left(32));
        let mut raft = Raft {
            config,
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower { leader: None },
            log,
            membership,
            membership_index,
            ticks_since_leader: 0,
            ticks_since_heartbeat: 0,
            ticks_since_quorum_check: 0,
            election_deadline: 0,
            no_leader_yet: true,
            is_retiring: false,
            early_campaigns: 0,
            rng,
            round: 0,
            pending_reads: Vec::new(),
            transfer_to: None,
            incoming_snapshot: None,
            out: Ready::default(),
            saved_hard_state: hard_state,
        };
        raft.set_short_election_timeout();
        raft
    }

    /// Id of this member.
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

    /// The current membership, which may not be committed yet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether the current membership is committed. Until then it is lost if the leader is.
    pub fn membership_is_committed(&self) -> bool {
        self.membership_index <= self.log.committed
    }

    /// Whether this member is the leader.
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

    /// The current term and vote.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, vote: self.vote }
    }

    /// Number of the latest heartbeat round.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Replication progress of the peers, if this member is the leader.
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

    /// Appends a command. It is committed only once it is returned in `Ready::committed`.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), ProposeError> {
        self.check_can_propose()?;
        let index = self.append_as_leader(Payload::Command(command));
        Ok((self.term, index))
    }

    /// Appends a new membership after checking it against the current one.
    pub fn propose_membership(&mut self, next: Membership) -> Result<Index, ProposeError> {
        self.check_can_propose()?;
        let reject = |source| Err(ProposeError::Membership { source });
        if !self.membership_is_committed() {
            return reject(MembershipError::ChangeInProgress);
        }
        if !self.committed_in_term() {
            return Err(ProposeError::NotReady);
        }
        if let Err(source) = self.membership.check_change(&next) {
            return reject(source);
        }
        let new_voter = next.voters.difference(&self.membership.voters).next().copied();
        if new_voter.is_some_and(|id| !self.caught_up(id)) {
            return reject(MembershipError::LearnerBehind);
        }
        Ok(self.append_as_leader(Payload::Membership(next)))
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

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { term: self.term, index, payload };
        self.log.append(entry.clone());
        self.out.entries.push(entry);
        self.refresh_membership();
        self.broadcast_append();
        index
    }

    /// Recomputes the membership after the log changed and, on the leader, the set of peers.
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

    /// Takes the pending work for the driver.
    pub fn ready(&mut self) -> Ready {
        let hard_state = self.hard_state();
        if hard_state != self.saved_hard_state {
            self.out.hard_state = Some(hard_state);
            self.saved_hard_state = hard_state;
        }
        self.out.committed = self.log.take_committed();
        std::mem::take(&mut self.out)
    }

    /// Whether `ready` would return any work.
    pub fn has_ready(&self) -> bool {
        let hard_state = self.hard_state();
        hard_state != self.saved_hard_state
            || self.out.must_save()
            || !self.out.messages.is_empty()
            || !self.out.reads.is_empty()
            || !self.out.failed_reads.is_empty()
            || self.log.committed.min(self.log.persisted) > self.log.delivered
    }

    /// Notifies the core that entries up to `index` are durable on this member.
    pub fn on_persisted(&mut self, index: Index) {
        self.log.persisted = self.log.persisted.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.maybe_commit();
        }
    }

    /// Creates a snapshot at `index` with the encoded state `data` and drops old entries. Returns
    /// `None` if the entry at `index` is not in the log.
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

    pub(crate) fn has_weakness(&self, weakness: Weakness) -> bool {
        self.config.weakness == Some(weakness)
    }
}
