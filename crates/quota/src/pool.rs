//! One tenant's credit at one coordinator.

use crate::limit::{Limit, WINDOW_MS};
use crate::window::Window;
use crate::{Millis, LEASE_MS};
use mesh::{CreditAsk, CreditGrant, NodeAddress};
use std::collections::BTreeMap;

/// Time after a call found no credit during which the pool has none to spare for other
/// coordinators, milliseconds.
const SCARCITY_MS: Millis = 100;
/// Decay time of the count of calls that found no credit, from which retry times are computed,
/// milliseconds.
const UNMET_DECAY_MS: f64 = 1_000.0;
/// Maximum retry time, milliseconds.
const MAX_RETRY_MS: f64 = 2_000.0;
/// Minimum retry time, milliseconds.
const MIN_RETRY_MS: f64 = 5.0;
/// Credit is prefetched only while the pool is filled above this fraction of its depth.
const PREFETCH_MIN_LEVEL: f64 = 0.5;
/// In addition to waiting calls, credit is pulled for the calls expected in this time,
/// milliseconds: two pull intervals.
const PULL_LOOKAHEAD_MS: f64 = 20.0;
/// Tolerance for rounding errors in sums of thousandths.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Credit held by a sidecar.
#[derive(Clone, Copy, Debug)]
struct HeldCredit {
    amount: f64,
    until: Millis,
}

/// Content of a pool that is created on its first request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InitialFill {
    /// Share of the bucket that is full.
    pub full_share: f64,
    /// Time for which the remaining share has been refilled, milliseconds.
    pub refilled_for_ms: Millis,
}

/// A share of a token bucket, which refills over time and grants whole requests.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    limit: Limit,
    share: f64,
    level: f64,
    advanced_at: Millis,
    held: BTreeMap<NodeAddress, HeldCredit>,
    /// Credit granted in the last window.
    window: Window,
    /// Decayed count of calls that found no credit.
    unmet: f64,
    unmet_at: Millis,
    /// When a call last found no credit.
    last_shortage: Option<Millis>,
    pub last_request: Millis,
    pub pulled_at: Millis,
    pub granted: u64,
    pub refused: u64,
}

impl Pool {
    /// Creates a pool with the credit that has certainly been refilled.
    pub fn new(limit: Limit, share: f64, fill: InitialFill, now: Millis) -> Self {
        let refilled = limit.refill_per_s() * share * fill.refilled_for_ms as f64 / 1_000.0;
        let level = limit.depth() * fill.full_share + refilled;
        let mut window = Window::default();
        if fill.refilled_for_ms < WINDOW_MS {
            window.add((share - fill.full_share).max(0.0) * limit.extra_depth(), now);
        }
        Pool {
            limit,
            share,
            level: level.min(limit.depth() * share),
            advanced_at: now,
            held: BTreeMap::new(),
            window,
            unmet: 0.0,
            unmet_at: now,
            last_shortage: None,
            last_request: now,
            pulled_at: 0,
            granted: 0,
            refused: 0,
        }
    }

    /// Depth of the pool, requests; at least one whole request, even if the share of the bucket is
    /// smaller.
    fn depth(&self) -> f64 {
        (self.limit.depth() * self.share).max(1.0)
    }

    fn refill_per_s(&self) -> f64 {
        self.limit.refill_per_s() * self.share
    }

    /// Depth not taken up by the credit here and at sidecars.
    fn free_capacity(&self) -> f64 {
        let held: f64 = self.held.values().map(|held| held.amount).sum();
        (self.depth() - held - self.level).max(0.0)
    }

    /// Refills the pool up to `now`, and applies the limit and the share from then on.
    pub fn advance(&mut self, limit: Limit, share: f64, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.advanced_at) as f64;
        let refilled = self.refill_per_s() * elapsed_ms / 1_000.0;
        self.held.retain(|_, held| now < held.until);
        self.level += refilled.min(self.free_capacity());
        self.advanced_at = now;
        self.window.expire(now);
        if (self.limit, self.share) != (limit, share) {
            // The credit of an added share may already have been spent at its previous pool.
            self.window.add((share - self.share).max(0.0) * limit.extra_depth(), now);
            // Grants under the previous limit were allowed: they take up the same fraction of a
            // lower limit.
            self.window.scale((limit.max_in_window() / self.limit.max_in_window()).min(1.0));
            (self.limit, self.share) = (limit, share);
            let held: f64 = self.held.values().map(|held| held.amount).sum();
            self.level = self.level.min((self.depth() - held).max(0.0));
        }
        let decay = now.saturating_sub(self.unmet_at) as f64 / UNMET_DECAY_MS;
        self.unmet *= (-decay).exp();
        self.unmet_at = now;
    }

    /// Requests that may be granted now.
    pub fn available(&self) -> f64 {
        let in_window = (self.limit.max_in_window() * self.share).max(1.0) - self.window.sum();
        self.level.min(in_window)
    }

    /// Answers a sidecar; requires a preceding call of [`Self::advance`].
    pub fn answer(&mut self, node: NodeAddress, ask: CreditAsk, now: Millis) -> CreditGrant {
        self.last_request = now;
        self.debit(f64::from(ask.debt), now);
        let spare = (self.available() + ROUNDING_TOLERANCE).floor().clamp(0.0, f64::from(u16::MAX));
        let granted = ask.need.min(spare as u16);
        self.debit(f64::from(granted), now);
        let prefetch = self.prefetch(ask.prefetch);
        // Prefetched credit may be spent as late as the end of its lease.
        self.debit(f64::from(prefetch), now + LEASE_MS);
        let amount = f64::from(ask.held) + f64::from(prefetch);
        self.held.remove(&node);
        if amount > 0.0 {
            self.held.insert(node, HeldCredit { amount, until: now + LEASE_MS });
        }
        let missing = f64::from(ask.need - granted);
        if missing > 0.0 {
            self.last_shortage = Some(now);
        }
        self.granted += u64::from(granted) + u64::from(prefetch);
        self.refused += u64::from(ask.need - granted) + u64::from(ask.refused);
        self.unmet += missing + f64::from(ask.refused);
        let retry_ms = self.retry_ms(now);
        CreditGrant { tenant: ask.tenant, granted, prefetch, retry_ms, pulling: false }
    }

    fn debit(&mut self, amount: f64, at: Millis) {
        self.level -= amount;
        self.window.add(amount, at);
    }

    /// Credits to grant in advance, such that the next calls of other sidecars still find some.
    fn prefetch(&self, wanted: u16) -> u16 {
        let spare = (self.available() - self.depth() * PREFETCH_MIN_LEVEL) / 2.0;
        wanted.min(spare.clamp(0.0, f64::from(u16::MAX)) as u16)
    }

    /// Time after which a retried call is likely to find a credit.
    fn retry_ms(&self, now: Millis) -> u16 {
        let wanted = self.unmet.max(1.0);
        let refilled_ms =
            (wanted - self.level) * 1_000.0 / self.refill_per_s().max(ROUNDING_TOLERANCE);
        let missing =
            wanted - ((self.limit.max_in_window() * self.share).max(1.0) - self.window.sum());
        let freed_ms = self.window.frees_in_ms(missing, now) as f64;
        refilled_ms.max(freed_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u16
    }

    /// Credit missing for waiting calls and for the calls expected next, requests.
    pub fn missing(&self, waiting: u16) -> f64 {
        let expected =
            (self.unmet - f64::from(waiting)).max(0.0) * PULL_LOOKAHEAD_MS / UNMET_DECAY_MS;
        (f64::from(waiting) + expected - self.available()).max(0.0)
    }

    /// Removes and returns credit for another coordinator; none if a call here found no credit
    /// recently.
    pub fn give(&mut self, wanted: f64, now: Millis) -> f64 {
        let scarce = self.last_shortage.is_some_and(|at| now < at + SCARCITY_MS);
        let given = if scarce { 0.0 } else { wanted.min(self.available()).max(0.0) };
        self.debit(given, now);
        given
    }

    /// Adds credit that another coordinator removed from its pool. It was requested for waiting
    /// calls, so it may exceed the depth of this pool.
    pub fn receive(&mut self, amount: f64, now: Millis) {
        self.window.add(-amount, now);
        self.level = (self.level + amount).min(self.depth().max(self.limit.depth()));
    }

    /// Whether the pool can be removed and recreated on the next request without losing credit.
    pub fn is_idle(&self, now: Millis) -> bool {
        now > self.last_request + 2 * LEASE_MS
            && self.free_capacity() <= ROUNDING_TOLERANCE
            && self.held.is_empty()
    }

    pub fn level(&self) -> f64 {
        self.level
    }
}
