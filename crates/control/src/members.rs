//! Membership of all groups, changed one member at a time.

use crate::machine::{ClaimState, ConfigState, StateMachine};
use crate::replica::{Replica, RequestError};
use consensus::Membership;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use telemetry::BootInstant;

/// Longest wait for a learner to catch up before it is promoted.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(20);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberChange {
    /// A new member receives the log without counting.
    AddLearner(u64),
    /// A learner that has caught up begins to count.
    Promote(u64),
    /// A member is removed for good; its id is never used again.
    Remove(u64),
}

impl MemberChange {
    /// The membership after the change.
    pub(crate) fn applied_to(self, membership: &Membership) -> Membership {
        let mut next = membership.clone();
        match self {
            MemberChange::AddLearner(id) => {
                if !next.voters.contains(&id) {
                    next.learners.insert(id);
                }
            }
            MemberChange::Promote(id) => {
                if next.learners.remove(&id) {
                    next.voters.insert(id);
                }
            }
            MemberChange::Remove(id) => {
                next.voters.remove(&id);
                next.learners.remove(&id);
            }
        }
        next
    }
}

/// Applies a change to one group, waiting for a learner to catch up.
pub(crate) fn change_group<M: StateMachine>(
    replica: &Replica<M>,
    change: MemberChange,
) -> Result<(), RequestError> {
    let deadline = BootInstant::now() + CATCH_UP_LIMIT;
    loop {
        let current = replica.lock().status.membership.clone();
        let next = change.applied_to(&current);
        if next == current {
            return Ok(());
        }
        match replica.change_membership(next, CHANGE_TIMEOUT) {
            Ok(_) => return Ok(()),
            Err(RequestError::Refused { .. }) if BootInstant::now() < deadline => {
                std::thread::sleep(RETRY_PAUSE);
            }
            Err(error) => return Err(error),
        }
    }
}

/// The groups hosted by one process.
#[derive(Clone)]
pub(crate) struct Groups {
    pub config: Replica<ConfigState>,
    pub claims: Vec<Replica<ClaimState>>,
}
