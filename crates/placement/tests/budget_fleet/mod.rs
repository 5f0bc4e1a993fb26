//! A fleet of nodes that send again whatever their budgets allow, while their processes end and
//! start again and hear of each other late; what a service gets is held against the fleet's bound.

use placement::{BudgetBounds, RequestOrigin, RetryBudget};
use std::collections::VecDeque;

pub const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
const SERVICE: &str = "fares";
const LENGTH_MS: u64 = 45_000;
/// Longest that a process which started needs to hear of all nodes.
const LONGEST_LEARNING_MS: u64 = 3_000;

/// A node's bound on repeats.
pub trait Budget {
    fn new(bounds: BudgetBounds) -> Self;
    fn note_request(&mut self, asked_by: RequestOrigin, now: u64);
    /// Takes a repeat, if one fits while `nodes` nodes are known.
    fn take(&mut self, asked_by: RequestOrigin, hedged: bool, nodes: usize, now: u64) -> bool;
    /// What the next process of this node begins with.
    fn next_life(&self, bounds: BudgetBounds) -> Self;
}

impl Budget for RetryBudget {
    fn new(bounds: BudgetBounds) -> Self {
        RetryBudget::new(bounds)
    }

    fn note_request(&mut self, asked_by: RequestOrigin, now: u64) {
        self.note_request(SERVICE, asked_by, now);
    }

    fn take(&mut self, asked_by: RequestOrigin, hedged: bool, nodes: usize, now: u64) -> bool {
        let allowed = match hedged {
            true => self.allows_hedge(SERVICE, asked_by, nodes, now),
            false => self.allows(SERVICE, asked_by, nodes, now),
        };
        match (allowed, hedged) {
            (true, true) => self.note_hedge(SERVICE, asked_by, now),
            (true, false) => self.note_retry(SERVICE, asked_by, now),
            (false, _) => {}
        }
        allowed
    }

    fn next_life(&self, bounds: BudgetBounds) -> Self {
        RetryBudget::new(bounds)
    }
}

/// Sums over a sliding window, which a process keeps for itself.
#[derive(Clone)]
pub struct WindowSums<const REMEMBERED: bool> {
    bounds: BudgetBounds,
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl<const REMEMBERED: bool> Budget for WindowSums<REMEMBERED> {
    fn new(bounds: BudgetBounds) -> Self {
        WindowSums { bounds, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    fn note_request(&mut self, _: RequestOrigin, now: u64) {
        self.requests.push_back(now);
    }

    fn take(&mut self, _: RequestOrigin, _: bool, nodes: usize, now: u64) -> bool {
        let window_ms = self.bounds.window_ms;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| at + window_ms <= now) {
                times.pop_front();
            }
        }
        let earned = self.requests.len() as f64 * self.bounds.ratio * 0.75;
        let granted = earned + self.bounds.slack * 0.8 / nodes.max(1) as f64;
        let allowed = self.repeats.len() as f64 + 1.0 <= granted;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn next_life(&self, bounds: BudgetBounds) -> Self {
        match REMEMBERED {
            true => self.clone(),
            false => Self::new(bounds),
        }
    }
}

/// What befalls a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Many processes end at once, several times.
    Herds,
    /// All processes are started again, a few at a time.
    Rolling,
    /// All processes end at once, and those who start hear of others bit by bit.
    PowerLoss,
    /// Half of the nodes lose sight of the others, more than once.
    Cuts,
}

struct Node<B> {
    budget: B,
    /// Since when it hears of others, and how long until it knows all.
    started: u64,
    learning_ms: u64,
    cut_until: u64,
}

impl<B> Node<B> {
    fn known(&self, nodes: usize, now: u64) -> usize {
        let age_ms = now - self.started;
        let all = if now < self.cut_until { nodes / 2 } else { nodes };
        match age_ms < self.learning_ms {
            true => all * age_ms as usize / self.learning_ms as usize,
            false => all,
        }
    }
}

struct Fleet<B> {
    nodes: Vec<Node<B>>,
    random: fastrand::Rng,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl<B: Budget> Fleet<B> {
    fn new(nodes: usize, seed: u64) -> Self {
        let node = |_| Node { budget: B::new(BOUNDS), started: 0, learning_ms: 0, cut_until: 0 };
        Fleet {
            nodes: (0..nodes).map(node).collect(),
            random: fastrand::Rng::with_seed(seed),
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize, learning_ms: u64, now: u64) {
        let node = &mut self.nodes[index];
        node.budget = node.budget.next_life(BOUNDS);
        (node.started, node.learning_ms) = (now, learning_ms);
    }

    fn strike(&mut self, trouble: Trouble, turn: usize, now: u64) {
        let share = self.random.f64();
        let learning_ms = self.random.u64(1..LONGEST_LEARNING_MS);
        let all = self.nodes.len();
        for index in 0..all {
            match trouble {
                Trouble::None => {}
                Trouble::Herds if self.random.f64() < 0.5 + share / 2.0 => {
                    self.restart(index, 0, now);
                }
                Trouble::Rolling if index % 5 == turn % 5 => self.restart(index, 0, now),
                Trouble::PowerLoss => self.restart(index, learning_ms, now),
                Trouble::Cuts if self.random.bool() => {
                    self.nodes[index].cut_until = now + learning_ms * 2;
                }
                _ => {}
            }
        }
    }

    /// A request at one node, which fails as do all of its repeats, if they do now.
    fn request(&mut self, failing: bool, now: u64) {
        let all = self.nodes.len();
        let node = &mut self.nodes[self.random.usize(..all)];
        let asked_by =
            if self.random.bool() { RequestOrigin::RunningRequest } else { RequestOrigin::Caller };
        node.budget.note_request(asked_by, now);
        self.requests.push(now);
        let known = node.known(all, now);
        if !failing {
            return;
        }
        while node.budget.take(asked_by, self.random.u8(0..4) == 0, known, now) {
            self.repeats.push(now);
        }
    }

    /// The most repeats beyond the bound in any window.
    fn worst_excess(&self) -> f64 {
        let count = |times: &[u64], from: u64| {
            let place = |at: u64| times.partition_point(|time| *time < at);
            (place(from + BOUNDS.window_ms) - place(from)) as f64
        };
        let excess = |from: u64| {
            let starts = [from, from.saturating_sub(5_000), from.saturating_sub(10_000)];
            let requests =
                starts.iter().map(|start| count(&self.requests, *start)).fold(0.0, f64::max);
            count(&self.repeats, from) - BOUNDS.ratio * requests - BOUNDS.slack
        };
        self.repeats.iter().map(|from| excess(*from)).fold(f64::MIN, f64::max)
    }
}

/// Plays a fleet whose calls fail from some moment on, and returns the most repeats beyond the bound
/// in any window.
pub fn worst_excess<B: Budget>(nodes: usize, trouble: Trouble, seed: u64) -> f64 {
    let mut fleet = Fleet::<B>::new(nodes, seed);
    let gap_ms = fleet.random.u64(2..12);
    let fails_from = fleet.random.u64(4_000..20_000);
    let strikes_every_ms = fleet.random.u64(400..4_000);
    let mut next_strike = fails_from + fleet.random.u64(0..2_000);
    let (mut now, mut turn) = (0, 0);
    while now < LENGTH_MS {
        // Load comes and goes, so that windows begin and end badly.
        let quiet = (now / 5_000) % 4 == 3;
        now += fleet.random.u64(0..gap_ms) * if quiet { 4 } else { 1 };
        if now >= next_strike {
            fleet.strike(trouble, turn, now);
            next_strike = now + strikes_every_ms;
            turn += 1;
        }
        fleet.request(now >= fails_from, now);
    }
    fleet.worst_excess()
}
