//! Retry balance of one node for one service.

use super::{BudgetBounds, RequestOrigin};
use crate::Millis;
use std::collections::VecDeque;

/// Fraction of a window's bound that a node may accumulate. Together with the retries earned during
/// the window it stays below the whole bound; the rest covers calls in flight and nested retries.
const MAX_BALANCE_FRACTION: f64 = 0.4;
/// Fraction of the retry ratio that each request earns.
const EARNED_FRACTION: f64 = 0.5;
/// Fraction of a node's share of the slack that is granted per window.
const GRANTED_FRACTION: f64 = 0.4;
/// Fraction of a node's retries that hedges may use. The rest is reserved for retries after
/// failures, without which those calls are lost.
const HEDGE_FRACTION: f64 = 0.4;
/// Number of time buckets per window; requests expire bucket by bucket.
const BUCKETS_PER_WINDOW: u64 = 10;

/// Requests in one time bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    from_callers: u32,
    from_running_requests: u32,
}

/// Balance of retries that may be sent to one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    buckets: VecDeque<Bucket>,
    /// Retries earned by callers' requests, plus those granted from the slack.
    from_callers: f64,
    /// Retries earned by calls that running requests make; negative if those calls used up part of
    /// the callers' balance.
    from_running_requests: f64,
    /// The part of both balances that hedges may use.
    hedges: f64,
    refilled_at: Millis,
}

impl Account {
    /// An empty account, which is granted its share of the slack from `since` on.
    pub fn empty(since: Millis) -> Self {
        Account { refilled_at: since, ..Account::default() }
    }

    fn requests(&self) -> (f64, f64) {
        let from_callers: u32 = self.buckets.iter().map(|bucket| bucket.from_callers).sum();
        let from_running_requests: u32 =
            self.buckets.iter().map(|bucket| bucket.from_running_requests).sum();
        (f64::from(from_callers), f64::from(from_running_requests))
    }

    /// Returns the current time bucket, after dropping those older than the window.
    fn bucket(&mut self, window_ms: u64, now: Millis) -> &mut Bucket {
        let index = now / (window_ms / BUCKETS_PER_WINDOW).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS_PER_WINDOW <= index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index != index) {
            self.buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("pushed above")
    }

    /// Adds this node's share of the slack since the last refill, and caps the balances.
    pub fn refill(&mut self, bounds: &BudgetBounds, share: f64, now: Millis) {
        self.bucket(bounds.window_ms, now);
        let elapsed_windows = now.saturating_sub(self.refilled_at) as f64 / bounds.window_ms as f64;
        self.refilled_at = now;
        let granted = share * GRANTED_FRACTION * elapsed_windows;
        let (from_callers, from_running_requests) = self.requests();
        let max_from_callers = (from_callers * bounds.ratio + share) * MAX_BALANCE_FRACTION;
        let max_from_running_requests = from_running_requests * bounds.ratio * MAX_BALANCE_FRACTION;
        self.from_callers = (self.from_callers + granted).min(max_from_callers);
        self.from_running_requests = self.from_running_requests.min(max_from_running_requests);
        let max_hedges = (max_from_callers + max_from_running_requests) * HEDGE_FRACTION;
        self.hedges = (self.hedges + granted * HEDGE_FRACTION).min(max_hedges);
        // Retries sent without a check of the budget are paid back within a window.
        let max_debt = (from_callers + from_running_requests) * bounds.ratio * EARNED_FRACTION;
        self.from_running_requests = self.from_running_requests.max(-max_debt - self.from_callers);
    }

    /// Records a request, which earns a fraction of a retry.
    pub fn earn(&mut self, origin: RequestOrigin, bounds: &BudgetBounds, share: f64, now: Millis) {
        let bucket = self.bucket(bounds.window_ms, now);
        match origin {
            RequestOrigin::Caller => bucket.from_callers += 1,
            RequestOrigin::RunningRequest => bucket.from_running_requests += 1,
        }
        self.refill(bounds, share, now);
        let earned = bounds.ratio * EARNED_FRACTION;
        match origin {
            RequestOrigin::Caller => self.from_callers += earned,
            RequestOrigin::RunningRequest => self.from_running_requests += earned,
        }
        self.hedges += earned * HEDGE_FRACTION;
    }

    /// Deducts a retry.
    pub fn spend(&mut self, origin: RequestOrigin) {
        match origin {
            RequestOrigin::Caller => self.from_callers -= 1.0,
            RequestOrigin::RunningRequest => self.from_running_requests -= 1.0,
        }
    }

    /// Returns a retry that was deducted.
    pub fn refund(&mut self, origin: RequestOrigin) {
        match origin {
            RequestOrigin::Caller => self.from_callers += 1.0,
            RequestOrigin::RunningRequest => self.from_running_requests += 1.0,
        }
    }

    /// Deducts a hedge from the hedge balance; the retry it counts as is deducted separately.
    pub fn spend_on_hedge(&mut self) {
        self.hedges -= 1.0;
    }

    /// Number of hedges that may be sent.
    pub fn hedge_balance(&self) -> f64 {
        self.hedges
    }

    /// Number of retries that may be sent. Calls made by running requests may use the whole
    /// balance; callers may use all but the unused part that those calls earned.
    pub fn balance(&self, origin: RequestOrigin) -> f64 {
        match origin {
            RequestOrigin::Caller => self.from_callers + self.from_running_requests.min(0.0),
            RequestOrigin::RunningRequest => self.from_callers + self.from_running_requests,
        }
    }
}
