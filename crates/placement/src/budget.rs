//! How many calls one node may send a second time.
//!
//! The bound holds for the fleet, so a node allows itself a part of the ratio, and its share of
//! what is granted besides. While upstreams turn many calls away, all would be spent on whichever
//! call comes first; calls that runs wait for keep what they earned, since each of them that fails
//! wastes the slot of its run.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Part of the fleet's ratio that a node uses: the rest covers windows that begin and end at the
/// wrong moments, and repeats within repeats.
const USED_PART_OF_RATIO: f64 = 0.75;
const USED_PART_OF_SLACK: f64 = 0.8;
/// Part of the fleet's bound that hedged second tries may use. More than a third of the bound is left
/// to repeats after failures, which save calls that are lost otherwise; with a ratio of 0.2, one call
/// in twelve may be hedged, which covers the part that is worth a second try.
const HEDGED_PART: f64 = 0.4;
const SLICES: u64 = 10;

/// The fleet's bound for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats granted besides, over the whole fleet.
    pub slack: f64,
    /// Length of the window, milliseconds.
    pub window_ms: u64,
}

/// Who asks for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedBy {
    /// A caller, whose work is new.
    Caller,
    /// A run that holds a slot until the call ends.
    Run,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    requests: u32,
    repeats: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    by_callers: Sent,
    by_runs: Sent,
    /// Those of the repeats that were hedged second tries.
    hedges: u32,
}

impl Slice {
    fn by(&mut self, asked_by: AskedBy) -> &mut Sent {
        match asked_by {
            AskedBy::Caller => &mut self.by_callers,
            AskedBy::Run => &mut self.by_runs,
        }
    }
}

/// What a node did about repeats at one service, in a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatTally {
    /// Requests noted.
    pub requests: u32,
    /// Arrivals past the first of a request.
    pub repeats: u32,
    /// Those of them that were hedged second tries.
    pub hedges: u32,
    /// Times that a repeat was not allowed; one call may ask more than once.
    pub refused: u32,
}

/// What one node sent to each service of late.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    services: BTreeMap<String, VecDeque<Slice>>,
    tallies: BTreeMap<String, RepeatTally>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(bounds: BudgetBounds) -> Self {
        RetryBudget { bounds, services: BTreeMap::new(), tallies: BTreeMap::new() }
    }

    fn slice(&mut self, service: &str, now: Millis) -> &mut Slice {
        let length = (self.bounds.window_ms / SLICES).max(1);
        let index = now / length;
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("inserted above");
        while slices.front().is_some_and(|slice| slice.index + SLICES < index) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.index != index) {
            slices.push_back(Slice { index, ..Slice::default() });
        }
        slices.back_mut().expect("pushed above")
    }

    /// What was done at each service since this was last asked.
    pub fn take_tallies(&mut self) -> BTreeMap<String, RepeatTally> {
        std::mem::take(&mut self.tallies)
    }

    fn tally(&mut self, service: &str) -> &mut RepeatTally {
        if !self.tallies.contains_key(service) {
            self.tallies.insert(service.to_owned(), RepeatTally::default());
        }
        self.tallies.get_mut(service).expect("inserted above")
    }

    /// Notes a request.
    pub fn note_request(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        self.tally(service).requests += 1;
        self.slice(service, now).by(asked_by).requests += 1;
    }

    /// Notes an arrival at an upstream past the first of its request.
    pub fn note_repeat(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        self.tally(service).repeats += 1;
        self.slice(service, now).by(asked_by).repeats += 1;
    }

    /// Notes a hedged second try, which counts as a repeat.
    pub fn note_hedge(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        let tally = self.tally(service);
        tally.repeats += 1;
        tally.hedges += 1;
        let slice = self.slice(service, now);
        slice.by(asked_by).repeats += 1;
        slice.hedges += 1;
    }

    /// Whether one more hedged second try fits, on one of `nodes` nodes.
    pub fn allows_hedge(
        &mut self,
        service: &str,
        asked_by: AskedBy,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.slice(service, now);
        let slices = &self.services[service];
        let callers = sum(slices.iter().map(|slice| slice.by_callers));
        let runs = sum(slices.iter().map(|slice| slice.by_runs));
        let hedges: u32 = slices.iter().map(|slice| slice.hedges).sum();
        let share = self.bounds.slack / nodes.max(1) as f64;
        let requests = f64::from(callers.requests + runs.requests);
        let granted = (requests * self.bounds.ratio + share) * HEDGED_PART;
        f64::from(hedges) + 1.0 <= granted && self.allows(service, asked_by, nodes, now)
    }

    /// Whether one more repeat fits, on one of `nodes` nodes. Runs may use all that is granted,
    /// callers all but what the requests of runs earned and have not used.
    pub fn allows(&mut self, service: &str, asked_by: AskedBy, nodes: usize, now: Millis) -> bool {
        self.slice(service, now);
        let slices = &self.services[service];
        let callers = sum(slices.iter().map(|slice| slice.by_callers));
        let runs = sum(slices.iter().map(|slice| slice.by_runs));
        let earned = |sent: Sent| f64::from(sent.requests) * self.bounds.ratio * USED_PART_OF_RATIO;
        let share = self.bounds.slack * USED_PART_OF_SLACK / nodes.max(1) as f64;
        let granted = earned(callers) + earned(runs) + share;
        let kept = match asked_by {
            AskedBy::Caller => (earned(runs) - f64::from(runs.repeats)).max(0.0),
            AskedBy::Run => 0.0,
        };
        let allowed = f64::from(callers.repeats + runs.repeats) + 1.0 <= granted - kept;
        self.tally(service).refused += u32::from(!allowed);
        allowed
    }
}

fn sum(sent: impl Iterator<Item = Sent>) -> Sent {
    sent.fold(Sent::default(), |all, more| Sent {
        requests: all.requests + more.requests,
        repeats: all.repeats + more.repeats,
    })
}
