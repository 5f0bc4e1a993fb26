//! Retry budget: limits how many calls one node may send again.
//!
//! The limit holds for the whole fleet over any window, however often processes restart meanwhile.
//! A node therefore spends only what its requests earn: part of that may accumulate and be spent at
//! once, the rest comes with each request, and a new process starts with an empty balance. A share
//! of the slack is granted over time, once the process knows how many nodes share it.
//!
//! While upstreams refuse many calls, the first calls to arrive would use up the whole budget.
//! Calls made by running requests therefore keep what they earned, since each of them that fails
//! wastes the slot of the request that made it.

mod account;

use self::account::Account;
use crate::fleet_size::FleetSize;
use crate::Millis;
use std::collections::BTreeMap;

/// Fleet-wide limit on retries, which applies to each service separately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries granted to the whole fleet in addition, per window.
    pub slack: f64,
    /// Length of the window, milliseconds.
    pub window_ms: u64,
}

/// Origin of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A client that starts new work.
    Caller,
    /// A request that an upstream is executing; it holds a slot until the call ends.
    RunningRequest,
}

/// Requests and retries at one service since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests recorded.
    pub requests: u32,
    /// Attempts beyond the first of each request, hedges included.
    pub retries: u32,
    /// Those of the retries that were hedges.
    pub hedges: u32,
    /// Number of times a retry was denied; one call may be denied more than once.
    pub refused: u32,
}

/// Retry budget of one node, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    fleet: FleetSize,
    accounts: BTreeMap<String, Account>,
    counts: BTreeMap<String, RetryCounts>,
}

impl RetryBudget {
    /// Creates the budget of a process that has just started.
    pub fn new(bounds: BudgetBounds) -> Self {
        RetryBudget {
            bounds,
            fleet: FleetSize::default(),
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Updates the number of known nodes.
    pub fn note_nodes(&mut self, nodes: usize, now: Millis) {
        self.fleet.note(nodes, now);
    }

    /// Returns the counts by service since the last call, and resets them.
    pub fn take_counts(&mut self) -> BTreeMap<String, RetryCounts> {
        std::mem::take(&mut self.counts)
    }

    fn counts(&mut self, service: &str) -> &mut RetryCounts {
        if !self.counts.contains_key(service) {
            self.counts.insert(service.to_owned(), RetryCounts::default());
        }
        self.counts.get_mut(service).expect("inserted above")
    }

    /// This node's share of the slack; 0 until the size of the fleet is known.
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

    /// Returns the account of a service, refilled up to now.
    fn refilled(&mut self, service: &str, now: Millis) -> &mut Account {
        let (bounds, share) = (self.bounds, self.share(now));
        let account = self.account(service, now);
        account.refill(&bounds, share, now);
        account
    }

    /// Records a request.
    pub fn note_request(&mut self, service: &str, origin: RequestOrigin, now: Millis) {
        self.counts(service).requests += 1;
        let (bounds, share) = (self.bounds, self.share(now));
        self.account(service, now).earn(origin, &bounds, share, now);
    }

    /// Records an attempt beyond the first of its request.
    pub fn note_retry(&mut self, service: &str, origin: RequestOrigin, now: Millis) {
        self.counts(service).retries += 1;
        self.refilled(service, now).spend(origin);
    }

    /// Returns what a retry cost that was refused before it reached the service.
    pub fn refund_retry(&mut self, service: &str, origin: RequestOrigin, now: Millis) {
        let counts = self.counts(service);
        counts.retries = counts.retries.saturating_sub(1);
        self.refilled(service, now).refund(origin);
    }

    /// Records a hedge, which also counts as a retry.
    pub fn note_hedge(&mut self, service: &str, origin: RequestOrigin, now: Millis) {
        self.note_retry(service, origin, now);
        self.counts(service).hedges += 1;
        self.refilled(service, now).spend_on_hedge();
    }

    /// Whether one more hedge is within the budget, given the number of known nodes.
    pub fn allows_hedge(
        &mut self,
        service: &str,
        origin: RequestOrigin,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.note_nodes(nodes, now);
        self.refilled(service, now).hedge_balance() >= 1.0
            && self.allows(service, origin, nodes, now)
    }

    /// Whether one more retry is within the budget, given the number of known nodes. Calls made by
    /// running requests may use the whole balance; callers may use all but the unused part that
    /// those calls earned.
    pub fn allows(
        &mut self,
        service: &str,
        origin: RequestOrigin,
        nodes: usize,
        now: Millis,
    ) -> bool {
        self.note_nodes(nodes, now);
        let allowed = self.refilled(service, now).balance(origin) >= 1.0;
        self.counts(service).refused += u32::from(!allowed);
        allowed
    }
}
