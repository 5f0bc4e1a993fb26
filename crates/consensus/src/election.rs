//! Elections: timeouts, pre-votes, votes, quorum checks and leadership transfer.

use crate::progress::Progress;
use crate::raft::{Raft, Role, Weakness};
use crate::{Body, Message, NodeId, Payload, Term};
use std::collections::{BTreeMap, BTreeSet};

/// Elections that a newly started member may lose before it falls back to the normal election
/// timeout. Members that start at the same time can split their votes, which resolves itself after a
/// few elections; votes delayed by slow disks do not.
const MAX_EARLY_CAMPAIGNS: u32 = 3;
/// Heartbeat rounds within which a voter has replied if it was heard lately.
const RECENT_ROUNDS: u64 = 2;

impl Raft {
    /// Advances time by one tick.
    pub fn tick(&mut self) {
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        self.ticks_since_leader += 1;
        if self.ticks_since_leader < self.election_deadline {
            return;
        }
        if self.votes() && !self.is_retiring {
            self.campaign(true, false);
        } else {
            // It cannot campaign, but knows no leader any more either: it may be cut off, or removed.
            self.become_follower(self.term, None);
        }
    }

    /// Whether this member votes, as far as its log says.
    fn votes(&self) -> bool {
        self.membership.voters.contains(&self.config.id)
    }

    /// Does not stand for election any more, since this member stops. It votes for others.
    pub fn retire(&mut self) {
        self.is_retiring = true;
    }

    /// Becomes a follower without a known leader, to be called after the machine was asleep for longer
    /// than an election takes. No ticks passed meanwhile, and the others may have elected a leader and
    /// committed entries that this member would miss if it kept its role. Keeps term and vote.
    pub fn note_sleep(&mut self) {
        if !self.has_weakness(Weakness::KeepsRoleAfterSleep) {
            self.become_follower(self.term, None);
        }
    }

    fn tick_leader(&mut self) {
        self.ticks_since_heartbeat += 1;
        self.ticks_since_quorum_check += 1;
        if self.ticks_since_quorum_check >= self.config.election_ticks {
            self.ticks_since_quorum_check = 0;
            self.transfer_to = None;
            if !self.check_quorum() && !self.has_weakness(Weakness::NoQuorumCheck) {
                self.become_follower(self.term, None);
                return;
            }
        }
        if self.ticks_since_heartbeat >= self.config.heartbeat_ticks {
            self.ticks_since_heartbeat = 0;
            self.broadcast_heartbeat();
        }
    }

    /// Whether a quorum has replied since the last check; otherwise the leader steps down
    /// (section 6.2).
    fn check_quorum(&mut self) -> bool {
        let id = self.config.id;
        let membership = self.membership.clone();
        let Role::Leader { peers } = &mut self.role else {
            return false;
        };
        let quorum_active = membership.has_quorum(|voter| {
            voter == id || peers.get(&voter).is_some_and(|peer| peer.recently_active)
        });
        for peer in peers.values_mut() {
            peer.start_activity_period();
        }
        quorum_active
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.ticks_since_leader = 0;
        let min_ticks = self.config.election_ticks;
        self.election_deadline = min_ticks + self.rng.u32(0..min_ticks.max(1));
    }

    /// Sets a shorter election timeout, used by a newly started member until it knows a leader. If
    /// the whole group was down, there is no leader to wait for, but the others may start later than
    /// this member, so it repeats its pre-vote. If there is a leader, its followers reject the pre-vote
    /// (section 9.6), which changes no state. After split votes the shorter timeout is used up to
    /// [`MAX_EARLY_CAMPAIGNS`] times.
    pub(crate) fn set_short_election_timeout(&mut self) {
        self.reset_election_timer();
        let max_ticks = (self.config.election_ticks / 2).max(2);
        self.election_deadline = self.rng.u32(1..=max_ticks);
    }

    /// Whether this member is the leader, or has heard from the leader within the minimum election
    /// timeout (section 4.2.3).
    fn has_recent_leader(&self) -> bool {
        self.is_leader()
            || (self.leader().is_some() && self.ticks_since_leader < self.config.election_ticks)
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        self.reset_election_timer();
        let votes = BTreeSet::from([self.config.id]);
        let campaign_term = self.term + 1;
        if self.no_leader_yet && (pre || self.early_campaigns < MAX_EARLY_CAMPAIGNS) {
            self.set_short_election_timeout();
            self.early_campaigns += u32::from(!pre);
        }
        if pre {
            self.role = Role::PreCandidate { votes };
        } else {
            self.term = campaign_term;
            self.vote = Some(self.config.id);
            self.role = Role::Candidate { votes };
        }
        if self.membership.quorum() == 1 {
            self.on_election_won(pre);
            return;
        }
        let body = Body::RequestVote {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        let id = self.config.id;
        let voters: Vec<NodeId> =
            self.membership.voters.iter().copied().filter(|voter| *voter != id).collect();
        for to in voters {
            let message = Message { from: id, to, term: campaign_term, body: body.clone() };
            self.out.messages.push(message);
        }
    }

    fn on_election_won(&mut self, pre: bool) {
        if pre {
            self.campaign(false, false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let id = self.config.id;
        let peers: BTreeMap<NodeId, Progress> = self
            .membership
            .members()
            .filter(|member| *member != id)
            .map(|member| (member, Progress::new(next)))
            .collect();
        self.role = Role::Leader { peers };
        self.no_leader_yet = false;
        self.ticks_since_quorum_check = 0;
        self.ticks_since_heartbeat = 0;
        self.transfer_to = None;
        self.append_as_leader(Payload::Noop);
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        self.fail_pending_reads();
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.incoming_snapshot = None;
        }
        self.no_leader_yet &= leader.is_none();
        self.role = Role::Follower { leader };
        self.transfer_to = None;
        self.reset_election_timer();
    }

    /// Handles a message from a peer.
    pub fn step(&mut self, message: Message) {
        if message.to != self.config.id {
            return;
        }
        if message.term > self.term && !self.observe_higher_term(&message) {
            return;
        }
        if message.term < self.term {
            self.reject_stale(&message);
            return;
        }
        self.handle(message);
    }

    /// Handles the higher term of a message; returns false if the message must be ignored.
    fn observe_higher_term(&mut self, message: &Message) -> bool {
        match message.body {
            Body::RequestVote { pre: true, .. } | Body::VoteReply { pre: true, granted: true } => {
                true
            }
            // Ignored while the leader is active, so that a removed or partitioned member cannot
            // disrupt the group (section 4.2.3).
            Body::RequestVote { pre: false, transfer: false, .. } if self.has_recent_leader() => {
                false
            }
            Body::Append { .. } | Body::SnapshotChunk { .. } => {
                self.become_follower(message.term, Some(message.from));
                true
            }
            _ => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// Notifies the sender of a message with an earlier term of the current one.
    fn reject_stale(&mut self, message: &Message) {
        match message.body {
            Body::Append { round, .. } | Body::SnapshotChunk { round, .. } => {
                self.reject_append(message.from, round, 0);
            }
            Body::RequestVote { pre: true, .. } => {
                self.send(message.from, Body::VoteReply { pre: true, granted: false });
            }
            _ => {}
        }
    }

    fn handle(&mut self, message: Message) {
        let from = message.from;
        match message.body {
            Body::RequestVote { pre, last_index, last_term, .. } => {
                let up_to_date =
                    (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
                if pre {
                    self.reply_to_pre_vote(from, message.term, up_to_date);
                } else {
                    self.reply_to_vote(from, up_to_date);
                }
            }
            Body::VoteReply { pre, granted } => self.on_vote_reply(from, pre, granted),
            Body::TimeoutNow => self.on_timeout_now(),
            _ => self.handle_replication(from, message.body),
        }
    }

    fn reply_to_pre_vote(&mut self, from: NodeId, term: Term, up_to_date: bool) {
        let granted = up_to_date && term > self.term && !self.has_recent_leader();
        // A grant carries the requested term, so that the candidate can match it to its request.
        let reply_term = if granted { term } else { self.term };
        let body = Body::VoteReply { pre: true, granted };
        let id = self.config.id;
        self.out.messages.push(Message { from: id, to: from, term: reply_term, body });
    }

    fn reply_to_vote(&mut self, from: NodeId, up_to_date: bool) {
        let no_vote_or_leader = self.vote.is_none() && self.leader().is_none();
        let may_vote =
            no_vote_or_leader || self.vote == Some(from) || self.has_weakness(Weakness::DoubleVote);
        let granted = up_to_date && may_vote;
        if granted {
            self.vote = Some(from);
            self.reset_election_timer();
        }
        self.send(from, Body::VoteReply { pre: false, granted });
    }

    fn on_vote_reply(&mut self, from: NodeId, pre_reply: bool, granted: bool) {
        let membership = self.membership.clone();
        let (votes, pre) = match &mut self.role {
            Role::PreCandidate { votes } => (votes, true),
            Role::Candidate { votes } => (votes, false),
            _ => return,
        };
        if pre != pre_reply || !granted {
            return;
        }
        votes.insert(from);
        if membership.has_quorum(|voter| votes.contains(&voter)) {
            self.on_election_won(pre);
        }
    }

    fn on_timeout_now(&mut self) {
        if self.votes() && !self.is_retiring {
            self.campaign(false, true);
        }
    }

    /// Starts transferring leadership to the most up-to-date of the voters that were heard lately: one
    /// that is gone matches as well as the others until the next entry. Does nothing if this member does
    /// not lead, or transfers its leadership already.
    pub fn resign(&mut self) {
        let heard_since = self.round.saturating_sub(RECENT_ROUNDS);
        let voters = &self.membership.voters;
        let others = self.peers().into_iter().flatten().filter(|(id, _)| voters.contains(id));
        let successor = others
            .max_by_key(|(_, peer)| (peer.acked_round >= heard_since, peer.match_index))
            .map(|(id, _)| *id);
        if let Some(successor) = successor.filter(|_| self.transfer_to.is_none()) {
            self.transfer_leadership(successor);
        }
    }

    /// Starts transferring leadership to `to`; proposals are rejected meanwhile (section 3.10).
    pub fn transfer_leadership(&mut self, to: NodeId) {
        if !self.is_leader() || !self.membership.voters.contains(&to) || to == self.config.id {
            return;
        }
        self.transfer_to = Some(to);
        self.ticks_since_quorum_check = 0;
        self.try_finish_transfer(to);
    }

    pub(crate) fn try_finish_transfer(&mut self, peer: NodeId) {
        if self.transfer_to != Some(peer) {
            return;
        }
        let last = self.log.last_index();
        let caught_up =
            self.peers().and_then(|peers| peers.get(&peer)).is_some_and(|p| p.match_index == last);
        if caught_up {
            self.send(peer, Body::TimeoutNow);
        } else {
            self.send_append(peer);
        }
    }
}
