//! Membership of the consensus groups, changed one member at a time.

use crate::machine::{ClaimState, ConfigState, StateMachine};
use crate::replica::{Replica, RequestError};
use consensus::Membership;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use telemetry::BootInstant;

/// Maximum time to wait for a learner to catch up before its promotion.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner(u64),
    /// Promotes a learner that has caught up to a voter.
    Promote(u64),
    /// Removes a member permanently; its id is never reused.
    Remove(u64),
}

impl MemberChange {
    /// Returns the membership after this change.
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

/// Applies a change to one group. While the group refuses it, for example because a learner has not
/// caught up yet, retries until [`CATCH_UP_TIMEOUT`].
pub fn change_group<M: StateMachine>(
    replica: &Replica<M>,
    change: MemberChange,
) -> Result<(), RequestError> {
    let deadline = BootInstant::now() + CATCH_UP_TIMEOUT;
    loop {
        match try_change(replica, change) {
            Err(RequestError::Refused { .. }) if BootInstant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Applies a change, or finds that it is made already. Only a leader that a quorum confirms can tell: the
/// membership in another replica's log may be old, and one that is not committed may be lost.
fn try_change<M: StateMachine>(
    replica: &Replica<M>,
    change: MemberChange,
) -> Result<(), RequestError> {
    replica.read(CHANGE_TIMEOUT)?;
    let (current, is_committed) = {
        let status = &replica.lock().status;
        (status.membership.clone(), status.membership_committed)
    };
    let next = change.applied_to(&current);
    if next == current && is_committed {
        return Ok(());
    }
    replica.change_membership(next, CHANGE_TIMEOUT).map(|_| ())
}

/// Consensus groups hosted by this process.
#[derive(Clone)]
pub(crate) struct Groups {
    pub config: Replica<ConfigState>,
    pub claims: Vec<Replica<ClaimState>>,
}
