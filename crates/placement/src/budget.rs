//! How many calls one node may send a second time.
//!
//! The bound holds for the fleet, so a node allows itself a part of the ratio, and its share of
//! what is granted besides.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Part of the fleet's ratio that a node uses: the rest covers windows that begin and end at the
/// wrong moments, and repeats within repeats.
const USED_PART_OF_RATIO: f64 = 0.75;
const USED_PART_OF_SLACK: f64 = 0.8;
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

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// What one node sent to each service of late.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    services: BTreeMap<String, VecDeque<Slice>>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(bounds: BudgetBounds) -> Self {
        RetryBudget { bounds, services: BTreeMap::new() }
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

    /// Notes a request of a caller.
    pub fn note_request(&mut self, service: &str, now: Millis) {
        self.slice(service, now).requests += 1;
    }

    /// Notes an arrival at an upstream past the first of its request.
    pub fn note_repeat(&mut self, service: &str, now: Millis) {
        self.slice(service, now).repeats += 1;
    }

    /// Whether one more repeat fits, on one of `nodes` nodes.
    pub fn allows(&mut self, service: &str, nodes: usize, now: Millis) -> bool {
        self.slice(service, now);
        let slices = &self.services[service];
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = slices.iter().map(|slice| slice.repeats).sum();
        let share = self.bounds.slack * USED_PART_OF_SLACK / nodes.max(1) as f64;
        let granted = f64::from(requests) * self.bounds.ratio * USED_PART_OF_RATIO + share;
        f64::from(repeats) + 1.0 <= granted
    }
}
