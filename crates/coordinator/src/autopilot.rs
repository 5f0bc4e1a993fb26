//! Changing the members of the group without an operator, one voter at a time.
//!
//! A voter is exchanged only when something stands in its place: its own machine under a new id
//! (its disk was lost), or a spare member that has caught up. It is never removed only for being
//! silent, and never if those that remain could not go on without it.

use crate::Millis;
use consensus::Membership;
use mesh::MemberId;
use std::collections::BTreeMap;

/// How long a request to join is remembered, milliseconds.
const JOIN_MEMORY_MS: u64 = 3_000;

/// What the leader knows of one member or of one that wants to join.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberFacts {
    /// When it was last heard.
    pub heard_at: Option<Millis>,
    /// Whether its log is known to hold all that is committed.
    pub caught_up: bool,
}

/// What the leader knows when it decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// The leader itself.
    pub own: MemberId,
    /// Members in force.
    pub membership: Membership,
    /// Facts by member.
    pub members: BTreeMap<MemberId, MemberFacts>,
    /// Now.
    pub now: Millis,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Newcomers begin to receive the log. Learners count for no majority, so all that ask are added
    /// at once: one by one, the 21 of a group of 24 would take their links seconds after a start.
    AddLearners(Vec<MemberId>),
    /// A learner begins to vote.
    Promote(MemberId),
    /// A member is removed.
    Remove(MemberId),
}

/// Rules with their parameters.
#[derive(Clone, Debug)]
pub struct Autopilot {
    voters: usize,
    silence_ms: u64,
    joining: BTreeMap<MemberId, Millis>,
}

impl Autopilot {
    /// Rules for a group that should have `voters` voters.
    pub fn new(voters: usize, silence_ms: u64) -> Self {
        Autopilot { voters, silence_ms, joining: BTreeMap::new() }
    }

    /// A member that is not part of the group wants to join.
    pub fn wants_to_join(&mut self, member: MemberId, now: Millis) {
        self.joining.insert(member, now);
    }

    /// The next step, if one is due.
    pub fn next_change(&mut self, facts: &Facts) -> Option<Change> {
        let now = facts.now;
        self.joining.retain(|_, asked| now < *asked + JOIN_MEMORY_MS);
        self.remove_succeeded(facts)
            .or_else(|| self.add_newcomer(facts))
            .or_else(|| self.promote(facts))
            .or_else(|| self.remove_silent(facts))
    }

    /// A member whose machine came back under a new id has lost its disk for good.
    fn remove_succeeded(&self, facts: &Facts) -> Option<Change> {
        let succeeded = |member: &MemberId| {
            let newer = |other: &MemberId| {
                other != member && other.address() == member.address() && other.incarnation() != 0
            };
            let asks = self.joining.keys().any(newer);
            let learner =
                facts.membership.learners.iter().map(|id| MemberId(*id)).any(|id| {
                    newer(&id) && self.is_alive(facts, id) && !self.is_alive(facts, *member)
                });
            *member != facts.own && (asks || learner)
        };
        let members = facts.membership.members().map(MemberId);
        let removable = members.filter(succeeded).find(|member| self.can_spare(facts, *member));
        removable.map(Change::Remove)
    }

    fn add_newcomer(&self, facts: &Facts) -> Option<Change> {
        let is_member = |member: &MemberId| facts.membership.members().any(|id| id == member.0);
        let joining = self.joining.keys().copied();
        let newcomers: Vec<MemberId> = joining.filter(|member| !is_member(member)).collect();
        let any = !newcomers.is_empty();
        any.then_some(Change::AddLearners(newcomers))
    }

    fn promote(&self, facts: &Facts) -> Option<Change> {
        let live = self.live_voters(facts);
        let wanted = live < self.voters && facts.membership.voters.len() <= self.voters;
        let ready = |member: &MemberId| {
            self.is_alive(facts, *member)
                && facts.members.get(member).is_some_and(|known| known.caught_up)
        };
        let learners = facts.membership.learners.iter().map(|id| MemberId(*id));
        learners.filter(|_| wanted).find(ready).map(Change::Promote)
    }

    /// One more voter than needed, and one is silent: another has taken its place.
    fn remove_silent(&self, facts: &Facts) -> Option<Change> {
        if facts.membership.voters.len() <= self.voters {
            return None;
        }
        let voters = facts.membership.voters.iter().map(|id| MemberId(*id));
        let silent = voters.filter(|voter| !self.is_alive(facts, *voter));
        silent.into_iter().find(|voter| self.can_spare(facts, *voter)).map(Change::Remove)
    }

    fn is_alive(&self, facts: &Facts, member: MemberId) -> bool {
        if member == facts.own {
            return true;
        }
        let heard = facts.members.get(&member).and_then(|known| known.heard_at);
        heard.is_some_and(|heard| facts.now < heard + self.silence_ms)
    }

    fn live_voters(&self, facts: &Facts) -> usize {
        let voters = facts.membership.voters.iter().map(|id| MemberId(*id));
        voters.filter(|voter| self.is_alive(facts, *voter)).count()
    }

    /// Whether the other voters could commit without a member.
    fn can_spare(&self, facts: &Facts, member: MemberId) -> bool {
        if !facts.membership.voters.contains(&member.0) {
            return true;
        }
        let mut rest = facts.membership.clone();
        rest.voters.remove(&member.0);
        !rest.voters.is_empty() && rest.has_quorum(|voter| self.is_alive(facts, MemberId(voter)))
    }
}
