//! The coordinator's side: one pool per tenant, filled by the shares that sidecars lend.

use crate::fleet::Fleet;
use crate::limit::Limit;
use crate::pool::{InitialFill, Pool};
use crate::Millis;
use mesh::{CreditAmount, CreditAnswer, CreditAsk, CreditGrant, CreditRequest};
use mesh::{NodeAddress, TenantId};
use std::collections::{BTreeMap, HashMap};

/// Minimum interval between two pulls for one tenant, milliseconds: a round trip between zones.
const PULL_INTERVAL_MS: Millis = 10;
/// Time for which a coordinator that had no credit to spare for a tenant, or did not answer, is not
/// asked for it again, milliseconds: pulls for a tenant above its limit everywhere go to each
/// coordinator ten times a second.
const PULL_BACKOFF_MS: Millis = 100;
/// Time for which calls wait for pulled credit, milliseconds.
const PULL_WAIT_MS: u16 = 8;
/// Retry time for a tenant that is not known here yet, milliseconds: a configuration with it is
/// being distributed.
const UNKNOWN_TENANT_RETRY_MS: u16 = 50;

/// The limit of a tenant, and since when the tenant has been limited here.
#[derive(Clone, Copy, Debug)]
struct KnownTenant {
    limit: Limit,
    since: Millis,
}

/// Increases of the share within this time of each other count as one increase, milliseconds:
/// longer than a bucket takes to fill that is not much deeper than a window.
const INCREASE_MS: Millis = 10_000;

/// The share of all quotas at this coordinator, and its value before it increased.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    current: f64,
    /// The share before the last increases; the credit of what they added may already have been
    /// spent at its previous pool.
    before: f64,
    increased_at: Millis,
}

impl Share {
    fn set(&mut self, share: f64, now: Millis) {
        if share > self.current {
            let separate = now >= self.increased_at + INCREASE_MS;
            self.before = if separate { self.current } else { self.before.min(self.current) };
            self.increased_at = now;
        }
        self.before = self.before.min(share);
        self.current = share;
    }

    /// Content of a pool that has had no requests recently, for a tenant limited since `since`.
    fn initial_fill(&self, since: Millis, now: Millis) -> InitialFill {
        let full_share = if since < self.increased_at { self.before } else { 0.0 };
        InitialFill {
            full_share,
            refilled_for_ms: now.saturating_sub(since.max(self.increased_at)),
        }
    }
}

/// Recent use of one tenant's quota at this coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Credits granted since the pool was created.
    pub granted: u64,
    /// Credits that calls requested and did not get since then.
    pub refused: u64,
    /// Credits in the pool.
    pub level: f64,
    /// Credits that may be granted now.
    pub available: f64,
}

/// Messages to send in response to a credit request.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolResponse {
    /// To the sidecar.
    pub answer: CreditAnswer,
    /// To other coordinators, with the credit to request from each.
    pub pulls: Vec<(u64, Vec<CreditAmount>)>,
}

/// All pools of one coordinator.
#[derive(Clone, Debug)]
pub struct Pools {
    /// The sidecars and coordinators, and the shares lent to this one.
    pub fleet: Fleet,
    share: Share,
    tenants: HashMap<TenantId, KnownTenant>,
    pools: BTreeMap<TenantId, Pool>,
    peers: Vec<u64>,
    /// Index of the peer to ask next, modulo their number.
    next_peer: usize,
    /// Times until which a peer is not asked for credit of a tenant.
    backoffs: HashMap<(u64, TenantId), Millis>,
}

impl Pools {
    /// Creates the pools of a coordinator that starts now. All are empty, because a previous
    /// process may have granted their credit.
    pub fn new(now: Millis) -> Self {
        Pools {
            fleet: Fleet::new(now),
            share: Share { increased_at: now, ..Share::default() },
            tenants: HashMap::new(),
            pools: BTreeMap::new(),
            peers: Vec::new(),
            next_peer: 0,
            backoffs: HashMap::new(),
        }
    }

    /// Applies the limits of a configuration. A new tenant starts without credit; a remaining one
    /// keeps the credit in its pool, up to the new depth.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (TenantId, Limit)>, now: Millis) {
        let previous = std::mem::take(&mut self.tenants);
        let since = |tenant: &TenantId| previous.get(tenant).map_or(now, |known| known.since);
        let bounded = limits.filter(|(_, limit)| limit.is_bounded());
        self.tenants = bounded
            .map(|(tenant, limit)| (tenant, KnownTenant { limit, since: since(&tenant) }))
            .collect();
        let Pools { pools, tenants, share, .. } = self;
        pools.retain(|tenant, _| tenants.contains_key(tenant));
        for (tenant, pool) in pools {
            pool.advance(tenants[tenant].limit, share.current, now);
        }
    }

    /// Updates the listed sidecars, with whether each is stopping, and the other coordinators, and
    /// removes idle pools. To be called several times a second.
    pub fn tick(
        &mut self,
        nodes: impl Iterator<Item = (NodeAddress, bool)>,
        peers: &[u64],
        now: Millis,
    ) {
        self.fleet.update_listed(nodes, peers.iter().copied(), now);
        self.peers = peers.to_vec();
        self.share.set(self.fleet.share(now), now);
        self.backoffs.retain(|_, until| now < *until);
        let Pools { pools, tenants, share, .. } = self;
        pools.retain(|tenant, pool| {
            pool.advance(tenants[tenant].limit, share.current, now);
            !pool.is_idle(now)
        });
    }

    /// Answers a credit request of a sidecar.
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
            if let Some((peer, missing)) = self.pull(ask.tenant, waiting, now) {
                grant.pulling = true;
                grant.retry_ms = PULL_WAIT_MS;
                wanted.push((peer, missing));
            }
            grants.push(grant);
        }
        let nodes = self.fleet.reported_nodes(now);
        let answer = CreditAnswer { asked_at: request.asked_at, nodes, grants };
        PoolResponse { answer, pulls: by_peer(wanted) }
    }

    fn grant(&mut self, node: NodeAddress, ask: CreditAsk, now: Millis) -> CreditGrant {
        let share = self.share;
        let Some(KnownTenant { limit, since }) = self.tenants.get(&ask.tenant).copied() else {
            let (tenant, retry_ms) = (ask.tenant, UNKNOWN_TENANT_RETRY_MS);
            return CreditGrant { tenant, granted: 0, prefetch: 0, retry_ms, pulling: false };
        };
        let create = || Pool::new(limit, share.current, share.initial_fill(since, now), now);
        let pool = self.pools.entry(ask.tenant).or_insert_with(create);
        pool.advance(limit, share.current, now);
        pool.answer(node, ask, now)
    }

    /// The coordinator to pull credit from, and the amount, if `waiting` calls found none.
    fn pull(&mut self, tenant: TenantId, waiting: u16, now: Millis) -> Option<(u64, CreditAmount)> {
        let pool = self.pools.get_mut(&tenant)?;
        if waiting == 0 {
            return None;
        }
        let pulled_recently = now < pool.pulled_at + PULL_INTERVAL_MS && pool.pulled_at > 0;
        let backoffs = &self.backoffs;
        let may_ask =
            |peer: &&u64| backoffs.get(&(**peer, tenant)).is_none_or(|until| now >= *until);
        let count = self.peers.len();
        let in_turn = (0..count).map(|step| &self.peers[(self.next_peer + step) % count]);
        let peer = *in_turn.into_iter().find(may_ask)?;
        if pulled_recently {
            return None;
        }
        pool.pulled_at = now;
        self.next_peer = self.next_peer.wrapping_add(1);
        // Removed once the peer transfers credit.
        self.backoffs.insert((peer, tenant), now + PULL_BACKOFF_MS);
        let milli = (pool.missing(waiting) * 1_000.0).ceil() as u32;
        Some((peer, CreditAmount { tenant, milli }))
    }

    /// Removes credit that can be spared for another coordinator from the pools.
    pub fn give(&mut self, missing: &[CreditAmount], now: Millis) -> Vec<CreditAmount> {
        let mut credits = Vec::new();
        for CreditAmount { tenant, milli } in missing.iter().copied() {
            let Some(KnownTenant { limit, since }) = self.tenants.get(&tenant).copied() else {
                continue;
            };
            let share = self.share;
            let create = || Pool::new(limit, share.current, share.initial_fill(since, now), now);
            let pool = self.pools.entry(tenant).or_insert_with(create);
            pool.advance(limit, share.current, now);
            pool.last_request = now;
            let given = pool.give(f64::from(milli) / 1_000.0, now);
            credits.push(CreditAmount { tenant, milli: (given * 1_000.0).floor() as u32 });
        }
        credits
    }

    /// Adds credit received from another coordinator to the pools.
    pub fn receive(&mut self, peer: u64, credits: &[CreditAmount], now: Millis) {
        for CreditAmount { tenant, milli } in
            credits.iter().copied().filter(|credit| credit.milli > 0)
        {
            let (Some(known), Some(pool)) =
                (self.tenants.get(&tenant), self.pools.get_mut(&tenant))
            else {
                continue;
            };
            pool.advance(known.limit, self.share.current, now);
            pool.receive(f64::from(milli) / 1_000.0, now);
            self.backoffs.remove(&(peer, tenant));
        }
    }

    /// Share of all quotas at this coordinator, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share.current
    }

    /// Usage of the tenants that have a pool.
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
    for (peer, missing) in wanted {
        pulls.entry(peer).or_default().push(missing);
    }
    pulls.into_iter().collect()
}
