//! Voters and learners of a group. Voters are changed one at a time (section 4.1).

use crate::NodeId;
use speedy::{Readable, Writable};
use std::collections::BTreeSet;
use std::fmt;

/// Voters and learners of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Membership {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeSet<NodeId>,
    /// Members that receive the log but do not count towards a quorum (section 4.2.1).
    pub learners: BTreeSet<NodeId>,
}

/// Why a membership change was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// More than one voter would change at once, which could produce two disjoint majorities.
    MoreThanOneVoter,
    /// The change would leave the group without voters.
    NoVoters,
    /// A previous membership change is not committed yet.
    ChangeInProgress,
    /// The learner to promote has not caught up.
    LearnerBehind,
    /// The new voter is not a learner.
    NotALearner,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MembershipError::MoreThanOneVoter => "only one voter may change at a time",
            MembershipError::NoVoters => "a group needs at least one voter",
            MembershipError::ChangeInProgress => "an earlier membership change is not committed",
            MembershipError::LearnerBehind => "the learner has not caught up yet",
            MembershipError::NotALearner => "a new voter must join as a learner first",
        })
    }
}

impl std::error::Error for MembershipError {}

impl Membership {
    /// Creates a membership of voters without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Membership { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All voters and learners.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// Whether a majority of the voters satisfy `counts`.
    pub fn has_quorum(&self, counts: impl Fn(NodeId) -> bool) -> bool {
        self.voters.iter().filter(|voter| counts(**voter)).count() >= self.quorum()
    }

    /// Checks that `next` differs from `self` by at most one voter, and that a new voter is a learner
    /// of `self`.
    pub fn check_change(&self, next: &Membership) -> Result<(), MembershipError> {
        if next.voters.is_empty() {
            return Err(MembershipError::NoVoters);
        }
        if self.voters.symmetric_difference(&next.voters).count() > 1 {
            return Err(MembershipError::MoreThanOneVoter);
        }
        let not_a_learner =
            next.voters.difference(&self.voters).any(|id| !self.learners.contains(id));
        if not_a_learner {
            return Err(MembershipError::NotALearner);
        }
        Ok(())
    }
}
