//! Simulates a fleet whose nodes retry as often as their budgets allow, while processes restart and
//! learn of each other late, and compares the retries at a service with the fleet-wide limit.

use placement::{BudgetBounds, RequestOrigin, RetryBudget};
use std::collections::VecDeque;

pub const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
const SERVICE: &str = "fares";
const DURATION_MS: u64 = 45_000;
/// Maximum time that a new process needs to learn of all nodes.
const MAX_DISCOVERY_MS: u64 = 3_000;

/// A retry budget of one node.
pub trait Budget {
    fn new(bounds: BudgetBounds) -> Self;
    fn note_request(&mut self, origin: RequestOrigin, now: u64);
    /// Takes a retry, if one is within the budget given the number of known nodes.
    fn take(&mut self, origin: RequestOrigin, hedged: bool, nodes: usize, now: u64) -> bool;
    /// State that the next process of this node starts with.
    fn after_restart(&self, bounds: BudgetBounds) -> Self;
}

impl Budget for RetryBudget {
    fn new(bounds: BudgetBounds) -> Self {
        RetryBudget::new(bounds)
    }

    fn note_request(&mut self, origin: RequestOrigin, now: u64) {
        self.note_request(SERVICE, origin, now);
    }

    fn take(&mut self, origin: RequestOrigin, hedged: bool, nodes: usize, now: u64) -> bool {
        let allowed = match hedged {
            true => self.allows_hedge(SERVICE, origin, nodes, now),
            false => self.allows(SERVICE, origin, nodes, now),
        };
        match (allowed, hedged) {
            (true, true) => self.note_hedge(SERVICE, origin, now),
            (true, false) => self.note_retry(SERVICE, origin, now),
            (false, _) => {}
        }
        allowed
    }

    fn after_restart(&self, bounds: BudgetBounds) -> Self {
        RetryBudget::new(bounds)
    }
}

/// A faulty budget for comparison: sums over a sliding window, local to a process. With
/// `PERSISTED`, they survive a restart.
#[derive(Clone)]
pub struct WindowSums<const PERSISTED: bool> {
    bounds: BudgetBounds,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl<const PERSISTED: bool> Budget for WindowSums<PERSISTED> {
    fn new(bounds: BudgetBounds) -> Self {
        WindowSums { bounds, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    fn note_request(&mut self, _: RequestOrigin, now: u64) {
        self.requests.push_back(now);
    }

    fn take(&mut self, _: RequestOrigin, _: bool, nodes: usize, now: u64) -> bool {
        let window_ms = self.bounds.window_ms;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| at + window_ms <= now) {
                times.pop_front();
            }
        }
        let earned = self.requests.len() as f64 * self.bounds.ratio * 0.75;
        let granted = earned + self.bounds.slack * 0.8 / nodes.max(1) as f64;
        let allowed = self.retries.len() as f64 + 1.0 <= granted;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn after_restart(&self, bounds: BudgetBounds) -> Self {
        match PERSISTED {
            true => self.clone(),
            false => Self::new(bounds),
        }
    }
}

/// Faults that a simulated fleet is exposed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Many processes restart at once, repeatedly.
    MassRestarts,
    /// All processes restart, a few at a time.
    RollingRestart,
    /// All processes restart at once, and learn of each other gradually.
    FullOutage,
    /// Nodes repeatedly lose contact with half of the fleet.
    Partitions,
}

struct Node<B> {
    budget: B,
    /// Start time of the process, and how long it needs to learn of all nodes.
    started: u64,
    discovery_ms: u64,
    partitioned_until: u64,
}

impl<B> Node<B> {
    fn known(&self, nodes: usize, now: u64) -> usize {
        let age_ms = now - self.started;
        let all = if now < self.partitioned_until { nodes / 2 } else { nodes };
        match age_ms < self.discovery_ms {
            true => all * age_ms as usize / self.discovery_ms as usize,
            false => all,
        }
    }
}

struct Fleet<B> {
    nodes: Vec<Node<B>>,
    random: fastrand::Rng,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl<B: Budget> Fleet<B> {
    fn new(nodes: usize, seed: u64) -> Self {
        let node =
            |_| Node { budget: B::new(BOUNDS), started: 0, discovery_ms: 0, partitioned_until: 0 };
        Fleet {
            nodes: (0..nodes).map(node).collect(),
            random: fastrand::Rng::with_seed(seed),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize, discovery_ms: u64, now: u64) {
        let node = &mut self.nodes[index];
        node.budget = node.budget.after_restart(BOUNDS);
        (node.started, node.discovery_ms) = (now, discovery_ms);
    }

    fn inject_fault(&mut self, fault: Fault, round: usize, now: u64) {
        let severity = self.random.f64();
        let discovery_ms = self.random.u64(1..MAX_DISCOVERY_MS);
        let all = self.nodes.len();
        for index in 0..all {
            match fault {
                Fault::None => {}
                Fault::MassRestarts if self.random.f64() < 0.5 + severity / 2.0 => {
                    self.restart(index, 0, now);
                }
                Fault::RollingRestart if index % 5 == round % 5 => self.restart(index, 0, now),
                Fault::FullOutage => self.restart(index, discovery_ms, now),
                Fault::Partitions if self.random.bool() => {
                    self.nodes[index].partitioned_until = now + discovery_ms * 2;
                }
                _ => {}
            }
        }
    }

    /// Sends a request at a random node. If `failing`, it fails, and so do all of its retries.
    fn request(&mut self, failing: bool, now: u64) {
        let all = self.nodes.len();
        let node = &mut self.nodes[self.random.usize(..all)];
        let origin =
            if self.random.bool() { RequestOrigin::RunningRequest } else { RequestOrigin::Caller };
        node.budget.note_request(origin, now);
        self.requests.push(now);
        let known = node.known(all, now);
        if !failing {
            return;
        }
        while node.budget.take(origin, self.random.u8(0..4) == 0, known, now) {
            self.retries.push(now);
        }
    }

    /// Largest number of retries in excess of the limit in any window.
    fn worst_excess(&self) -> f64 {
        let count = |times: &[u64], from: u64| {
            let index_of = |at: u64| times.partition_point(|time| *time < at);
            (index_of(from + BOUNDS.window_ms) - index_of(from)) as f64
        };
        let excess = |from: u64| {
            let starts = [from, from.saturating_sub(5_000), from.saturating_sub(10_000)];
            let requests =
                starts.iter().map(|start| count(&self.requests, *start)).fold(0.0, f64::max);
            count(&self.retries, from) - BOUNDS.ratio * requests - BOUNDS.slack
        };
        self.retries.iter().map(|from| excess(*from)).fold(f64::MIN, f64::max)
    }
}

/// Simulates a fleet whose calls fail from some moment on, and returns the largest number of
/// retries in excess of the limit in any window.
pub fn worst_excess<B: Budget>(nodes: usize, fault: Fault, seed: u64) -> f64 {
    let mut fleet = Fleet::<B>::new(nodes, seed);
    let max_gap_ms = fleet.random.u64(2..12);
    let fails_from = fleet.random.u64(4_000..20_000);
    let fault_interval_ms = fleet.random.u64(400..4_000);
    let mut next_fault = fails_from + fleet.random.u64(0..2_000);
    let (mut now, mut round) = (0, 0);
    while now < DURATION_MS {
        // The load varies, so that some windows have few requests at their start or end.
        let quiet = (now / 5_000) % 4 == 3;
        now += fleet.random.u64(0..max_gap_ms) * if quiet { 4 } else { 1 };
        if now >= next_fault {
            fleet.inject_fault(fault, round, now);
            next_fault = now + fault_interval_ms;
            round += 1;
        }
        fleet.request(now >= fails_from, now);
    }
    fleet.worst_excess()
}
