//! The sidecar's side: decides whether a tenant's call may proceed, before it costs a hop.
//!
//! Most tenants send a few requests per second, spread over all nodes, so a node cannot hold credit
//! in advance for each. A call that finds no credit waits for one answer of a coordinator, some
//! milliseconds; for tenants that send many requests, credit is prefetched.

use crate::limit::Limit;
use crate::{Millis, LEASE_MS, LOAN_MS};
use mesh::{CreditAnswer, CreditAsk, CreditGrant, CreditRequest, TenantId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum wait of a call for a credit while answers are fast, milliseconds: a round trip to a
/// coordinator takes some, a pull from another zone some more. After it, calls with a short target
/// still have most of that left.
pub const WAIT_MS: Millis = 120;
/// Maximum wait while answers are slow, milliseconds. On a full link of 16 Mbit/s they took 0.1 to
/// 0.4 s; whatever else a call waits for on such a link is as slow.
pub const MAX_WAIT_MS: Millis = 400;
/// Minimum time after which an unanswered request is repeated, to another coordinator if there is
/// one, milliseconds: several times a typical answer time, and short enough to repeat a request
/// twice within a call's wait.
const MIN_ANSWER_TIMEOUT_MS: Millis = 45;
/// Answer timeouts and waits, within their bounds, are this many times the mean answer time.
const ANSWER_TIMEOUT_FACTOR: f64 = 2.0;
/// Weight of one answer in the moving average of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.2;
/// Minimum interval between two requests, milliseconds: calls that arrive together share a request.
const MIN_REQUEST_INTERVAL_MS: Millis = 5;
/// Mean answer time above which credit is prefetched at lower rates, because a call without credit
/// waits longer, milliseconds.
const SLOW_ANSWER_MS: f64 = 30.0;
/// Minimum rate of calls for which credit is then prefetched, per second.
const SLOW_PREFETCH_MIN_PER_S: f64 = 1.0;
/// Maximum interval between two requests while any tenant has a limit, milliseconds: several
/// requests fit in the time for which this sidecar's share stays lent.
pub const REQUEST_INTERVAL_MS: Millis = 400;
/// Minimum interval between two prefetches for a tenant, milliseconds; those of several tenants are
/// sent together.
const PREFETCH_INTERVAL_MS: Millis = 150;
/// Credit is prefetched for the calls expected in this time, milliseconds: two prefetch intervals
/// and an answer.
const PREFETCH_MS: f64 = 350.0;
/// Minimum rate of calls at this sidecar for which credit is prefetched, per second: below, most of
/// it would expire unspent.
const PREFETCH_MIN_PER_S: f64 = 4.0;
/// Decay time of the measured rate of a tenant's calls, milliseconds: demand may rise tenfold within
/// some tenths of a second.
const RATE_DECAY_MS: f64 = 500.0;
/// Maximum number of calls of one tenant that wait here for credit.
const MAX_WAITING_PER_TENANT: usize = 64;
/// Maximum number of calls of all tenants that wait here for credit.
const MAX_WAITING: usize = 512;
/// Retry time for callers if no coordinator answers, milliseconds: links are reconnected within it.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Maximum retry time for callers, milliseconds.
const MAX_RETRY_MS: Millis = 2_000;
/// Time for which a reported shortage refuses calls without another request, milliseconds: a tenant
/// above its limit costs ten requests per second, and its credit accumulates in the pool in between.
const SHORTAGE_MS: Millis = 100;
/// Interval at which all tenants are checked for credit to prefetch, milliseconds.
const SCAN_INTERVAL_MS: Millis = 50;
/// A tenant without calls for this long is removed, milliseconds.
const IDLE_TENANT_MS: Millis = 10_000;

/// How the wait of a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The call may proceed.
    Admitted,
    /// The call may not proceed.
    Refused(Refusal),
}

/// Why a call may not proceed, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time after which a credit is likely available, milliseconds.
    pub retry_after_ms: Millis,
    /// Age of the coordinator's report that there is no credit, milliseconds; `None` if no
    /// coordinator answered.
    pub told_ms_ago: Option<Millis>,
}

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls admitted at once with a credit held here.
    pub admitted: u64,
    /// Calls admitted after a wait.
    pub waited: u64,
    /// Calls refused because credit was reported missing, or because too many calls were waiting.
    pub refused: u64,
    /// Calls refused because no coordinator answered in time.
    pub unanswered: u64,
    /// Calls admitted or refused by this sidecar's own share, while no coordinator was reachable.
    pub alone: u64,
}

/// A call that waits for credit.
#[derive(Debug)]
struct WaitingCall<T> {
    item: T,
    until: Millis,
}

/// Credit that was requested, without an answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    asked_at: Millis,
    need: u16,
    prefetch: u16,
}

/// A coordinator's report that there is no credit.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When credit is expected.
    retry_at: Millis,
    reported_at: Millis,
}

/// This node's own share of a bucket, used while no coordinator is reachable.
#[derive(Clone, Copy, Debug)]
struct OwnBucket {
    level: f64,
    updated_at: Millis,
}

#[derive(Debug)]
struct Account<T> {
    limit: Limit,
    /// Unspent credits.
    held: u32,
    held_until: Millis,
    /// Requests sent to upstreams without a credit and not reported yet.
    debt: u32,
    waiting: VecDeque<WaitingCall<T>>,
    pending: VecDeque<PendingAsk>,
    /// Decayed count of calls.
    recent_calls: f64,
    recent_calls_at: Millis,
    /// Calls refused because of a reported shortage since the last request.
    refused: u32,
    shortage: Option<Shortage>,
    /// When credit for waiting calls may be requested again.
    next_ask_at: Millis,
    /// When credit was last requested.
    last_ask_at: Millis,
    own_bucket: Option<OwnBucket>,
}

impl<T> Account<T> {
    fn new(limit: Limit, now: Millis) -> Self {
        Account {
            limit,
            held: 0,
            held_until: 0,
            debt: 0,
            waiting: VecDeque::new(),
            pending: VecDeque::new(),
            recent_calls: 0.0,
            recent_calls_at: now,
            refused: 0,
            shortage: None,
            next_ask_at: 0,
            last_ask_at: 0,
            own_bucket: None,
        }
    }

    fn set_limit(&mut self, limit: Limit) {
        if limit == self.limit {
            return;
        }
        if limit.is_below(&self.limit) {
            self.held = 0;
        }
        (self.limit, self.shortage) = (limit, None);
    }

    fn record_call(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.recent_calls_at) as f64;
        self.recent_calls = self.recent_calls * (-elapsed / RATE_DECAY_MS).exp() + 1.0;
        self.recent_calls_at = now;
    }

    fn calls_per_s(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.recent_calls_at) as f64;
        self.recent_calls * (-elapsed / RATE_DECAY_MS).exp() * 1_000.0 / RATE_DECAY_MS
    }

    /// Spends a held credit, if there is one.
    fn spend(&mut self, now: Millis) -> bool {
        if now >= self.held_until {
            self.held = 0;
        }
        let any = self.held > 0;
        self.held -= u32::from(any);
        any
    }

    /// Credits to prefetch in addition to those held and requested.
    fn prefetch(&self, answer_ms: f64, now: Millis) -> u32 {
        let rate = self.calls_per_s(now);
        let min_rate =
            if answer_ms > SLOW_ANSWER_MS { SLOW_PREFETCH_MIN_PER_S } else { PREFETCH_MIN_PER_S };
        if rate < min_rate {
            return 0;
        }
        let wanted = (rate * (PREFETCH_MS + answer_ms) / 1_000.0).ceil() as u32;
        wanted.saturating_sub(self.held + self.pending_prefetch())
    }

    fn pending_prefetch(&self) -> u32 {
        self.pending.iter().map(|ask| u32::from(ask.prefetch)).sum()
    }

    /// Number of waiting calls for which no credit was requested, or none granted in time.
    fn unrequested(&self, timeout_ms: Millis, now: Millis) -> u32 {
        let in_time = |ask: &&PendingAsk| now < ask.asked_at + timeout_ms;
        let requested: u32 =
            self.pending.iter().filter(in_time).map(|ask| u32::from(ask.need)).sum();
        (self.waiting.len() as u32).saturating_sub(requested)
    }
}

/// The accounts of all tenants at one sidecar, with the waiting calls `T`.
#[derive(Debug)]
pub struct Gate<T> {
    accounts: BTreeMap<TenantId, Account<T>>,
    /// Tenants with waiting calls.
    tenants_waiting: BTreeSet<TenantId>,
    /// Number of waiting calls of all tenants.
    waiting: usize,
    /// When all accounts, not only those with waiting calls, were last checked.
    scanned_at: Option<Millis>,
    random: fastrand::Rng,
    /// Number of sidecars among which quotas are divided; 0 while unknown.
    nodes: u32,
    /// When the oldest unanswered request was sent.
    unanswered_since: Option<Millis>,
    /// Moving average of answer times, milliseconds.
    mean_answer_ms: f64,
    last_request: Option<Millis>,
    /// The coordinator that this sidecar's share was last lent to.
    lent_to: Option<u64>,
    /// Until when that coordinator may count the share.
    lent_until: Millis,
    /// Whether a coordinator is connected.
    linked: bool,
    /// Whether any tenant has a limit.
    any_limit: bool,
    /// Totals since the process started.
    pub counts: GateCounts,
}

impl<T> Gate<T> {
    /// Creates a gate without credit. `seed` is for random decisions.
    pub fn new(seed: u64) -> Self {
        Gate {
            accounts: BTreeMap::new(),
            tenants_waiting: BTreeSet::new(),
            waiting: 0,
            scanned_at: None,
            random: fastrand::Rng::with_seed(seed),
            nodes: 0,
            unanswered_since: None,
            mean_answer_ms: 0.0,
            last_request: None,
            lent_to: None,
            lent_until: 0,
            linked: false,
            any_limit: false,
            counts: GateCounts::default(),
        }
    }

    /// Decides whether a call of a tenant may proceed. Returns the call with the outcome, or keeps it
    /// until [`Self::settle`] returns it.
    pub fn admit(
        &mut self,
        tenant: TenantId,
        limit: Limit,
        item: T,
        now: Millis,
    ) -> Option<(T, Outcome)> {
        if !limit.is_bounded() {
            if let Some(account) = self.accounts.get_mut(&tenant) {
                account.set_limit(limit);
            }
            return Some((item, Outcome::Admitted));
        }
        let (is_standalone, wait_ms) = (self.is_standalone(now), self.wait_ms());
        let account = self.accounts.entry(tenant).or_insert_with(|| Account::new(limit, now));
        account.set_limit(limit);
        account.record_call(now);
        if account.waiting.is_empty() && account.spend(now) {
            self.counts.admitted += 1;
            return Some((item, Outcome::Admitted));
        }
        if is_standalone {
            self.counts.alone += 1;
            let standalone = Standalone { nodes: self.nodes, since: self.lent_until };
            let outcome = standalone_outcome(account, standalone, &mut self.random, now);
            return Some((item, outcome));
        }
        let fresh = |shortage: &Shortage| now < shortage.reported_at + SHORTAGE_MS;
        let until = now + wait_ms;
        let shortage = account.shortage.filter(fresh).filter(|shortage| until < shortage.retry_at);
        let full = account.waiting.len() >= MAX_WAITING_PER_TENANT || self.waiting >= MAX_WAITING;
        if shortage.is_some() || full {
            self.counts.refused += 1;
            account.refused += 1;
            return Some((item, Outcome::Refused(refusal(account.shortage, now))));
        }
        account.waiting.push_back(WaitingCall { item, until });
        self.waiting += 1;
        self.tenants_waiting.insert(tenant);
        None
    }

    /// Charges a request that was sent to an upstream without a credit of its own, such as a retry.
    pub fn charge(&mut self, tenant: TenantId, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            if !account.spend(now) {
                account.debt += 1;
            }
        }
    }

    /// Returns the credit of a call that reached no upstream. Another call may use it until it
    /// expires.
    pub fn refund(&mut self, tenant: TenantId, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.held += u32::from(now < account.held_until);
        }
    }

    /// Drops the waiting calls that are not `wanted` any more.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        if self.waiting == 0 {
            return;
        }
        for account in self.accounts.values_mut() {
            account.waiting.retain(|waiting| wanted(&waiting.item));
        }
        self.waiting = self.accounts.values().map(|account| account.waiting.len()).sum();
    }

    /// Removes and returns all waiting calls, because the process is stopping.
    pub fn take_waiting(&mut self) -> Vec<T> {
        let accounts = self.accounts.values_mut();
        let waiting = accounts.flat_map(|account| account.waiting.drain(..));
        self.waiting = 0;
        waiting.map(|waiting| waiting.item).collect()
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Sets whether any tenant has a limit; without one, no requests are sent to coordinators.
    pub fn set_any_limit(&mut self, any_limit: bool) {
        self.any_limit = any_limit;
    }

    /// Sets whether a coordinator is connected.
    pub fn set_linked(&mut self, linked: bool) {
        self.linked = linked;
    }

    /// Whether this sidecar uses its own share, because no coordinator is connected and none may
    /// count the share any more.
    pub fn is_standalone(&self, now: Millis) -> bool {
        !self.linked && now >= self.lent_until
    }

    /// Whether a request was not answered in time, so that another coordinator should be asked.
    pub fn is_unanswered(&self, now: Millis) -> bool {
        self.unanswered_since.is_some_and(|at| now >= at + self.answer_timeout_ms())
    }

    /// Time after which a request is repeated.
    fn answer_timeout_ms(&self) -> Millis {
        let timeout_ms = (self.mean_answer_ms * ANSWER_TIMEOUT_FACTOR) as Millis;
        timeout_ms.clamp(MIN_ANSWER_TIMEOUT_MS, MAX_WAIT_MS)
    }

    fn wait_ms(&self) -> Millis {
        let wait_ms = (self.mean_answer_ms * ANSWER_TIMEOUT_FACTOR) as Millis;
        wait_ms.clamp(WAIT_MS, MAX_WAIT_MS)
    }

    /// Discards the pending requests, because the link that they were sent on ended.
    pub fn link_lost(&mut self) {
        self.unanswered_since = None;
        for account in self.accounts.values_mut() {
            account.pending.clear();
        }
    }

    /// Returns the request to send to coordinator `to` now, if any. It lends this sidecar's share to
    /// that coordinator, unless another one may still count the share.
    pub fn request(&mut self, to: u64, now: Millis) -> Option<CreditRequest> {
        if !self.linked || !self.any_limit {
            return None;
        }
        if self.last_request.is_some_and(|at| now < at + MIN_REQUEST_INTERVAL_MS) {
            return None;
        }
        let times =
            AnswerTimes { mean_ms: self.mean_answer_ms, timeout_ms: self.answer_timeout_ms() };
        let mut asks = Vec::new();
        if self.scanned_at.is_none_or(|at| now >= at + SCAN_INTERVAL_MS) {
            self.scanned_at = Some(now);
            for (tenant, account) in &mut self.accounts {
                asks.extend(next_ask(*tenant, account, times, now));
            }
        } else {
            for tenant in &self.tenants_waiting {
                let account = self.accounts.get_mut(tenant);
                asks.extend(account.and_then(|account| next_ask(*tenant, account, times, now)));
            }
        }
        let interval_running = self.last_request.is_some_and(|at| now < at + REQUEST_INTERVAL_MS);
        if asks.is_empty() && interval_running {
            return None;
        }
        self.unanswered_since.get_or_insert(now);
        self.last_request = Some(now);
        let lends = self.lent_to == Some(to) || now >= self.lent_until;
        if lends {
            self.lent_to = Some(to);
            self.lent_until = now + LOAN_MS;
        }
        Some(CreditRequest { asked_at: now, lends, asks })
    }

    /// Applies an answer of a coordinator.
    pub fn handle_answer(&mut self, answer: CreditAnswer, now: Millis) {
        let CreditAnswer { asked_at, nodes, grants } = answer;
        let elapsed_ms = now.saturating_sub(asked_at) as f64;
        self.mean_answer_ms += (elapsed_ms - self.mean_answer_ms) * ANSWER_TIME_WEIGHT;
        // The answers to earlier requests are lost or late.
        let newer = self.last_request.filter(|at| *at > asked_at);
        if self.unanswered_since.is_some_and(|since| since <= asked_at) {
            self.unanswered_since = newer;
        }
        if nodes > 0 {
            self.nodes = nodes;
        }
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.tenant) {
                apply_grant(account, grant, asked_at, now);
            }
        }
    }

    /// Removes and returns the calls whose wait is over, with their outcomes.
    pub fn settle(&mut self, now: Millis) -> Vec<(T, Outcome)> {
        let is_standalone = self.is_standalone(now);
        let standalone = Standalone { nodes: self.nodes, since: self.lent_until };
        let Gate { accounts, tenants_waiting, waiting, random, counts, .. } = self;
        let mut settled = Vec::new();
        tenants_waiting.retain(|tenant| {
            let Some(account) = accounts.get_mut(tenant) else {
                return false;
            };
            while let Some(first) = account.waiting.front() {
                let until = first.until;
                let shortage = account.shortage.filter(|shortage| until < shortage.retry_at);
                let outcome = if !account.limit.is_bounded() {
                    Outcome::Admitted
                } else if account.spend(now) {
                    counts.waited += 1;
                    Outcome::Admitted
                } else if is_standalone {
                    counts.alone += 1;
                    standalone_outcome(account, standalone, random, now)
                } else if shortage.is_some() {
                    counts.refused += 1;
                    Outcome::Refused(refusal(account.shortage, now))
                } else if now >= until {
                    counts.unanswered += 1;
                    Outcome::Refused(refusal(account.shortage, now))
                } else {
                    break;
                };
                let Some(WaitingCall { item, .. }) = account.waiting.pop_front() else {
                    break;
                };
                settled.push((item, outcome));
                *waiting -= 1;
            }
            !account.waiting.is_empty()
        });
        settled
    }

    /// Removes tenants that have had no calls recently.
    pub fn expire(&mut self, now: Millis) {
        self.accounts.retain(|_, account| {
            let in_use = !account.waiting.is_empty() || account.debt > 0;
            in_use || now < account.recent_calls_at + IDLE_TENANT_MS
        });
    }

    /// Next time at which [`Self::settle`] or [`Self::request`] has to be called without an event.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let timeout_ms = self.answer_timeout_ms();
        let may_request = self.linked && self.any_limit;
        let next_request_at = self.last_request.map_or(0, |at| at + MIN_REQUEST_INTERVAL_MS);
        let waiting = self.tenants_waiting.iter().filter_map(|tenant| self.accounts.get(tenant));
        let due = waiting.filter_map(|account| {
            let first = account.waiting.front()?;
            let ask_at = match account.unrequested(timeout_ms, now) {
                0 => account.pending.back().map_or(0, |ask| ask.asked_at + timeout_ms),
                _ => account.next_ask_at,
            };
            let ask_at = may_request.then_some(ask_at.max(next_request_at));
            Some(ask_at.map_or(first.until, |at| at.min(first.until)))
        });
        due.min()
    }
}

/// Measured answer time, and the timeout derived from it.
#[derive(Clone, Copy)]
struct AnswerTimes {
    mean_ms: f64,
    timeout_ms: Millis,
}

fn next_ask<T>(
    tenant: TenantId,
    account: &mut Account<T>,
    times: AnswerTimes,
    now: Millis,
) -> Option<CreditAsk> {
    while account.pending.front().is_some_and(|ask| now >= ask.asked_at + LEASE_MS) {
        account.pending.pop_front();
    }
    if now >= account.held_until {
        account.held = 0;
    }
    let may_ask = now >= account.next_ask_at;
    let need = if may_ask { account.unrequested(times.timeout_ms, now) } else { 0 };
    let prefetch_due = now >= account.last_ask_at + PREFETCH_INTERVAL_MS;
    let prefetch = if need > 0 || prefetch_due { account.prefetch(times.mean_ms, now) } else { 0 };
    let send = need > 0 || prefetch_due && (prefetch > 0 || account.debt > 0);
    if !send {
        return None;
    }
    account.last_ask_at = now;
    let saturated = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    let held = saturated(account.held + account.pending_prefetch());
    let debt = saturated(std::mem::take(&mut account.debt));
    let refused = saturated(std::mem::take(&mut account.refused));
    let (need, prefetch) = (saturated(need), saturated(prefetch));
    account.pending.push_back(PendingAsk { asked_at: now, need, prefetch });
    Some(CreditAsk { tenant, need, prefetch, held, debt, refused })
}

fn apply_grant<T>(account: &mut Account<T>, grant: CreditGrant, asked_at: Millis, now: Millis) {
    let CreditGrant { granted, prefetch, retry_ms, pulling, .. } = grant;
    let newest = account.pending.back().is_none_or(|ask| ask.asked_at <= asked_at);
    account.pending.retain(|ask| ask.asked_at != asked_at);
    if now < asked_at + LEASE_MS {
        account.held += u32::from(granted) + u32::from(prefetch);
        account.held_until = account.held_until.max(asked_at + LEASE_MS);
    }
    if !newest {
        return;
    }
    let retry_at = now + Millis::from(retry_ms);
    account.next_ask_at = retry_at;
    let credit_missing = account.waiting.len() > account.held as usize;
    account.shortage =
        (credit_missing && !pulling).then_some(Shortage { retry_at, reported_at: now });
    if !credit_missing {
        account.next_ask_at = now;
    }
}

/// Since when this node has used its own share, and among how many nodes quotas are divided.
#[derive(Clone, Copy)]
struct Standalone {
    nodes: u32,
    since: Millis,
}

/// Decides by this node's own share of the bucket. The share of a small tenant's bucket is less than
/// one request; calls are then admitted at random, so that all nodes together admit what the whole
/// bucket allows.
fn standalone_outcome<T>(
    account: &mut Account<T>,
    standalone: Standalone,
    random: &mut fastrand::Rng,
    now: Millis,
) -> Outcome {
    let Standalone { nodes, since } = standalone;
    let share = if nodes == 0 { 0.0 } else { 1.0 / f64::from(nodes) };
    let refill = account.limit.refill_per_s() * share;
    let depth = account.limit.burst as f64 * share;
    let initial = OwnBucket { level: 0.0, updated_at: since };
    let mut bucket =
        account.own_bucket.filter(|bucket| bucket.updated_at >= since).unwrap_or(initial);
    let elapsed = now.saturating_sub(bucket.updated_at) as f64 / 1_000.0;
    bucket.level = (bucket.level + elapsed * refill).min(depth.max(refill));
    bucket.updated_at = now;
    let probability = bucket.level.min(1.0);
    bucket.level -= probability;
    account.own_bucket = Some(bucket);
    if random.f64() < probability {
        return Outcome::Admitted;
    }
    let wait_ms = 1_000.0 / refill.max(1e-6);
    let retry_after_ms = (wait_ms as Millis).min(MAX_RETRY_MS);
    Outcome::Refused(Refusal { retry_after_ms, told_ms_ago: None })
}

fn refusal(shortage: Option<Shortage>, now: Millis) -> Refusal {
    let Some(Shortage { retry_at, reported_at }) = shortage else {
        return Refusal { retry_after_ms: UNANSWERED_RETRY_MS, told_ms_ago: None };
    };
    let retry_after_ms = retry_at.saturating_sub(now).clamp(1, MAX_RETRY_MS);
    Refusal { retry_after_ms, told_ms_ago: Some(now.saturating_sub(reported_at)) }
}
