//! This coordinator's pools of tenant credits, and their refill and use.

use crate::membership::Group;
use crate::transport::Transport;
use crate::Millis;
use mesh::{
    CoordinatorFrame, CreditAmount, CreditAnswer, CreditRequest, MemberId, NodeAddress, TenantId,
};
use quota::{tenant_id, Limit, PoolResponse, Pools, TenantUsage};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use telemetry::Clock;
use tracing::info;

/// Maximum number of tenants with refused calls that are logged at a time.
const MAX_LOGGED_TENANTS: usize = 5;
/// Minimum change of this coordinator's share of the quotas that is logged.
const MIN_LOGGED_SHARE_CHANGE: f64 = 0.05;

struct State {
    pools: Pools,
    /// Generation whose limits are applied.
    generation: u64,
    names: HashMap<TenantId, String>,
    /// Refused calls of each tenant at the time of the last log.
    logged_refusals: BTreeMap<TenantId, u64>,
    logged_share: f64,
}

/// The credit pools.
pub(crate) struct Quotas {
    group: Arc<Group>,
    transport: Arc<Transport>,
    clock: Clock,
    state: Mutex<State>,
}

impl Quotas {
    /// Creates empty pools.
    pub fn new(group: Arc<Group>, transport: Arc<Transport>, clock: Clock) -> Self {
        let state = State {
            pools: Pools::new(clock.now_ms()),
            generation: 0,
            names: HashMap::new(),
            logged_refusals: BTreeMap::new(),
            logged_share: 0.0,
        };
        Quotas { group, transport, clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a credit request of a sidecar, and requests missing credits from other coordinators.
    pub fn request(&self, node: NodeAddress, request: CreditRequest) -> CreditAnswer {
        let now = self.clock.now_ms();
        let PoolResponse { answer, pulls } = self.lock().pools.request(node, request, now);
        let member = self.group.own.0;
        for (peer, missing) in pulls {
            let frame = CoordinatorFrame::CreditPull { member, missing };
            self.transport.send(MemberId(peer), frame);
        }
        answer
    }

    /// Handles a request of another coordinator for missing credits.
    pub fn handle_pull(&self, peer: u64, missing: &[CreditAmount]) {
        let now = self.clock.now_ms();
        let credits = self.lock().pools.give(missing, now);
        let frame = CoordinatorFrame::CreditTransfer { member: self.group.own.0, credits };
        self.transport.send(MemberId(peer), frame);
    }

    /// Adds credits received from another coordinator.
    pub fn receive_credits(&self, peer: u64, credits: &[CreditAmount]) {
        let now = self.clock.now_ms();
        self.lock().pools.receive(peer, credits, now);
    }

    /// Notes that another coordinator was heard from.
    pub fn heard_peer(&self, peer: u64, now: Millis) {
        self.lock().pools.fleet.heard_peer(peer, now);
    }

    /// Updates the listed sidecars, with whether each is stopping, the other coordinators, and the
    /// limits. Called several times a second.
    pub fn update(&self, listed: Vec<(NodeAddress, bool)>, peers: &[MemberId], now: Millis) {
        self.update_limits(now);
        let peers: Vec<u64> = peers.iter().map(|peer| peer.0).collect();
        let mut state = self.lock();
        state.pools.tick(listed.into_iter(), &peers, now);
        let (part, lenders) = (state.pools.share(), state.pools.fleet.lenders());
        let nodes = state.pools.fleet.nodes();
        if (part - state.logged_share).abs() > MIN_LOGGED_SHARE_CHANGE {
            state.logged_share = part;
            info!(part = %format_args!("{part:.3}"), lenders, nodes, "quota_part_changed");
        }
    }

    fn update_limits(&self, now: Millis) {
        let generation = self.group.replica.lock().machine.0.newest_generation();
        if self.lock().generation == generation {
            return;
        }
        let (target, bundle) = self.group.replica.lock().machine.0.in_force();
        let limits: Vec<(TenantId, Limit)> = bundle
            .tenants()
            .map(|tenant| {
                let limit = Limit { rate_milli: tenant.rate_milli, burst: tenant.burst };
                (tenant_id(&tenant.name), limit)
            })
            .collect();
        let names = bundle.tenants().map(|tenant| (tenant_id(&tenant.name), tenant.name.clone()));
        let mut state = self.lock();
        state.generation = generation;
        state.names = names.collect();
        let tenants = limits.iter().filter(|(_, limit)| limit.is_bounded()).count();
        state.pools.set_limits(limits.into_iter(), now);
        info!(generation = target.generation, tenants, "quotas_in_force");
    }

    /// Logs the tenants whose calls were refused since the last log, those with most refusals
    /// first.
    pub fn log_refusals(&self) {
        let mut state = self.lock();
        let usages: Vec<TenantUsage> = state.pools.usages().collect();
        let refused_before =
            |usage: &TenantUsage| state.logged_refusals.get(&usage.tenant).copied().unwrap_or(0);
        let refused_since =
            |usage: &TenantUsage| usage.refused.saturating_sub(refused_before(usage));
        let mut refusals: Vec<(u64, &TenantUsage)> = usages
            .iter()
            .map(|usage| (refused_since(usage), usage))
            .filter(|(lacking, _)| *lacking > 0)
            .collect();
        refusals.sort_by_key(|(lacking, _)| std::cmp::Reverse(*lacking));
        for (lacking, usage) in refusals.iter().take(MAX_LOGGED_TENANTS) {
            let tenant = state.names.get(&usage.tenant).map_or("-", String::as_str);
            let level = format!("{:.2}", usage.level);
            info!(%tenant, lacking, granted = usage.granted, level, "quota_scarce");
        }
        state.logged_refusals = usages.iter().map(|usage| (usage.tenant, usage.refused)).collect();
    }
}
