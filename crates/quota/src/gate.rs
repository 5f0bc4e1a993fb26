//! The sidecar's side: whether a tenant's call may go on, before it costs a hop.
//!
//! Load answered: most of a fleet's tenants send some requests a second, spread over all nodes, so
//! that no node can hold credit ready for each. A call that finds none waits for one answer of a
//! coordinator, some milliseconds; tenants that send much have credit ahead of need.

use crate::limit::Limit;
use crate::{Millis, LEASE_MS, LOAN_MS};
use mesh::{CreditAnswer, CreditAsk, CreditGrant, CreditRequest, TenantId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Wait of a call for a credit, milliseconds: a way to a coordinator and back takes some, a pull from
/// another zone some more; calls with a short target have most of it left then.
pub const WAIT_MS: Millis = 120;
/// Longest wait where answers take long, milliseconds. On a full link of 16 Mbit/s they took 0.1 to
/// 0.4 s; what else a call waits for there is as slow.
pub const LONGEST_WAIT_MS: Millis = 400;
/// Time after which a request that was not answered is sent again, to another coordinator if there
/// is one, milliseconds: several usual answers, and twice within a call's wait.
const ANSWER_MS: Millis = 45;
/// An answer may take this many times as long as answers of late.
const ANSWER_FACTOR: f64 = 2.0;
/// Weight of one answer in the usual time of answers.
const ANSWER_WEIGHT: f64 = 0.2;
/// Least time between two requests, milliseconds: a clump of calls asks once.
const COLLECT_MS: Millis = 5;
/// Answers that take longer than this make credit ahead worth more, milliseconds.
const SLOW_ANSWER_MS: f64 = 30.0;
/// Least rate of calls then for which credit is held ahead, a second.
const SLOW_AHEAD_PER_S: f64 = 1.0;
/// Longest time between two requests while any tenant has a limit, milliseconds: several in the time
/// that this sidecar's part stays lent.
pub const REQUEST_INTERVAL_MS: Millis = 400;
/// Time between two requests for credit ahead of need, milliseconds: they are sent together.
const AHEAD_INTERVAL_MS: Millis = 150;
/// Credit is held ahead for calls of this time, milliseconds: two requests and an answer.
const AHEAD_MS: f64 = 350.0;
/// Least rate of calls here for which credit is held ahead, a second: below, most of it would not
/// be spent while it lives.
const AHEAD_PER_S: f64 = 4.0;
/// Time over which a tenant's rate of calls is measured, milliseconds: demand may rise tenfold within
/// some tenths of a second.
const RATE_MS: f64 = 500.0;
/// Most calls that wait here for credits of one tenant, and of all.
const MOST_WAITING: usize = 64;
const MOST_WAITING_IN_ALL: usize = 512;
/// Retry time told when no coordinator answers, milliseconds: links are opened anew within this.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Longest retry time told, milliseconds.
const LONGEST_RETRY_MS: Millis = 2_000;
/// Time for which the word that there is no credit refuses calls without another request,
/// milliseconds: a tenant above its limit costs ten requests a second, and what comes in for it
/// meanwhile stays in the pool.
const EMPTY_MS: Millis = 100;
/// Time between two looks at all tenants for what is wanted ahead, milliseconds.
const LOOK_MS: Millis = 50;
/// A tenant that sent nothing for this long is forgotten, milliseconds.
const IDLE_MS: Millis = 10_000;

/// What became of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It may go on.
    Admitted,
    /// It may not.
    Refused(Refusal),
}

/// Why a call may not go on, and when one like it may.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// When a credit is likely there, milliseconds.
    pub retry_after_ms: Millis,
    /// Age of the word that there is none, milliseconds; `None` if no coordinator answered.
    pub told_ms_ago: Option<Millis>,
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls let on with a credit that was held.
    pub admitted: u64,
    /// Calls let on after a wait.
    pub waited: u64,
    /// Calls above their quota.
    pub refused: u64,
    /// Calls refused because no coordinator answered.
    pub unanswered: u64,
    /// Calls let on or refused by this sidecar's own part, while it hears no coordinator.
    pub alone: u64,
}

/// One call that waits.
#[derive(Debug)]
struct Waiting<T> {
    item: T,
    until: Millis,
}

/// What was asked for and not answered yet.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    asked_at: Millis,
    need: u16,
    ahead: u16,
}

/// A coordinator's word that there is no credit.
#[derive(Clone, Copy, Debug)]
struct Empty {
    /// When there may be some.
    retry_at: Millis,
    told_at: Millis,
}

/// This node's own part of a bucket, used while no coordinator is heard.
#[derive(Clone, Copy, Debug)]
struct OwnPart {
    level: f64,
    at: Millis,
}

#[derive(Debug)]
struct Account<T> {
    limit: Limit,
    held: u32,
    held_until: Millis,
    debt: u32,
    waiting: VecDeque<Waiting<T>>,
    in_flight: VecDeque<InFlight>,
    /// Calls of late, decaying.
    calls: f64,
    calls_at: Millis,
    /// Calls refused by that word since the last request.
    refused: u32,
    empty: Option<Empty>,
    /// When it may be asked again for calls that wait.
    ask_at: Millis,
    ahead_at: Millis,
    own: Option<OwnPart>,
}

impl<T> Account<T> {
    fn new(limit: Limit, now: Millis) -> Self {
        Account {
            limit,
            held: 0,
            held_until: 0,
            debt: 0,
            waiting: VecDeque::new(),
            in_flight: VecDeque::new(),
            calls: 0.0,
            calls_at: now,
            refused: 0,
            empty: None,
            ask_at: 0,
            ahead_at: 0,
            own: None,
        }
    }

    fn set_limit(&mut self, limit: Limit) {
        if limit == self.limit {
            return;
        }
        if limit.is_below(&self.limit) {
            self.held = 0;
        }
        (self.limit, self.empty) = (limit, None);
    }

    fn note_call(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.calls_at) as f64;
        self.calls = self.calls * (-passed / RATE_MS).exp() + 1.0;
        self.calls_at = now;
    }

    fn calls_per_s(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.calls_at) as f64;
        self.calls * (-passed / RATE_MS).exp() * 1_000.0 / RATE_MS
    }

    fn spend(&mut self, now: Millis) -> bool {
        if now >= self.held_until {
            self.held = 0;
        }
        let any = self.held > 0;
        self.held -= u32::from(any);
        any
    }

    /// Credits to have ahead, less what is held or on its way.
    fn ahead(&self, answer_ms: f64, now: Millis) -> u32 {
        let rate = self.calls_per_s(now);
        let least = if answer_ms > SLOW_ANSWER_MS { SLOW_AHEAD_PER_S } else { AHEAD_PER_S };
        if rate < least {
            return 0;
        }
        let wanted = (rate * (AHEAD_MS + answer_ms) / 1_000.0).ceil() as u32;
        wanted.saturating_sub(self.held + self.ahead_in_flight())
    }

    fn ahead_in_flight(&self) -> u32 {
        self.in_flight.iter().map(|asked| u32::from(asked.ahead)).sum()
    }

    /// Calls that wait and that nothing was asked for, or not answered in time.
    fn unasked(&self, answer_ms: Millis, now: Millis) -> u32 {
        let due = |asked: &&InFlight| now < asked.asked_at + answer_ms;
        let asked: u32 = self.in_flight.iter().filter(due).map(|asked| u32::from(asked.need)).sum();
        (self.waiting.len() as u32).saturating_sub(asked)
    }
}

/// All tenants' accounts at one sidecar, with the calls `T` that wait.
#[derive(Debug)]
pub struct Gate<T> {
    accounts: BTreeMap<TenantId, Account<T>>,
    /// Those whose calls wait, and how many calls.
    busy: BTreeSet<TenantId>,
    waiting: usize,
    /// When all accounts were last looked at, not just the busy ones.
    looked_at: Option<Millis>,
    random: fastrand::Rng,
    /// Sidecars among which quotas are divided; 0 while unknown.
    nodes: u32,
    /// When the oldest request without an answer was sent.
    unanswered_since: Option<Millis>,
    /// Usual time of an answer, milliseconds.
    answer_ms: f64,
    last_request: Option<Millis>,
    /// Whom this sidecar's part was lent to last.
    lent_to: Option<u64>,
    /// Until when it may be counted there.
    lent_until: Millis,
    /// Whether a coordinator can be asked.
    linked: bool,
    /// Whether any tenant has a limit.
    bounded: bool,
    /// Totals.
    pub counts: GateCounts,
}

impl<T> Gate<T> {
    /// Nothing held, nothing known.
    pub fn new(seed: u64) -> Self {
        Gate {
            accounts: BTreeMap::new(),
            busy: BTreeSet::new(),
            waiting: 0,
            looked_at: None,
            random: fastrand::Rng::with_seed(seed),
            nodes: 0,
            unanswered_since: None,
            answer_ms: 0.0,
            last_request: None,
            lent_to: None,
            lent_until: 0,
            linked: false,
            bounded: false,
            counts: GateCounts::default(),
        }
    }

    /// Takes in a call of a tenant. It is given back with what becomes of it, or kept until
    /// [`Self::settle`] does so.
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
        let (alone, wait_ms) = (self.is_standalone(now), self.wait_ms());
        let account = self.accounts.entry(tenant).or_insert_with(|| Account::new(limit, now));
        account.set_limit(limit);
        account.note_call(now);
        if account.waiting.is_empty() && account.spend(now) {
            self.counts.admitted += 1;
            return Some((item, Outcome::Admitted));
        }
        if alone {
            self.counts.alone += 1;
            let own = Alone { nodes: self.nodes, since: self.lent_until };
            let outcome = alone_outcome(account, own, &mut self.random, now);
            return Some((item, outcome));
        }
        let fresh = |empty: &Empty| now < empty.told_at + EMPTY_MS;
        let until = now + wait_ms;
        let empty = account.empty.filter(fresh).filter(|empty| until < empty.retry_at);
        let full = account.waiting.len() >= MOST_WAITING || self.waiting >= MOST_WAITING_IN_ALL;
        if empty.is_some() || full {
            self.counts.refused += 1;
            account.refused += 1;
            return Some((item, Outcome::Refused(refusal(account.empty, now))));
        }
        account.waiting.push_back(Waiting { item, until });
        self.waiting += 1;
        self.busy.insert(tenant);
        None
    }

    /// Takes down that a call reached an upstream once more, without a credit for it.
    pub fn charge(&mut self, tenant: TenantId, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            if !account.spend(now) {
                account.debt += 1;
            }
        }
    }

    /// Takes back the credit of a call that reached no upstream: another call may have it, for as
    /// long as it would have lived.
    pub fn refund(&mut self, tenant: TenantId, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.held += u32::from(now < account.held_until);
        }
    }

    /// Gives up calls that wait and that nobody waits for any more.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        if self.waiting == 0 {
            return;
        }
        for account in self.accounts.values_mut() {
            account.waiting.retain(|waiting| wanted(&waiting.item));
        }
        self.waiting = self.accounts.values().map(|account| account.waiting.len()).sum();
    }

    /// Gives back all calls that wait, because the process ends.
    pub fn take_waiting(&mut self) -> Vec<T> {
        let accounts = self.accounts.values_mut();
        let waiting = accounts.flat_map(|account| account.waiting.drain(..));
        self.waiting = 0;
        waiting.map(|waiting| waiting.item).collect()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Takes in whether any tenant has a limit: without one, coordinators are told nothing.
    pub fn set_any_limit(&mut self, bounded: bool) {
        self.bounded = bounded;
    }

    /// Takes in whether a coordinator can be asked at all.
    pub fn set_linked(&mut self, linked: bool) {
        self.linked = linked;
    }

    /// Whether this sidecar's part is its own: no coordinator may count it any more.
    pub fn is_standalone(&self, now: Millis) -> bool {
        !self.linked && now >= self.lent_until
    }

    /// Whether a request was not answered in time: another coordinator may answer.
    pub fn is_unanswered(&self, now: Millis) -> bool {
        self.unanswered_since.is_some_and(|at| now >= at + self.longest_answer_ms())
    }

    /// How long an answer may take.
    fn longest_answer_ms(&self) -> Millis {
        let times = (self.answer_ms * ANSWER_FACTOR) as Millis;
        times.clamp(ANSWER_MS, LONGEST_WAIT_MS)
    }

    fn wait_ms(&self) -> Millis {
        let times = (self.answer_ms * ANSWER_FACTOR) as Millis;
        times.clamp(WAIT_MS, LONGEST_WAIT_MS)
    }

    /// Takes in that what was asked will not be answered: its link ended.
    pub fn link_lost(&mut self) {
        self.unanswered_since = None;
        for account in self.accounts.values_mut() {
            account.in_flight.clear();
        }
    }

    /// What to send now, if anything, to the coordinator that the runtime would ask. This sidecar's
    /// part is lent to it, unless another one may still count it.
    pub fn request(&mut self, to: u64, now: Millis) -> Option<CreditRequest> {
        if !self.linked || !self.bounded {
            return None;
        }
        if self.last_request.is_some_and(|at| now < at + COLLECT_MS) {
            return None;
        }
        let times = Times { answer_ms: self.answer_ms, longest_ms: self.longest_answer_ms() };
        let mut asks = Vec::new();
        if self.looked_at.is_none_or(|at| now >= at + LOOK_MS) {
            self.looked_at = Some(now);
            for (tenant, account) in &mut self.accounts {
                asks.extend(ask_of(*tenant, account, times, now));
            }
        } else {
            for tenant in &self.busy {
                let account = self.accounts.get_mut(tenant);
                asks.extend(account.and_then(|account| ask_of(*tenant, account, times, now)));
            }
        }
        let quiet = self.last_request.is_some_and(|at| now < at + REQUEST_INTERVAL_MS);
        if asks.is_empty() && quiet {
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

    /// Takes in an answer.
    pub fn handle_answer(&mut self, answer: CreditAnswer, now: Millis) {
        let CreditAnswer { asked_at, nodes, grants } = answer;
        let took_ms = now.saturating_sub(asked_at) as f64;
        self.answer_ms += (took_ms - self.answer_ms) * ANSWER_WEIGHT;
        // Whatever was asked before is lost or comes late.
        let newer = self.last_request.filter(|at| *at > asked_at);
        if self.unanswered_since.is_some_and(|since| since <= asked_at) {
            self.unanswered_since = newer;
        }
        if nodes > 0 {
            self.nodes = nodes;
        }
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.tenant) {
                take_grant(account, grant, asked_at, now);
            }
        }
    }

    /// Gives back the calls that need not wait any more.
    pub fn settle(&mut self, now: Millis) -> Vec<(T, Outcome)> {
        let alone = self.is_standalone(now);
        let own = Alone { nodes: self.nodes, since: self.lent_until };
        let Gate { accounts, busy, waiting, random, counts, .. } = self;
        let mut settled = Vec::new();
        busy.retain(|tenant| {
            let Some(account) = accounts.get_mut(tenant) else {
                return false;
            };
            while let Some(first) = account.waiting.front() {
                let until = first.until;
                let empty = account.empty.filter(|empty| until < empty.retry_at);
                let outcome = if !account.limit.is_bounded() {
                    Outcome::Admitted
                } else if account.spend(now) {
                    counts.waited += 1;
                    Outcome::Admitted
                } else if alone {
                    counts.alone += 1;
                    alone_outcome(account, own, random, now)
                } else if empty.is_some() {
                    counts.refused += 1;
                    Outcome::Refused(refusal(account.empty, now))
                } else if now >= until {
                    counts.unanswered += 1;
                    Outcome::Refused(refusal(account.empty, now))
                } else {
                    break;
                };
                let Some(Waiting { item, .. }) = account.waiting.pop_front() else {
                    break;
                };
                settled.push((item, outcome));
                *waiting -= 1;
            }
            !account.waiting.is_empty()
        });
        settled
    }

    /// Forgets tenants that send nothing.
    pub fn expire(&mut self, now: Millis) {
        self.accounts.retain(|_, account| {
            let busy = !account.waiting.is_empty() || account.debt > 0;
            busy || now < account.calls_at + IDLE_MS
        });
    }

    /// When [`Self::settle`] and [`Self::request`] have something to do though nothing comes.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let longest_ms = self.longest_answer_ms();
        let may_ask = self.linked && self.bounded;
        let collected = self.last_request.map_or(0, |at| at + COLLECT_MS);
        let waiting = self.busy.iter().filter_map(|tenant| self.accounts.get(tenant));
        let due = waiting.filter_map(|account| {
            let first = account.waiting.front()?;
            let ask_at = match account.unasked(longest_ms, now) {
                0 => account.in_flight.back().map_or(0, |asked| asked.asked_at + longest_ms),
                _ => account.ask_at,
            };
            let ask_at = may_ask.then_some(ask_at.max(collected));
            Some(ask_at.map_or(first.until, |at| at.min(first.until)))
        });
        due.min()
    }
}

/// How long answers take.
#[derive(Clone, Copy)]
struct Times {
    answer_ms: f64,
    longest_ms: Millis,
}

fn ask_of<T>(
    tenant: TenantId,
    account: &mut Account<T>,
    times: Times,
    now: Millis,
) -> Option<CreditAsk> {
    while account.in_flight.front().is_some_and(|asked| now >= asked.asked_at + LEASE_MS) {
        account.in_flight.pop_front();
    }
    if now >= account.held_until {
        account.held = 0;
    }
    let may_ask = now >= account.ask_at;
    let need = if may_ask { account.unasked(times.longest_ms, now) } else { 0 };
    let ahead_due = now >= account.ahead_at + AHEAD_INTERVAL_MS;
    let ahead = if need > 0 || ahead_due { account.ahead(times.answer_ms, now) } else { 0 };
    let told = need > 0 || ahead_due && (ahead > 0 || account.debt > 0);
    if !told {
        return None;
    }
    account.ahead_at = now;
    let cut = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    let kept = cut(account.held + account.ahead_in_flight());
    let debt = cut(std::mem::take(&mut account.debt));
    let refused = cut(std::mem::take(&mut account.refused));
    let (need, ahead) = (cut(need), cut(ahead));
    account.in_flight.push_back(InFlight { asked_at: now, need, ahead });
    Some(CreditAsk { tenant, need, ahead, kept, debt, refused })
}

fn take_grant<T>(account: &mut Account<T>, grant: CreditGrant, asked_at: Millis, now: Millis) {
    let CreditGrant { granted, ahead, retry_ms, pulling, .. } = grant;
    let newest = account.in_flight.back().is_none_or(|asked| asked.asked_at <= asked_at);
    account.in_flight.retain(|asked| asked.asked_at != asked_at);
    if now < asked_at + LEASE_MS {
        account.held += u32::from(granted) + u32::from(ahead);
        account.held_until = account.held_until.max(asked_at + LEASE_MS);
    }
    if !newest {
        return;
    }
    let retry_at = now + Millis::from(retry_ms);
    account.ask_at = retry_at;
    let lacking = account.waiting.len() > account.held as usize;
    account.empty = (lacking && !pulling).then_some(Empty { retry_at, told_at: now });
    if !lacking {
        account.ask_at = now;
    }
}

/// Since when this node counts on nobody, and among how many quotas are divided.
#[derive(Clone, Copy)]
struct Alone {
    nodes: u32,
    since: Millis,
}

/// Decides by this node's own part of the bucket. A part of a small tenant is less than one request:
/// then chance decides, so that all nodes together let on what the whole bucket allows.
fn alone_outcome<T>(
    account: &mut Account<T>,
    alone: Alone,
    random: &mut fastrand::Rng,
    now: Millis,
) -> Outcome {
    let Alone { nodes, since } = alone;
    let part = if nodes == 0 { 0.0 } else { 1.0 / f64::from(nodes) };
    let refill = account.limit.refill_per_s() * part;
    let depth = account.limit.burst as f64 * part;
    let anew = OwnPart { level: 0.0, at: since };
    let mut own = account.own.filter(|own| own.at >= since).unwrap_or(anew);
    let passed = now.saturating_sub(own.at) as f64 / 1_000.0;
    own.level = (own.level + passed * refill).min(depth.max(refill));
    own.at = now;
    let chance = own.level.min(1.0);
    own.level -= chance;
    account.own = Some(own);
    if random.f64() < chance {
        return Outcome::Admitted;
    }
    let wait_ms = 1_000.0 / refill.max(1e-6);
    let retry_after_ms = (wait_ms as Millis).min(LONGEST_RETRY_MS);
    Outcome::Refused(Refusal { retry_after_ms, told_ms_ago: None })
}

fn refusal(empty: Option<Empty>, now: Millis) -> Refusal {
    let Some(Empty { retry_at, told_at }) = empty else {
        return Refusal { retry_after_ms: UNANSWERED_RETRY_MS, told_ms_ago: None };
    };
    let retry_after_ms = retry_at.saturating_sub(now).clamp(1, LONGEST_RETRY_MS);
    Refusal { retry_after_ms, told_ms_ago: Some(now.saturating_sub(told_at)) }
}
