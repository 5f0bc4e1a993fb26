//! What one node may send again to one service.

use super::{BudgetBounds, RequestOrigin};
use crate::Millis;
use std::collections::VecDeque;

/// Part of a window's bound that a node may have saved. With the part that comes meanwhile it is less
/// than the whole: the rest is for the time that calls are under way, and for repeats within repeats.
const SAVED_PART: f64 = 0.4;
/// Part of the ratio that each request brings.
const EARNED_PART: f64 = 0.5;
/// Part of a node's share of the slack that comes in a window.
const GRANTED_PART: f64 = 0.4;
/// Part of what a node may repeat that hedged second tries may use. The rest is left to repeats after
/// failures, which save calls that are lost otherwise.
const HEDGED_PART: f64 = 0.4;
/// Parts of a window by which its requests are forgotten.
const SLICES: u64 = 10;

/// Requests in a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    by_callers: u32,
    by_runs: u32,
}

/// What may be spent on repeats at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
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
    /// One with nothing in it, which is granted its part of the slack from `since` on.
    pub fn empty(since: Millis) -> Self {
        Account { refilled_at: since, ..Account::default() }
    }

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
    pub fn refill(&mut self, bounds: &BudgetBounds, share: f64, now: Millis) {
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

    /// Takes in a request.
    pub fn earn(
        &mut self,
        asked_by: RequestOrigin,
        bounds: &BudgetBounds,
        share: f64,
        now: Millis,
    ) {
        let slice = self.slice(bounds.window_ms, now);
        match asked_by {
            RequestOrigin::Caller => slice.by_callers += 1,
            RequestOrigin::RunningRequest => slice.by_runs += 1,
        }
        self.refill(bounds, share, now);
        let earned = bounds.ratio * EARNED_PART;
        match asked_by {
            RequestOrigin::Caller => self.by_callers += earned,
            RequestOrigin::RunningRequest => self.by_runs += earned,
        }
        self.hedges += earned * HEDGED_PART;
    }

    /// Takes out a repeat.
    pub fn spend(&mut self, asked_by: RequestOrigin) {
        match asked_by {
            RequestOrigin::Caller => self.by_callers -= 1.0,
            RequestOrigin::RunningRequest => self.by_runs -= 1.0,
        }
    }

    /// Takes out what a hedged second try may use; the repeat that it is goes beside it.
    pub fn spend_on_hedge(&mut self) {
        self.hedges -= 1.0;
    }

    /// What may be spent on hedged second tries, in repeats.
    pub fn left_for_hedges(&self) -> f64 {
        self.hedges
    }

    /// What may be spent, in repeats. Runs may use all, callers all but what the requests of runs
    /// earned and have not used.
    pub fn left(&self, asked_by: RequestOrigin) -> f64 {
        match asked_by {
            RequestOrigin::Caller => self.by_callers + self.by_runs.min(0.0),
            RequestOrigin::RunningRequest => self.by_callers + self.by_runs,
        }
    }
}
