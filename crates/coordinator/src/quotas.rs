//! This coordinator's pools of tenants' credits, with what fills them and who asks.

use crate::membership::Group;
use crate::transport::Transport;
use crate::Millis;
use mesh::{
    CoordinatorFrame, CreditAmount, CreditAnswer, CreditRequest, MemberId, NodeAddress, TenantId,
};
use quota::{tenant_id, Answered, Limit, Pools, TenantUse};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use telemetry::Clock;
use tracing::info;

/// Tenants told of in one look at those whose calls find no credit: the worst.
const MOST_LOGGED: usize = 5;
/// A part that changes by more than this is logged.
const PART_STEP: f64 = 0.05;

struct State {
    pools: Pools,
    /// Generation whose limits are in force.
    generation: u64,
    names: HashMap<TenantId, String>,
    /// Calls of each tenant that found no credit, as logged last.
    logged: BTreeMap<TenantId, u64>,
    logged_part: f64,
}

/// The pools and those that use them.
pub(crate) struct Quotas {
    group: Arc<Group>,
    transport: Arc<Transport>,
    clock: Clock,
    state: Mutex<State>,
}

impl Quotas {
    /// Empty pools.
    pub fn new(group: Arc<Group>, transport: Arc<Transport>, clock: Clock) -> Self {
        let state = State {
            pools: Pools::new(clock.now_ms()),
            generation: 0,
            names: HashMap::new(),
            logged: BTreeMap::new(),
            logged_part: 0.0,
        };
        Quotas { group, transport, clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a sidecar, and asks other coordinators for what is lacking.
    pub fn request(&self, node: NodeAddress, request: CreditRequest) -> CreditAnswer {
        let now = self.clock.now_ms();
        let Answered { answer, pulls } = self.lock().pools.request(node, request, now);
        let member = self.group.own.0;
        for (peer, missing) in pulls {
            let frame = CoordinatorFrame::CreditPull { member, missing };
            self.transport.send(MemberId(peer), frame);
        }
        answer
    }

    /// Another coordinator lacks credit.
    pub fn pulled(&self, peer: u64, missing: &[CreditAmount]) {
        let now = self.clock.now_ms();
        let gifts = self.lock().pools.give(missing, now);
        let frame = CoordinatorFrame::CreditTransfer { member: self.group.own.0, credits: gifts };
        self.transport.send(MemberId(peer), frame);
    }

    /// Another coordinator gave credit.
    pub fn given(&self, peer: u64, gifts: &[CreditAmount]) {
        let now = self.clock.now_ms();
        self.lock().pools.receive(peer, gifts, now);
    }

    /// Another coordinator was heard.
    pub fn heard_peer(&self, peer: u64, now: Millis) {
        self.lock().pools.fleet.heard_peer(peer, now);
    }

    /// Takes in the sidecars that are listed, with whether each is stopping, the other coordinators,
    /// and which limits are in force; several times a second.
    pub fn look(&self, listed: Vec<(NodeAddress, bool)>, peers: &[MemberId], now: Millis) {
        self.take_limits(now);
        let peers: Vec<u64> = peers.iter().map(|peer| peer.0).collect();
        let mut state = self.lock();
        state.pools.tick(listed.into_iter(), &peers, now);
        let (part, lenders) = (state.pools.part(), state.pools.fleet.lenders());
        let nodes = state.pools.fleet.nodes();
        if (part - state.logged_part).abs() > PART_STEP {
            state.logged_part = part;
            info!(part = %format_args!("{part:.3}"), lenders, nodes, "quota_part_changed");
        }
    }

    fn take_limits(&self, now: Millis) {
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

    /// Logs the tenants whose calls found no credit since the last look, the worst first.
    pub fn log_scarce(&self) {
        let mut state = self.lock();
        let uses: Vec<TenantUse> = state.pools.uses().collect();
        let before = |used: &TenantUse| state.logged.get(&used.tenant).copied().unwrap_or(0);
        let since = |used: &TenantUse| used.refused.saturating_sub(before(used));
        let mut scarce: Vec<(u64, &TenantUse)> = uses
            .iter()
            .map(|used| (since(used), used))
            .filter(|(lacking, _)| *lacking > 0)
            .collect();
        scarce.sort_by_key(|(lacking, _)| std::cmp::Reverse(*lacking));
        for (lacking, used) in scarce.iter().take(MOST_LOGGED) {
            let tenant = state.names.get(&used.tenant).map_or("-", String::as_str);
            let level = format!("{:.2}", used.level);
            info!(%tenant, lacking, granted = used.granted, level, "quota_scarce");
        }
        state.logged = uses.iter().map(|used| (used.tenant, used.refused)).collect();
    }
}
