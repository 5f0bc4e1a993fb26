//! One call with the state of its attempts.

use super::{Attempt, Origin};
use crate::tenants::{CompiledTenant, KeyHolder};
use crate::Millis;
use http1::{Request, Response};
use mesh::{HopOutcome, Incarnation, NodeAddress, Track};
use placement::{RequestOrigin, Urgency};
use std::fmt;
use std::rc::Rc;

/// A call without a final answer.
#[derive(Debug)]
pub(super) struct Call {
    pub origin: Origin,
    pub request: Rc<Request>,
    pub attempt_id: String,
    pub route: String,
    /// Its tenant and the API key that identified the tenant.
    pub holder: Option<KeyHolder>,
    /// Change of that key by a newer configuration.
    pub key_change: Option<KeyChange>,
    /// Rank of the route, without the tenant's.
    pub route_rank: u32,
    pub repeatable: bool,
    pub rank: u32,
    /// Maximum of `arrivals`; initially the `attempts` of the route.
    pub max_arrivals: u32,
    pub target_ms: u64,
    pub service: String,
    /// Whether the call goes to the canary version or the stable one.
    pub track: Track,
    /// Whether an upstream crashed while it ran this request or an identical one.
    pub suspect: bool,
    /// Whether a request running on the local upstream waits for it.
    pub from_local_run: bool,
    pub arrived: Millis,
    /// How long the caller waits, from its deadline header; the route's timeout if there is none.
    pub caller_timeout_ms: u64,
    pub deadline: Millis,
    /// Attempts started.
    pub attempts: u32,
    /// Attempts that may have run on an upstream.
    pub arrivals: u32,
    pub current: Option<ActiveAttempt>,
    /// The second attempt in parallel to `current`.
    pub hedge: Option<ActiveAttempt>,
    /// When to consider a hedge.
    pub hedge_at: Option<Millis>,
    pub tried: Vec<NodeAddress>,
    /// The incarnation that each attempt is meant for, by the number of the attempt.
    pub meant_for: Vec<Option<Incarnation>>,
    /// Results of the ended attempts, logged if the call fails.
    pub history: Vec<AttemptRecord>,
    pub parked_until: Option<Millis>,
    /// Earliest time at which an upstream that refused the call expects a free slot.
    pub room_at: Option<Millis>,
    /// A 5xx answer of an upstream, passed on if no retry succeeds.
    pub fallback: Option<Response>,
}

impl Call {
    /// Who made the call, for the retry budget.
    pub fn asked_by(&self) -> RequestOrigin {
        match self.from_local_run {
            true => RequestOrigin::RunningRequest,
            false => RequestOrigin::Caller,
        }
    }

    /// Removes an attempt that ended. If the other one is still active, it becomes the current one.
    pub fn take_attempt(&mut self, attempt: Attempt) -> Option<ActiveAttempt> {
        let matches =
            |active: &Option<ActiveAttempt>| active.is_some_and(|active| active.attempt == attempt);
        if matches(&self.hedge) {
            return self.hedge.take();
        }
        if !matches(&self.current) {
            return None;
        }
        std::mem::replace(&mut self.current, self.hedge.take())
    }

    /// Records an attempt that is about to be sent; returns its number.
    pub fn note_attempt(&mut self, to: NodeAddress, meant_for: Option<Incarnation>) -> u32 {
        self.attempts += 1;
        self.tried.push(to);
        self.meant_for.push(meant_for);
        self.attempts
    }

    /// The incarnation that an attempt is meant for.
    pub fn incarnation_of(&self, attempt: Attempt) -> Option<&Incarnation> {
        self.meant_for.get(attempt.number.checked_sub(1)? as usize)?.as_ref()
    }

    /// Attempts that have not ended.
    pub fn active_attempts(&self) -> impl Iterator<Item = ActiveAttempt> {
        self.current.into_iter().chain(self.hedge)
    }

    /// Priority of the call among those that wait for an upstream.
    pub fn urgency(&self) -> Urgency {
        match self.from_local_run {
            true => Urgency::IN_PROGRESS,
            false => Urgency { rank: self.rank, target_ms: self.target_ms },
        }
    }
}

/// How a newer configuration changed the API key of a call that has no answer yet.
#[derive(Clone, Debug)]
pub(super) enum KeyChange {
    /// The key belongs to another tenant now.
    Moved(Rc<CompiledTenant>),
    /// The key belongs to no tenant any more.
    Removed {
        /// Whether that configuration was confirmed as the newest.
        confirmed: bool,
    },
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveAttempt {
    pub attempt: Attempt,
    pub to: NodeAddress,
    pub since: Millis,
}

/// Result of one attempt, with the load that the peer reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    pub to: NodeAddress,
    pub ended_ms: u64,
    pub outcome: &'static str,
    pub status: u16,
    pub running: u32,
    pub queued: u32,
    pub limit: u32,
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptRecord { to, ended_ms, outcome, status, running, queued, limit } = self;
        write!(formatter, "{to}@{ended_ms}ms:{outcome}/{status}:{running}+{queued}of{limit}")
    }
}

/// Label of an outcome in log lines.
pub(super) fn outcome_label(outcome: HopOutcome) -> &'static str {
    match outcome {
        HopOutcome::Answered => "answered",
        HopOutcome::Refused => "refused",
        HopOutcome::Rejected => "rejected",
        HopOutcome::Unknown => "unknown",
    }
}

/// Formats the results of all attempts for a log line.
pub(super) fn format_history(records: &[AttemptRecord]) -> String {
    let records: Vec<String> = records.iter().map(ToString::to_string).collect();
    if records.is_empty() {
        return "-".to_owned();
    }
    records.join(",")
}
