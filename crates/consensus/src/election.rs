//! Time and terms: election timeouts, pre-vote, votes, quorum check and leadership transfer.

use crate::progress::Progress;
use crate::raft::{Raft, Role, Weakness};
use crate::{Body, Message, NodeId, Payload, Term};
use std::collections::{BTreeMap, BTreeSet};

/// Votes that a member which has just started asks for in vain before it waits as long as others:
/// members that start at the same moment split their votes, which passes; slow disks, which make
/// votes late, do not.
const MOST_EARLY_CAMPAIGNS: u32 = 3;

impl Raft {
    /// Advances time by one tick.
    pub fn tick(&mut self) {
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        self.ticks_since_leader += 1;
        if self.ticks_since_leader >= self.election_deadline {
            self.campaign(true, false);
        }
    }

    /// Forgets who leads, itself included: the machine slept for longer than an election takes, and
    /// no tick passed meanwhile. Others may have elected a leader and taken entries, which a member
    /// that answered by what it knew before would deny. It keeps its term and vote.
    pub fn note_sleep(&mut self) {
        if !self.weak(Weakness::KeepsRoleAfterSleep) {
            self.become_follower(self.term, None);
        }
    }

    fn tick_leader(&mut self) {
        self.ticks_since_heartbeat += 1;
        self.ticks_since_quorum_check += 1;
        if self.ticks_since_quorum_check >= self.config.election_ticks {
            self.ticks_since_quorum_check = 0;
            self.transfer_to = None;
            if !self.check_quorum() && !self.weak(Weakness::NoQuorumCheck) {
                self.become_follower(self.term, None);
                return;
            }
        }
        if self.ticks_since_heartbeat >= self.config.heartbeat_ticks {
            self.ticks_since_heartbeat = 0;
            self.broadcast_heartbeat();
        }
    }

    /// A leader that heard from no quorum for an election timeout steps down (section 6.2).
    fn check_quorum(&mut self) -> bool {
        let id = self.config.id;
        let membership = self.membership.clone();
        let Role::Leader { peers } = &mut self.role else {
            return false;
        };
        let alive = membership.has_quorum(|voter| {
            voter == id || peers.get(&voter).is_some_and(|peer| peer.recently_active)
        });
        for peer in peers.values_mut() {
            peer.recently_active = false;
        }
        alive
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.ticks_since_leader = 0;
        let least = self.config.election_ticks;
        self.election_deadline = least + self.random.u32(0..least.max(1));
    }

    /// A member that just started asks for votes early, again and again until it knows a leader: if
    /// all were down there is none to wait for, but the others may start later than this one. If
    /// there is a leader its followers refuse the pre-vote (section 9.6), which binds nobody. Real
    /// votes that were split are asked for again as early, a few times.
    pub(crate) fn shorten_election(&mut self) {
        self.reset_election_timer();
        let most = (self.config.election_ticks / 2).max(2);
        self.election_deadline = self.random.u32(1..=most);
    }

    /// Whether a live leader was heard from within the shortest election timeout (section 4.2.3).
    fn leader_is_recent(&self) -> bool {
        self.is_leader()
            || (self.leader().is_some() && self.ticks_since_leader < self.config.election_ticks)
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        self.reset_election_timer();
        if !self.membership.voters.contains(&self.config.id) {
            return;
        }
        let votes = BTreeSet::from([self.config.id]);
        let campaign_term = self.term + 1;
        if self.is_new && (pre || self.early_campaigns < MOST_EARLY_CAMPAIGNS) {
            self.shorten_election();
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
            self.win(pre);
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

    fn win(&mut self, pre: bool) {
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
        self.is_new = false;
        self.ticks_since_quorum_check = 0;
        self.ticks_since_heartbeat = 0;
        self.transfer_to = None;
        self.append_own(Payload::Noop);
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        self.fail_pending_reads();
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.incoming = None;
        }
        self.is_new &= leader.is_none();
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
            self.answer_stale(&message);
            return;
        }
        self.handle(message);
    }

    /// Returns false when the message must be ignored.
    fn observe_higher_term(&mut self, message: &Message) -> bool {
        match message.body {
            Body::RequestVote { pre: true, .. } | Body::VoteReply { pre: true, granted: true } => {
                true
            }
            // A live leader protects its followers from disruptive candidates (section 4.2.3).
            Body::RequestVote { pre: false, transfer: false, .. } if self.leader_is_recent() => {
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

    /// Tells a sender of an earlier term about the current one.
    fn answer_stale(&mut self, message: &Message) {
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
                    self.answer_pre_vote(from, message.term, up_to_date);
                } else {
                    self.answer_vote(from, up_to_date);
                }
            }
            Body::VoteReply { pre, granted } => self.on_vote_reply(from, pre, granted),
            Body::TimeoutNow => self.on_timeout_now(),
            _ => self.handle_replication(from, message.body),
        }
    }

    fn answer_pre_vote(&mut self, from: NodeId, term: Term, up_to_date: bool) {
        let granted = up_to_date && term > self.term && !self.leader_is_recent();
        // A granted pre-vote answers with the term asked for, so that the candidate can match it.
        let reply_term = if granted { term } else { self.term };
        let body = Body::VoteReply { pre: true, granted };
        let id = self.config.id;
        self.out.messages.push(Message { from: id, to: from, term: reply_term, body });
    }

    fn answer_vote(&mut self, from: NodeId, up_to_date: bool) {
        let free = self.vote.is_none() && self.leader().is_none();
        let may_vote = free || self.vote == Some(from) || self.weak(Weakness::DoubleVote);
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
            self.win(pre);
        }
    }

    fn on_timeout_now(&mut self) {
        if self.membership.voters.contains(&self.config.id) {
            self.campaign(false, true);
        }
    }

    /// Starts handing leadership to `to`; proposals are refused meanwhile (section 3.10).
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
