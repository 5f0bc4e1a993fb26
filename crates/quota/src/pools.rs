//! The coordinator's side: one pool a tenant, filled by the sidecars that lend their part.

use crate::fleet::Fleet;
use crate::limit::Limit;
use crate::pool::{Filled, Pool};
use crate::Millis;
use mesh::{CreditAmount, CreditAnswer, CreditAsk, CreditGrant, CreditRequest};
use mesh::{NodeAddress, TenantId};
use std::collections::{BTreeMap, HashMap};

/// Time between two pulls for one tenant, milliseconds: a way there and back between zones.
const PULL_INTERVAL_MS: Millis = 10;
/// A coordinator that could spare nothing for a tenant, or did not answer, is not asked for it for
/// this long, milliseconds: a tenant above its limit everywhere is asked for ten times a second.
const PULL_REST_MS: Millis = 100;
/// Time in which calls wait for what another coordinator gives, milliseconds.
const PULL_WAIT_MS: u16 = 8;
/// Retry time told for a tenant that is not known here, milliseconds: a configuration is on its way.
const UNKNOWN_RETRY_MS: u16 = 50;

/// A limit, and since when the tenant has one here.
#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Limit,
    since: Millis,
}

/// Parts that rise within this time of each other are one rise, milliseconds: longer than any bucket
/// that is not much deeper than a window takes to fill.
const RISE_MS: Millis = 10_000;

/// The part that is here, and what it was before it rose.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    now: f64,
    /// Before the last rises: what came with them may have been spent where it was.
    before: f64,
    rose_at: Millis,
}

impl Part {
    fn set(&mut self, part: f64, now: Millis) {
        if part > self.now {
            let anew = now >= self.rose_at + RISE_MS;
            self.before = if anew { self.now } else { self.before.min(self.now) };
            self.rose_at = now;
        }
        self.before = self.before.min(part);
        self.now = part;
    }

    /// What a pool holds that nobody asked for a while.
    fn filled(&self, since: Millis, now: Millis) -> Filled {
        let part = if since < self.rose_at { self.before } else { 0.0 };
        Filled { part, for_ms: now.saturating_sub(since.max(self.rose_at)) }
    }
}

/// What one tenant used of late here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUsage {
    /// Which.
    pub tenant: TenantId,
    /// Credits given since the pool was made.
    pub granted: u64,
    /// Credits asked for by calls that wait, and not there.
    pub refused: u64,
    /// Credits that the pool holds.
    pub level: f64,
    /// Credits that may be given now.
    pub available: f64,
}

/// What an event at the pools leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolResponse {
    /// To the sidecar.
    pub answer: CreditAnswer,
    /// What to ask of other coordinators.
    pub pulls: Vec<(u64, Vec<CreditAmount>)>,
}

/// All pools of one coordinator.
#[derive(Clone, Debug)]
pub struct Pools {
    /// Whose parts are here.
    pub fleet: Fleet,
    part: Part,
    known: HashMap<TenantId, Known>,
    pools: BTreeMap<TenantId, Pool>,
    peers: Vec<u64>,
    /// Which of them is asked next.
    turn: usize,
    /// Until when a coordinator is not asked for a tenant.
    resting: HashMap<(u64, TenantId), Millis>,
}

impl Pools {
    /// The pools of a coordinator that starts now: all are empty. What an earlier life gave out is
    /// spent, as far as anybody knows.
    pub fn new(now: Millis) -> Self {
        Pools {
            fleet: Fleet::new(now),
            part: Part { rose_at: now, ..Part::default() },
            known: HashMap::new(),
            pools: BTreeMap::new(),
            peers: Vec::new(),
            turn: 0,
            resting: HashMap::new(),
        }
    }

    /// Puts the limits of a configuration in force. A tenant that is new has nothing yet; one that
    /// stays keeps what its pool holds, cut to what fits.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (TenantId, Limit)>, now: Millis) {
        let former = std::mem::take(&mut self.known);
        let since = |tenant: &TenantId| former.get(tenant).map_or(now, |known| known.since);
        let bounded = limits.filter(|(_, limit)| limit.is_bounded());
        self.known = bounded
            .map(|(tenant, limit)| (tenant, Known { limit, since: since(&tenant) }))
            .collect();
        let Pools { pools, known, part, .. } = self;
        pools.retain(|tenant, _| known.contains_key(tenant));
        for (tenant, pool) in pools {
            pool.advance(known[tenant].limit, part.now, now);
        }
    }

    /// Does what is due several times a second: takes in which sidecars and coordinators there are,
    /// and forgets pools that nobody uses.
    pub fn tick(
        &mut self,
        nodes: impl Iterator<Item = (NodeAddress, bool)>,
        peers: &[u64],
        now: Millis,
    ) {
        self.fleet.update_listed(nodes, peers.iter().copied(), now);
        self.peers = peers.to_vec();
        self.part.set(self.fleet.share(now), now);
        self.resting.retain(|_, until| now < *until);
        let Pools { pools, known, part, .. } = self;
        pools.retain(|tenant, pool| {
            pool.advance(known[tenant].limit, part.now, now);
            !pool.is_idle(now)
        });
    }

    /// Answers a sidecar.
    pub fn request(
        &mut self,
        node: NodeAddress,
        request: CreditRequest,
        now: Millis,
    ) -> PoolResponse {
        self.fleet.update_loan(node, request.lends, now);
        let mut wanted = Vec::new();
        let mut grants = Vec::new();
        for ask in request.asks {
            let mut grant = self.grant(node, ask, now);
            let waiting = ask.need - grant.granted;
            if let Some((peer, lacks)) = self.pull(ask.tenant, waiting, now) {
                grant.pulling = true;
                grant.retry_ms = PULL_WAIT_MS;
                wanted.push((peer, lacks));
            }
            grants.push(grant);
        }
        let nodes = self.fleet.reported_nodes(now);
        let answer = CreditAnswer { asked_at: request.asked_at, nodes, grants };
        PoolResponse { answer, pulls: by_peer(wanted) }
    }

    fn grant(&mut self, node: NodeAddress, ask: CreditAsk, now: Millis) -> CreditGrant {
        let part = self.part;
        let Some(Known { limit, since }) = self.known.get(&ask.tenant).copied() else {
            let (tenant, retry_ms) = (ask.tenant, UNKNOWN_RETRY_MS);
            return CreditGrant { tenant, granted: 0, ahead: 0, retry_ms, pulling: false };
        };
        let made = || Pool::new(limit, part.now, part.filled(since, now), now);
        let pool = self.pools.entry(ask.tenant).or_insert_with(made);
        pool.advance(limit, part.now, now);
        pool.answer(node, ask, now)
    }

    /// Which coordinator to ask for credit, and for how much.
    fn pull(&mut self, tenant: TenantId, waiting: u16, now: Millis) -> Option<(u64, CreditAmount)> {
        let pool = self.pools.get_mut(&tenant)?;
        if waiting == 0 {
            return None;
        }
        let under_way = now < pool.pulled_at + PULL_INTERVAL_MS && pool.pulled_at > 0;
        let resting = &self.resting;
        let rested = |peer: &&u64| resting.get(&(**peer, tenant)).is_none_or(|until| now >= *until);
        let count = self.peers.len();
        let in_turn = (0..count).map(|step| &self.peers[(self.turn + step) % count]);
        let peer = *in_turn.into_iter().find(rested)?;
        if under_way {
            return None;
        }
        pool.pulled_at = now;
        self.turn = self.turn.wrapping_add(1);
        // Until it answers with something.
        self.resting.insert((peer, tenant), now + PULL_REST_MS);
        let milli = (pool.lacks(waiting) * 1_000.0).ceil() as u32;
        Some((peer, CreditAmount { tenant, milli }))
    }

    /// Gives another coordinator what can be spared.
    pub fn give(&mut self, lacks: &[CreditAmount], now: Millis) -> Vec<CreditAmount> {
        let mut gifts = Vec::new();
        for CreditAmount { tenant, milli } in lacks.iter().copied() {
            let Some(Known { limit, since }) = self.known.get(&tenant).copied() else {
                continue;
            };
            let part = self.part;
            let made = || Pool::new(limit, part.now, part.filled(since, now), now);
            let pool = self.pools.entry(tenant).or_insert_with(made);
            pool.advance(limit, part.now, now);
            pool.last_asked = now;
            let given = pool.give(f64::from(milli) / 1_000.0, now);
            gifts.push(CreditAmount { tenant, milli: (given * 1_000.0).floor() as u32 });
        }
        gifts
    }

    /// Takes in what another coordinator gave.
    pub fn receive(&mut self, peer: u64, gifts: &[CreditAmount], now: Millis) {
        for CreditAmount { tenant, milli } in gifts.iter().copied().filter(|gift| gift.milli > 0) {
            let (Some(known), Some(pool)) = (self.known.get(&tenant), self.pools.get_mut(&tenant))
            else {
                continue;
            };
            pool.advance(known.limit, self.part.now, now);
            pool.receive(f64::from(milli) / 1_000.0, now);
            self.resting.remove(&(peer, tenant));
        }
    }

    /// Part of all quotas that is here, 0 to 1.
    pub fn share(&self) -> f64 {
        self.part.now
    }

    /// What the tenants with a pool use.
    pub fn usages(&self) -> impl Iterator<Item = TenantUsage> + '_ {
        self.pools.iter().map(|(tenant, pool)| TenantUsage {
            tenant: *tenant,
            granted: pool.granted,
            refused: pool.refused,
            level: pool.level(),
            available: pool.available(),
        })
    }
}

fn by_peer(wanted: Vec<(u64, CreditAmount)>) -> Vec<(u64, Vec<CreditAmount>)> {
    let mut pulls: BTreeMap<u64, Vec<CreditAmount>> = BTreeMap::new();
    for (peer, lacks) in wanted {
        pulls.entry(peer).or_default().push(lacks);
    }
    pulls.into_iter().collect()
}
