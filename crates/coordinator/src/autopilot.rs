//! Automatic membership changes of the consensus group, one voter at a time.
//!
//! A voter is replaced only if a replacement is available: its own machine with a new member id
//! (after losing its disk), or a spare member that has caught up. Silence alone is no reason to
//! remove a voter, and a voter is never removed if the remaining ones would not have a quorum.

use crate::Millis;
use consensus::Membership;
use mesh::MemberId;
use std::collections::BTreeMap;

/// Time for which a join request is remembered, milliseconds.
const JOIN_REQUEST_TTL_MS: u64 = 3_000;

/// The leader's knowledge of a member or of one that requests to join.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberFacts {
    /// When it was last heard from.
    pub heard_at: Option<Millis>,
    /// Whether its log is known to contain all committed entries.
    pub caught_up: bool,
}

/// The leader's knowledge on which a decision is based.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// The leader itself.
    pub own: MemberId,
    /// The current membership.
    pub membership: Membership,
    /// Facts by member.
    pub members: BTreeMap<MemberId, MemberFacts>,
    /// The current time.
    pub now: Millis,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds new members, which start to receive the log. Learners do not count towards a majority,
    /// so all that requested to join are added at once: added one by one, the 21 learners of a
    /// group of 24 would be able to accept links only seconds after a start.
    AddLearners(Vec<MemberId>),
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

/// Rules for membership changes, with their parameters.
#[derive(Clone, Debug)]
pub struct Autopilot {
    voters: usize,
    silence_ms: u64,
    join_requests: BTreeMap<MemberId, Millis>,
}

impl Autopilot {
    /// Creates the rules for a group with a target of `voters` voters.
    pub fn new(voters: usize, silence_ms: u64) -> Self {
        Autopilot { voters, silence_ms, join_requests: BTreeMap::new() }
    }

    /// Records the join request of a coordinator that is not a member.
    pub fn wants_to_join(&mut self, member: MemberId, now: Millis) {
        self.join_requests.insert(member, now);
    }

    /// Returns the next change, if one is due.
    pub fn next_change(&mut self, facts: &Facts) -> Option<Change> {
        let now = facts.now;
        self.join_requests.retain(|_, requested_at| now < *requested_at + JOIN_REQUEST_TTL_MS);
        self.remove_superseded(facts)
            .or_else(|| self.add_newcomer(facts))
            .or_else(|| self.promote(facts))
            .or_else(|| self.remove_silent(facts))
    }

    /// Removes a member whose machine returned with a new id, which proves that its disk was lost.
    fn remove_superseded(&self, facts: &Facts) -> Option<Change> {
        let superseded = |member: &MemberId| {
            let is_newer = |other: &MemberId| {
                other != member && other.address() == member.address() && other.incarnation() != 0
            };
            let requested_to_join = self.join_requests.keys().any(is_newer);
            let rejoined = facts.membership.learners.iter().map(|id| MemberId(*id)).any(|id| {
                is_newer(&id) && self.is_alive(facts, id) && !self.is_alive(facts, *member)
            });
            *member != facts.own && (requested_to_join || rejoined)
        };
        let members = facts.membership.members().map(MemberId);
        let removable = members.filter(superseded).find(|member| self.can_remove(facts, *member));
        removable.map(Change::Remove)
    }

    fn add_newcomer(&self, facts: &Facts) -> Option<Change> {
        let is_member = |member: &MemberId| facts.membership.members().any(|id| id == member.0);
        let requested = self.join_requests.keys().copied();
        let newcomers: Vec<MemberId> = requested.filter(|member| !is_member(member)).collect();
        let has_newcomers = !newcomers.is_empty();
        has_newcomers.then_some(Change::AddLearners(newcomers))
    }

    fn promote(&self, facts: &Facts) -> Option<Change> {
        let live = self.live_voters(facts);
        let needs_voter = live < self.voters && facts.membership.voters.len() <= self.voters;
        let is_ready = |member: &MemberId| {
            self.is_alive(facts, *member)
                && facts.members.get(member).is_some_and(|member_facts| member_facts.caught_up)
        };
        let learners = facts.membership.learners.iter().map(|id| MemberId(*id));
        learners.filter(|_| needs_voter).find(is_ready).map(Change::Promote)
    }

    /// Removes a silent voter if there are more voters than needed, which means that it was
    /// replaced.
    fn remove_silent(&self, facts: &Facts) -> Option<Change> {
        if facts.membership.voters.len() <= self.voters {
            return None;
        }
        let voters = facts.membership.voters.iter().map(|id| MemberId(*id));
        let silent = voters.filter(|voter| !self.is_alive(facts, *voter));
        silent.into_iter().find(|voter| self.can_remove(facts, *voter)).map(Change::Remove)
    }

    fn is_alive(&self, facts: &Facts, member: MemberId) -> bool {
        if member == facts.own {
            return true;
        }
        let heard = facts.members.get(&member).and_then(|member_facts| member_facts.heard_at);
        heard.is_some_and(|heard| facts.now < heard + self.silence_ms)
    }

    fn live_voters(&self, facts: &Facts) -> usize {
        let voters = facts.membership.voters.iter().map(|id| MemberId(*id));
        voters.filter(|voter| self.is_alive(facts, *voter)).count()
    }

    /// Whether the other live voters form a quorum without a member.
    fn can_remove(&self, facts: &Facts, member: MemberId) -> bool {
        if !facts.membership.voters.contains(&member.0) {
            return true;
        }
        let mut remaining = facts.membership.clone();
        remaining.voters.remove(&member.0);
        !remaining.voters.is_empty()
            && remaining.has_quorum(|voter| self.is_alive(facts, MemberId(voter)))
    }
}
