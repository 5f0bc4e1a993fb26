//! One tenant's credit with one coordinator.

use crate::limit::{Limit, WINDOW_MS};
use crate::window::Window;
use crate::{Millis, LEASE_MS};
use mesh::{CreditAsk, CreditGrant, NodeAddress};
use std::collections::BTreeMap;

/// Time in which calls that found no credit show that there is none to spare, milliseconds.
const SCARCE_MS: Millis = 100;
/// Time over which calls that found no credit are counted for the time to come back, milliseconds.
const UNMET_MS: f64 = 1_000.0;
/// Longest time to come back, milliseconds.
const LONGEST_RETRY_MS: f64 = 2_000.0;
const SHORTEST_RETRY_MS: f64 = 5.0;
/// Credit is given ahead only while the pool holds more than this part of its depth.
const AHEAD_ABOVE: f64 = 0.5;
/// Credit is pulled for calls of this time beside those that wait, milliseconds: two pulls.
const PULL_AHEAD_MS: f64 = 20.0;
/// Rounding of sums of thousandths.
const TINY: f64 = 1e-6;

/// Credit that a sidecar holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    amount: f64,
    until: Millis,
}

/// What a pool holds that is made when it is first asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filled {
    /// Part of the bucket that is full.
    pub part: f64,
    /// Time for which the rest came in, milliseconds.
    pub for_ms: Millis,
}

/// A part of a token bucket, refilled over time and given out in whole requests.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    limit: Limit,
    part: f64,
    level: f64,
    at: Millis,
    held: BTreeMap<NodeAddress, Held>,
    /// What was given out of late.
    window: Window,
    /// Calls that found no credit, decaying.
    unmet: f64,
    unmet_at: Millis,
    /// When a call last found none.
    lacked_at: Option<Millis>,
    pub last_asked: Millis,
    pub pulled_at: Millis,
    pub granted: u64,
    pub refused: u64,
}

impl Pool {
    /// A pool that is made now and holds what has come in, as far as that is sure.
    pub fn new(limit: Limit, part: f64, filled: Filled, now: Millis) -> Self {
        let refilled = limit.refill_per_s() * part * filled.for_ms as f64 / 1_000.0;
        let level = limit.depth() * filled.part + refilled;
        let mut window = Window::default();
        if filled.for_ms < WINDOW_MS {
            window.add((part - filled.part).max(0.0) * limit.extra_depth(), now);
        }
        Pool {
            limit,
            part,
            level: level.min(limit.depth() * part),
            at: now,
            held: BTreeMap::new(),
            window,
            unmet: 0.0,
            unmet_at: now,
            lacked_at: None,
            last_asked: now,
            pulled_at: 0,
            granted: 0,
            refused: 0,
        }
    }

    /// Requests that fit. A whole one does, also where a part of the bucket is less.
    fn depth(&self) -> f64 {
        (self.limit.depth() * self.part).max(1.0)
    }

    fn refill_per_s(&self) -> f64 {
        self.limit.refill_per_s() * self.part
    }

    /// Room for more, next to what is here and what sidecars hold.
    fn room(&self) -> f64 {
        let held: f64 = self.held.values().map(|held| held.amount).sum();
        (self.depth() - held - self.level).max(0.0)
    }

    /// Takes in what the time brought, with what limit and part are from now on.
    pub fn advance(&mut self, limit: Limit, part: f64, now: Millis) {
        let passed_ms = now.saturating_sub(self.at) as f64;
        let refilled = self.refill_per_s() * passed_ms / 1_000.0;
        self.held.retain(|_, held| now < held.until);
        self.level += refilled.min(self.room());
        self.at = now;
        self.window.expire(now);
        if (self.limit, self.part) != (limit, part) {
            // What came with more parts may have been spent where it was.
            self.window.add((part - self.part).max(0.0) * limit.extra_depth(), now);
            // What ran under the former limit was allowed: it takes as large a part of the new one.
            self.window.scale((limit.in_window() / self.limit.in_window()).min(1.0));
            (self.limit, self.part) = (limit, part);
            let held: f64 = self.held.values().map(|held| held.amount).sum();
            self.level = self.level.min((self.depth() - held).max(0.0));
        }
        let decay = now.saturating_sub(self.unmet_at) as f64 / UNMET_MS;
        self.unmet *= (-decay).exp();
        self.unmet_at = now;
    }

    /// Requests that may be given now.
    pub fn available(&self) -> f64 {
        let in_window = (self.limit.in_window() * self.part).max(1.0) - self.window.sum();
        self.level.min(in_window)
    }

    /// Answers a sidecar; call [`Self::advance`] first.
    pub fn answer(&mut self, node: NodeAddress, ask: CreditAsk, now: Millis) -> CreditGrant {
        self.last_asked = now;
        self.take(f64::from(ask.debt), now);
        let spare = (self.available() + TINY).floor().clamp(0.0, f64::from(u16::MAX));
        let granted = ask.need.min(spare as u16);
        self.take(f64::from(granted), now);
        let ahead = self.ahead(ask.ahead);
        // It may be spent as late as its lease ends.
        self.take(f64::from(ahead), now + LEASE_MS);
        let amount = f64::from(ask.kept) + f64::from(ahead);
        self.held.remove(&node);
        if amount > 0.0 {
            self.held.insert(node, Held { amount, until: now + LEASE_MS });
        }
        let lacking = f64::from(ask.need - granted);
        if lacking > 0.0 {
            self.lacked_at = Some(now);
        }
        self.granted += u64::from(granted) + u64::from(ahead);
        self.refused += u64::from(ask.need - granted) + u64::from(ask.refused);
        self.unmet += lacking + f64::from(ask.refused);
        let retry_ms = self.retry_ms(now);
        CreditGrant { tenant: ask.tenant, granted, ahead, retry_ms, pulling: false }
    }

    fn take(&mut self, amount: f64, at: Millis) {
        self.level -= amount;
        self.window.add(amount, at);
    }

    /// What is given ahead, so that the calls of others that come next still find something.
    fn ahead(&self, wanted: u16) -> u16 {
        let spare = (self.available() - self.depth() * AHEAD_ABOVE) / 2.0;
        wanted.min(spare.clamp(0.0, f64::from(u16::MAX)) as u16)
    }

    /// When a call that comes back is likely to find a credit.
    fn retry_ms(&self, now: Millis) -> u16 {
        let wanted = self.unmet.max(1.0);
        let refilled_ms = (wanted - self.level) * 1_000.0 / self.refill_per_s().max(TINY);
        let lacking = wanted - ((self.limit.in_window() * self.part).max(1.0) - self.window.sum());
        let freed_ms = self.window.frees_in_ms(lacking, now) as f64;
        refilled_ms.max(freed_ms).clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS) as u16
    }

    /// What is lacking for calls that wait and that are likely to come next, requests.
    pub fn lacks(&self, waiting: u16) -> f64 {
        let next = (self.unmet - f64::from(waiting)).max(0.0) * PULL_AHEAD_MS / UNMET_MS;
        (f64::from(waiting) + next - self.available()).max(0.0)
    }

    /// Takes out what another coordinator lacks; nothing where calls here found none a moment ago.
    pub fn give(&mut self, wanted: f64, now: Millis) -> f64 {
        let scarce = self.lacked_at.is_some_and(|at| now < at + SCARCE_MS);
        let given = if scarce { 0.0 } else { wanted.min(self.available()).max(0.0) };
        self.take(given, now);
        given
    }

    /// Puts in what another coordinator took out. It was asked for calls that wait, so it may be
    /// more than fits.
    pub fn receive(&mut self, gift: f64, now: Millis) {
        self.window.add(-gift, now);
        self.level = (self.level + gift).min(self.depth().max(self.limit.depth()));
    }

    /// Whether nothing would be lost if it was made anew when it is asked next.
    pub fn is_idle(&self, now: Millis) -> bool {
        now > self.last_asked + 2 * LEASE_MS && self.room() <= TINY && self.held.is_empty()
    }

    pub fn level(&self) -> f64 {
        self.level
    }
}
