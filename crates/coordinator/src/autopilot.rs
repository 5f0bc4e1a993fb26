//! Automatic membership changes of the consensus group, one voter at a time.
//!
//! A voter is replaced only if a replacement is available: its own machine with a new member id
//! (after losing its disk), or a spare member that has caught up. Silence alone is no reason to
//! remove a voter, and a voter is never removed if the remaining ones would not have a quorum.
//!
//! A voter that stops hands its vote over before it ends, if a spare member has caught up: a vote that
//! goes with its machine would leave a group that cannot bear the next loss. A first member of the
//! fleet that returns after that gets the vote back, so that restarts leave the voters as they were.

use crate::Millis;
use consensus::Membership;
use mesh::MemberId;
use std::collections::BTreeMap;

/// Time for which a join request is remembered, milliseconds.
const JOIN_REQUEST_TTL_MS: u64 = 3_000;

/// Time for which an announcement that a member stops is remembered, milliseconds: as long as it
/// completes its requests after its vote was taken. Until then its messages do not make it join.
const STOPPING_TTL_MS: u64 = 2_000;

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
    /// Makes a voter a learner. The leader resigns first if it is the voter.
    Demote(MemberId),
}

/// Why a membership change is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The machine returned without its disk, under a new id.
    DiskLost,
    /// A coordinator asked to join.
    Joins,
    /// A voter stops and hands its vote over.
    VoterStops,
    /// A voter is missing.
    VoterMissing,
    /// A silent voter was replaced.
    VoterReplaced,
    /// A first member of the fleet is back.
    FirstMemberReturned,
}

/// Rules for membership changes, with their parameters.
#[derive(Clone, Debug)]
pub struct Autopilot {
    voters: usize,
    silence_ms: u64,
    join_requests: BTreeMap<MemberId, Millis>,
    /// Members that announced that they stop, and when they last did.
    stopping: BTreeMap<MemberId, Millis>,
    /// The learner that is to get a vote back, and since when it has been ready for it.
    returning: Option<(MemberId, Millis)>,
}

impl Autopilot {
    /// Creates the rules for a group with a target of `voters` voters.
    pub fn new(voters: usize, silence_ms: u64) -> Self {
        Autopilot {
            voters,
            silence_ms,
            join_requests: BTreeMap::new(),
            stopping: BTreeMap::new(),
            returning: None,
        }
    }

    /// Records that a member stops and wants to hand its vote over.
    pub fn stops(&mut self, member: MemberId, now: Millis) {
        self.stopping.insert(member, now);
        self.join_requests.remove(&member);
    }

    /// Records the join request of a coordinator that is not a member.
    pub fn wants_to_join(&mut self, member: MemberId, now: Millis) {
        let stops = self
            .stopping
            .get(&member)
            .is_some_and(|announced_at| now < announced_at + STOPPING_TTL_MS);
        if !stops {
            self.join_requests.insert(member, now);
        }
    }

    /// Returns the next change, if one is due.
    pub fn next_change(&mut self, facts: &Facts) -> Option<Change> {
        self.next_step(facts).map(|(change, _)| change)
    }

    /// Returns the next change, if one is due, and why.
    pub fn next_step(&mut self, facts: &Facts) -> Option<(Change, Reason)> {
        let now = facts.now;
        self.join_requests.retain(|_, requested_at| now < *requested_at + JOIN_REQUEST_TTL_MS);
        self.stopping.retain(|_, announced_at| now < *announced_at + STOPPING_TTL_MS);
        let because = |reason| move |change| (change, reason);
        self.remove_superseded(facts)
            .map(because(Reason::DiskLost))
            .or_else(|| self.add_newcomer(facts).map(because(Reason::Joins)))
            .or_else(|| self.hand_over(facts).map(because(Reason::VoterStops)))
            .or_else(|| self.promote(facts).map(because(Reason::VoterMissing)))
            .or_else(|| self.remove_silent(facts).map(because(Reason::VoterReplaced)))
            .or_else(|| self.give_back(facts).map(because(Reason::FirstMemberReturned)))
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

    /// Takes the vote of a voter that stops, once another member has one in its place. Two steps,
    /// each with a quorum of its own.
    fn hand_over(&self, facts: &Facts) -> Option<Change> {
        let is_voter = |member: &&MemberId| facts.membership.voters.contains(&member.0);
        let mut stopping =
            self.stopping.keys().filter(is_voter).filter(|member| **member != facts.own);
        if facts.membership.voters.len() > self.voters {
            return stopping
                .find(|member| self.can_remove(facts, **member))
                .copied()
                .map(Change::Remove);
        }
        stopping.next()?;
        self.ready_learners(facts).next().map(Change::Promote)
    }

    fn promote(&self, facts: &Facts) -> Option<Change> {
        let live = self.live_voters(facts);
        let needs_voter = live < self.voters && facts.membership.voters.len() <= self.voters;
        self.ready_learners(facts).find(|_| needs_voter).map(Change::Promote)
    }

    /// The live learners that have caught up and do not stop.
    fn ready_learners<'a>(&'a self, facts: &'a Facts) -> impl Iterator<Item = MemberId> + 'a {
        let is_ready = move |member: &MemberId| {
            self.is_alive(facts, *member)
                && !self.stopping.contains_key(member)
                && facts.members.get(member).is_some_and(|member_facts| member_facts.caught_up)
        };
        facts.membership.learners.iter().map(|id| MemberId(*id)).filter(is_ready)
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

    /// Gives the vote of a later member back to a first member of the fleet that has been ready for it
    /// for as long as a silent one is waited for. Two steps, each with a quorum of its own.
    fn give_back(&mut self, facts: &Facts) -> Option<Change> {
        let is_later = |member: &MemberId| member.incarnation() != 0;
        let voters = || facts.membership.voters.iter().map(|id| MemberId(*id));
        let is_calm = self.stopping.is_empty() && voters().all(|id| self.is_alive(facts, id));
        let later = voters().filter(is_later).max().filter(|_| is_calm);
        let Some(later) = later else {
            self.returning = None;
            return None;
        };
        if facts.membership.voters.len() > self.voters {
            return self.can_remove(facts, later).then_some(Change::Demote(later));
        }
        let ready = self.ready_learners(facts).find(|member| !is_later(member));
        self.returning = ready.map(|member| match self.returning {
            Some((returning, since)) if returning == member => (member, since),
            _ => (member, facts.now),
        });
        let (member, since) = self.returning?;
        (facts.now >= since + self.silence_ms).then_some(Change::Promote(member))
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
