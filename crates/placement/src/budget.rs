//! How many calls one node may send a second time.
//!
//! The bound holds for the fleet over any window, however often processes end meanwhile. So a node
//! spends what its requests earn: a part of it may be saved and spent at once, the rest comes with
//! each request, and a process starts with nothing. A part of what is granted besides comes with
//! time, once it is known by how many nodes it is shared.
//!
//! While upstreams turn many calls away, all would be spent on whichever call comes first; calls that
//! runs wait for keep what they earned, since each of them that fails wastes the slot of its run.

mod account;

use self::account::Account;
use crate::fleet_size::FleetSize;
use crate::Millis;
use std::collections::BTreeMap;

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
pub enum RequestOrigin {
    /// A caller, whose work is new.
    Caller,
    /// A run that holds a slot until the call ends.
    RunningRequest,
}

/// What a node did about repeats at one service, in a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests noted.
    pub requests: u32,
    /// Arrivals past the first of a request.
    pub retries: u32,
    /// Those of them that were hedged second tries.
    pub hedges: u32,
    /// Times that a repeat was not allowed; one call may ask more than once.
    pub refused: u32,
}

/// What one node may send again to each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    fleet: FleetSize,
    accounts: BTreeMap<String, Account>,
    tallies: BTreeMap<String, RetryCounts>,
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
    pub fn take_counts(&mut self) -> BTreeMap<String, RetryCounts> {
        std::mem::take(&mut self.tallies)
    }

    fn tally(&mut self, service: &str) -> &mut RetryCounts {
        if !self.tallies.contains_key(service) {
            self.tallies.insert(service.to_owned(), RetryCounts::default());
        }
        self.tallies.get_mut(service).expect("inserted above")
    }

    /// This node's share of the slack.
    fn share(&self, now: Millis) -> f64 {
        self.fleet.sharers(now).map_or(0.0, |sharers| self.bounds.slack / sharers as f64)
    }

    fn account(&mut self, service: &str, now: Millis) -> &mut Account {
        if !self.accounts.contains_key(service) {
            let since = self.fleet.settled_at().unwrap_or(now).min(now);
            self.accounts.insert(service.to_owned(), Account::empty(since));
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
    pub fn note_request(&mut self, service: &str, asked_by: RequestOrigin, now: Millis) {
        self.tally(service).requests += 1;
        let (bounds, share) = (self.bounds, self.share(now));
        self.account(service, now).earn(asked_by, &bounds, share, now);
    }

    /// Notes an arrival at an upstream past the first of its request.
    pub fn note_retry(&mut self, service: &str, asked_by: RequestOrigin, now: Millis) {
        self.tally(service).retries += 1;
        self.refilled(service, now).spend(asked_by);
    }

    /// Notes a hedged second try, which counts as a repeat.
    pub fn note_hedge(&mut self, service: &str, asked_by: RequestOrigin, now: Millis) {
        self.note_retry(service, asked_by, now);
        self.tally(service).hedges += 1;
        self.refilled(service, now).spend_on_hedge();
    }

    /// Whether one more hedged second try fits, while `nodes` nodes are known.
    pub fn allows_hedge(
        &mut self,
        service: &str,
        asked_by: RequestOrigin,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.note_nodes(nodes, now);
        self.refilled(service, now).left_for_hedges() >= 1.0
            && self.allows(service, asked_by, nodes, now)
    }

    /// Whether one more repeat fits, while `nodes` nodes are known. Runs may use all that is left,
    /// callers all but what the requests of runs earned and have not used.
    pub fn allows(
        &mut self,
        service: &str,
        asked_by: RequestOrigin,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.note_nodes(nodes, now);
        let allowed = self.refilled(service, now).left(asked_by) >= 1.0;
        self.tally(service).refused += u32::from(!allowed);
        allowed
    }
}
