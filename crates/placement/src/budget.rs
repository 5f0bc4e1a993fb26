//! How many calls one node may send a second time.
//!
//! The bound holds for the fleet over any window, however often processes end meanwhile. So a node
//! spends what its requests earn: a part of it may be saved and spent at once, the rest comes with
//! each request, and a process starts with nothing. A part of what is granted besides comes with
//! time, once it is known by how many nodes it is shared.
//!
//! While upstreams turn many calls away, all would be spent on whichever call comes first; calls that
//! runs wait for keep what they earned, since each of them that fails wastes the slot of its run.

use crate::fleet_size::FleetSize;
use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Part of a window's bound that a node may have saved. With the part that comes meanwhile it is less
/// than the whole: the rest is for the time that calls are under way, and for repeats within repeats.
const SAVED_PART: f64 = 0.4;
/// Part of the ratio that each request brings.
const EARNED_PART: f64 = 0.5;
/// Part of a node's share of the slack that comes in a window.
const GRANTED_PART: f64 = 0.4;
/// Part of the fleet's bound that hedged second tries may use. More than a third of the bound is left
/// to repeats after failures, which save calls that are lost otherwise; with a ratio of 0.2, one call
/// in twenty-five may always be hedged.
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

/// Requests in a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    by_callers: u32,
    by_runs: u32,
}

/// What may be spent on repeats at one service.
#[derive(Clone, Debug, Default)]
struct Account {
    slices: VecDeque<Slice>,
    /// Earned by callers' requests and granted besides, in repeats.
    by_callers: f64,
    /// Earned by the requests of runs; below zero if runs used what is the callers'.
    by_runs: f64,
    /// Part of both that may be spent on hedged second tries.
    hedges: f64,
    refilled_at: Millis,
}

impl Account {
    fn requests(&self) -> (f64, f64) {
        let by_callers: u32 = self.slices.iter().map(|slice| slice.by_callers).sum();
        let by_runs: u32 = self.slices.iter().map(|slice| slice.by_runs).sum();
        (f64::from(by_callers), f64::from(by_runs))
    }

    /// The slice of this moment; those of before the window are forgotten.
    fn slice(&mut self, window_ms: u64, now: Millis) -> &mut Slice {
        let index = now / (window_ms / SLICES).max(1);
        while self.slices.front().is_some_and(|slice| slice.index + SLICES <= index) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        self.slices.back_mut().expect("pushed above")
    }

    /// Adds this node's part of the slack, and takes away what may not be saved.
    fn refill(&mut self, bounds: &BudgetBounds, share: f64, now: Millis) {
        self.slice(bounds.window_ms, now);
        let windows = now.saturating_sub(self.refilled_at) as f64 / bounds.window_ms as f64;
        self.refilled_at = now;
        let granted = share * GRANTED_PART * windows;
        let (by_callers, by_runs) = self.requests();
        let most_by_callers = (by_callers * bounds.ratio + share) * SAVED_PART;
        let most_by_runs = by_runs * bounds.ratio * SAVED_PART;
        self.by_callers = (self.by_callers + granted).min(most_by_callers);
        self.by_runs = self.by_runs.min(most_by_runs);
        let most_hedges = (most_by_callers + most_by_runs) * HEDGED_PART;
        self.hedges = (self.hedges + granted * HEDGED_PART).min(most_hedges);
        // What was sent without being asked for is paid back within a window.
        let most_owed = (by_callers + by_runs) * bounds.ratio * EARNED_PART;
        self.by_runs = self.by_runs.max(-most_owed - self.by_callers);
    }

    fn earn(&mut self, asked_by: AskedBy, bounds: &BudgetBounds, share: f64, now: Millis) {
        let slice = self.slice(bounds.window_ms, now);
        match asked_by {
            AskedBy::Caller => slice.by_callers += 1,
            AskedBy::Run => slice.by_runs += 1,
        }
        self.refill(bounds, share, now);
        let earned = bounds.ratio * EARNED_PART;
        match asked_by {
            AskedBy::Caller => self.by_callers += earned,
            AskedBy::Run => self.by_runs += earned,
        }
        self.hedges += earned * HEDGED_PART;
    }

    fn spend(&mut self, asked_by: AskedBy) {
        match asked_by {
            AskedBy::Caller => self.by_callers -= 1.0,
            AskedBy::Run => self.by_runs -= 1.0,
        }
    }

    fn left(&self, asked_by: AskedBy) -> f64 {
        match asked_by {
            AskedBy::Caller => self.by_callers + self.by_runs.min(0.0),
            AskedBy::Run => self.by_callers + self.by_runs,
        }
    }
}

/// What one node may send again to each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    fleet: FleetSize,
    accounts: BTreeMap<String, Account>,
    tallies: BTreeMap<String, RepeatTally>,
}

impl RetryBudget {
    /// The budget of a process that has just started.
    pub fn new(bounds: BudgetBounds) -> Self {
        RetryBudget {
            bounds,
            fleet: FleetSize::default(),
            accounts: BTreeMap::new(),
            tallies: BTreeMap::new(),
        }
    }

    /// Takes in how many nodes are known now.
    pub fn note_nodes(&mut self, nodes: usize, now: Millis) {
        self.fleet.note(nodes, now);
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

    /// This node's share of the slack.
    fn share(&self, now: Millis) -> f64 {
        self.fleet.sharers(now).map_or(0.0, |sharers| self.bounds.slack / sharers as f64)
    }

    fn account(&mut self, service: &str, now: Millis) -> &mut Account {
        if !self.accounts.contains_key(service) {
            let refilled_at = self.fleet.settled_at().unwrap_or(now).min(now);
            let account = Account { refilled_at, ..Account::default() };
            self.accounts.insert(service.to_owned(), account);
        }
        self.accounts.get_mut(service).expect("inserted above")
    }

    /// What may be spent at a service now.
    fn refilled(&mut self, service: &str, now: Millis) -> &mut Account {
        let (bounds, share) = (self.bounds, self.share(now));
        let account = self.account(service, now);
        account.refill(&bounds, share, now);
        account
    }

    /// Notes a request.
    pub fn note_request(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        self.tally(service).requests += 1;
        let (bounds, share) = (self.bounds, self.share(now));
        self.account(service, now).earn(asked_by, &bounds, share, now);
    }

    /// Notes an arrival at an upstream past the first of its request.
    pub fn note_repeat(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        self.tally(service).repeats += 1;
        self.refilled(service, now).spend(asked_by);
    }

    /// Notes a hedged second try, which counts as a repeat.
    pub fn note_hedge(&mut self, service: &str, asked_by: AskedBy, now: Millis) {
        self.note_repeat(service, asked_by, now);
        self.tally(service).hedges += 1;
        self.refilled(service, now).hedges -= 1.0;
    }

    /// Whether one more hedged second try fits, while `nodes` nodes are known.
    pub fn allows_hedge(
        &mut self,
        service: &str,
        asked_by: AskedBy,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.note_nodes(nodes, now);
        self.refilled(service, now).hedges >= 1.0 && self.allows(service, asked_by, nodes, now)
    }

    /// Whether one more repeat fits, while `nodes` nodes are known. Runs may use all that is left,
    /// callers all but what the requests of runs earned and have not used.
    pub fn allows(&mut self, service: &str, asked_by: AskedBy, nodes: usize, now: Millis) -> bool {
        self.note_nodes(nodes, now);
        let allowed = self.refilled(service, now).left(asked_by) >= 1.0;
        self.tally(service).refused += u32::from(!allowed);
        allowed
    }
}
