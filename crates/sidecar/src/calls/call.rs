//! One call with what became of its tries.

use super::{Attempt, Origin};
use crate::tenants::{CompiledTenant, KeyHolder};
use crate::Millis;
use http1::{Request, Response};
use mesh::{HopOutcome, NodeAddress, Track};
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
    /// Its tenant, and the key by which that is known.
    pub holder: Option<KeyHolder>,
    /// What became of that key since it was placed.
    pub key_change: Option<KeyChange>,
    /// Rank of its route alone.
    pub route_rank: u32,
    pub repeatable: bool,
    pub rank: u32,
    pub most_arrivals: u32,
    pub target_ms: u64,
    pub service: String,
    /// Whether it belongs to the share of a canary.
    pub track: Track,
    /// Whether an upstream ended while it ran this call or one like it.
    pub suspect: bool,
    /// Whether a run of the upstream beside this node waits for it.
    pub begun: bool,
    pub arrived: Millis,
    /// How long its caller waits, as it told; its route's timeout if it did not.
    pub told_ms: u64,
    pub deadline: Millis,
    pub tries: u32,
    pub arrivals: u32,
    pub current: Option<Try>,
    /// A second try beside the current one.
    pub hedge: Option<Try>,
    /// When it is looked at whether a second try pays.
    pub hedge_at: Option<Millis>,
    pub tried: Vec<NodeAddress>,
    /// What each try came to, for the log of a failure.
    pub trail: Vec<Step>,
    pub parked_until: Option<Millis>,
    /// When the first of the upstreams that refused it expects room for it.
    pub room_at: Option<Millis>,
    /// An upstream's own failure, passed on if nothing better comes.
    pub fallback: Option<Response>,
}

impl Call {
    /// Who asks for it.
    pub fn asked_by(&self) -> RequestOrigin {
        match self.begun {
            true => RequestOrigin::RunningRequest,
            false => RequestOrigin::Caller,
        }
    }

    /// Takes out a try that ended; the other one, if there is one, is the current one from then on.
    pub fn take_try(&mut self, attempt: Attempt) -> Option<Try> {
        let is_it = |held: &Option<Try>| held.is_some_and(|held| held.attempt == attempt);
        if is_it(&self.hedge) {
            return self.hedge.take();
        }
        if !is_it(&self.current) {
            return None;
        }
        std::mem::replace(&mut self.current, self.hedge.take())
    }

    /// Its tries without an end.
    pub fn under_way(&self) -> impl Iterator<Item = Try> {
        self.current.into_iter().chain(self.hedge)
    }

    /// Its place among those that wait for an upstream.
    pub fn urgency(&self) -> Urgency {
        match self.begun {
            true => Urgency::IN_PROGRESS,
            false => Urgency { rank: self.rank, target_ms: self.target_ms },
        }
    }
}

/// What a newer configuration did to the key of a call that has no answer yet.
#[derive(Clone, Debug)]
pub(super) enum KeyChange {
    /// Another tenant has it.
    Moved(Rc<CompiledTenant>),
    /// Nobody has it.
    Gone {
        /// Whether that configuration was confirmed as the newest.
        confirmed: bool,
    },
}

/// A try without an end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    pub attempt: Attempt,
    pub to: NodeAddress,
    pub since: Millis,
}

/// What one try came to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub to: NodeAddress,
    pub ended_ms: u64,
    pub outcome: &'static str,
    pub status: u16,
    pub running: u32,
    pub queued: u32,
    pub limit: u32,
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Step { to, ended_ms, outcome, status, running, queued, limit } = self;
        write!(formatter, "{to}@{ended_ms}ms:{outcome}/{status}:{running}+{queued}of{limit}")
    }
}

/// One word for a log.
pub(super) fn outcome_word(outcome: HopOutcome) -> &'static str {
    match outcome {
        HopOutcome::Answered => "answered",
        HopOutcome::Refused => "refused",
        HopOutcome::Rejected => "rejected",
        HopOutcome::Unknown => "unknown",
    }
}

/// What each try came to, for a log.
pub(super) fn trail(steps: &[Step]) -> String {
    let steps: Vec<String> = steps.iter().map(ToString::to_string).collect();
    if steps.is_empty() {
        return "-".to_owned();
    }
    steps.join(",")
}
