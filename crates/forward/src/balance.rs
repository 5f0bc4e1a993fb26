//! Choosing an upstream: power of two choices (Mitzenmacher, 2001) over a zone-first subset.

use crate::limit::AdaptiveLimit;
use crate::outlier::{Health, OutlierPolicy};
use bundle::Service;
use endpoints::{choose_subset, subset_size, EndpointKey, EndpointView, SubsetParameters};
use std::collections::BTreeMap;

/// Time over which a newly seen upstream is ramped up to its full share, ms.
const SLOW_START_MS: u64 = 10_000;
/// Share of its weight that a new upstream begins with.
const SLOW_START_FLOOR: f64 = 0.1;
/// Time after which a reported load counts half, ms.
const LOAD_HALF_LIFE_MS: f64 = 500.0;
/// How much a fully loaded upstream's report adds to its score, in calls in flight.
const LOAD_WEIGHT: f64 = 4.0;
/// Connections a proxy wishes to have to one upstream.
const WISHED_CONNECTIONS: u32 = 16;

/// Who balances, for subsets.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    /// Name of the proxy.
    pub proxy: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Why no upstream was chosen; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// No live upstream is known.
    NoUpstream,
    /// Every upstream has as many calls as it may.
    AllBusy,
}

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallReport {
    /// Answered; with the load it reported, 0 to 1, if any.
    Answered {
        /// Share of its slots in use.
        load: Option<f64>,
    },
    /// The upstream said it did not run the call.
    Shed,
    /// Connection lost, short answer or no answer in time.
    Failed,
}

#[derive(Clone, Debug)]
struct Upstream {
    incarnation: u64,
    in_flight: u32,
    limit: AdaptiveLimit,
    health: Health,
    /// When it was first seen live, if that was after this proxy's first view.
    joined_ms: Option<u64>,
    load: f64,
    load_ms: u64,
}

/// An upstream as `status` shows it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct UpstreamStatus {
    /// Where it is.
    pub address: String,
    /// Calls in flight from this proxy.
    pub in_flight: u32,
    /// Calls allowed in flight.
    pub limit: u32,
    /// Whether it is left out for failing.
    pub ejected: bool,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    upstreams: BTreeMap<EndpointKey, Upstream>,
    subset: Vec<EndpointKey>,
    seen: bool,
}

/// Upstreams of all services a proxy uses.
#[derive(Clone, Debug)]
pub struct Balancer {
    identity: BalancerIdentity,
    policy: OutlierPolicy,
    services: BTreeMap<String, ServiceState>,
}

impl Balancer {
    /// A balancer without upstreams.
    pub fn new(identity: BalancerIdentity, policy: OutlierPolicy) -> Self {
        Balancer { identity, policy, services: BTreeMap::new() }
    }

    /// Takes over the live endpoints for the services given.
    pub fn update<'a>(
        &mut self,
        view: &EndpointView,
        services: impl Iterator<Item = &'a Service>,
        now_ms: u64,
    ) {
        for service in services {
            self.update_service(view, service, now_ms);
        }
    }

    fn update_service(&mut self, view: &EndpointView, service: &Service, now_ms: u64) {
        let live: Vec<_> = view.live(&service.name).collect();
        let (size, connections) = subset_size(SubsetParameters {
            upstream_connections: service.upstream_connections,
            subscribers: view.subscribers(&service.name),
            upstreams: live.len(),
            desired_connections: WISHED_CONNECTIONS,
        });
        let identity = &self.identity;
        let chosen = choose_subset(
            &identity.proxy,
            &identity.zone,
            &identity.region,
            live.into_iter(),
            size,
        );
        let state = self.services.entry(service.name.clone()).or_default();
        let joined_ms = state.seen.then_some(now_ms);
        state.seen = true;
        state.subset = chosen.iter().map(|endpoint| endpoint.key.clone()).collect();
        for endpoint in chosen {
            let fresh = || Upstream {
                incarnation: endpoint.incarnation,
                in_flight: 0,
                limit: AdaptiveLimit::new(connections),
                health: Health::default(),
                joined_ms,
                load: 0.0,
                load_ms: now_ms,
            };
            let upstream = state.upstreams.entry(endpoint.key.clone()).or_insert_with(fresh);
            if upstream.incarnation != endpoint.incarnation {
                let in_flight = upstream.in_flight;
                *upstream = Upstream { in_flight, ..fresh() };
            }
            upstream.limit.set_ceiling(connections);
        }
        let subset = &state.subset;
        state.upstreams.retain(|key, upstream| upstream.in_flight > 0 || subset.contains(key));
    }

    /// Takes an upstream out at once, before the next update of the view.
    pub fn remove(&mut self, key: &EndpointKey) {
        if let Some(state) = self.services.get_mut(&key.service) {
            state.subset.retain(|held| held != key);
        }
    }

    /// Chooses an upstream for a call and counts it as in flight there.
    pub fn pick(
        &mut self,
        service: &str,
        exclude: &[EndpointKey],
        now_ms: u64,
        random: &mut fastrand::Rng,
    ) -> Result<EndpointKey, PickError> {
        let state = self.services.get_mut(service).ok_or(PickError::NoUpstream)?;
        let known: Vec<&EndpointKey> =
            state.subset.iter().filter(|key| !exclude.contains(key)).collect();
        if known.is_empty() {
            return Err(PickError::NoUpstream);
        }
        let healthy = |key: &EndpointKey| !state.upstreams[key].health.is_ejected(now_ms);
        let has_room = |key: &EndpointKey| {
            let upstream = &state.upstreams[key];
            upstream.in_flight < upstream.limit.current()
        };
        let mut candidates: Vec<&EndpointKey> =
            known.iter().copied().filter(|key| healthy(key) && has_room(key)).collect();
        if candidates.is_empty() && !known.iter().any(|key| healthy(key)) {
            // All ejected: trying one that fails beats refusing everything.
            candidates = known.iter().copied().filter(|key| has_room(key)).collect();
        }
        if candidates.is_empty() {
            return Err(PickError::AllBusy);
        }
        let first = candidates[random.usize(..candidates.len())];
        let second = candidates[random.usize(..candidates.len())];
        let score = |key: &EndpointKey| score(&state.upstreams[key], now_ms);
        let chosen = if score(second) < score(first) { second } else { first }.clone();
        if let Some(upstream) = state.upstreams.get_mut(&chosen) {
            upstream.in_flight += 1;
        }
        Ok(chosen)
    }

    /// A call to an upstream ended.
    pub fn finish(&mut self, key: &EndpointKey, report: CallReport, now_ms: u64) {
        let policy = self.policy;
        let Some(state) = self.services.get_mut(&key.service) else {
            return;
        };
        let may_eject = ejection_allowed(state, &policy, now_ms);
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };
        let in_flight = upstream.in_flight;
        upstream.in_flight = in_flight.saturating_sub(1);
        match report {
            CallReport::Answered { load } => {
                upstream.health.on_success();
                upstream.limit.on_success(in_flight);
                if let Some(load) = load {
                    upstream.load = load.clamp(0.0, 1.0);
                    upstream.load_ms = now_ms;
                }
            }
            CallReport::Shed => {
                upstream.limit.on_overload(now_ms);
                upstream.load = 1.0;
                upstream.load_ms = now_ms;
            }
            CallReport::Failed => {
                upstream.limit.on_overload(now_ms);
                if upstream.health.on_failure(&policy, now_ms) && may_eject {
                    upstream.health.eject(&policy, now_ms);
                }
            }
        }
    }

    /// Upstreams in use, by service.
    pub fn status(&self, now_ms: u64) -> BTreeMap<String, Vec<UpstreamStatus>> {
        let describe = |state: &ServiceState| {
            let subset = state.subset.iter().filter_map(|key| state.upstreams.get_key_value(key));
            let one = |(key, upstream): (&EndpointKey, &Upstream)| UpstreamStatus {
                address: key.socket_address().to_string(),
                in_flight: upstream.in_flight,
                limit: upstream.limit.current(),
                ejected: upstream.health.is_ejected(now_ms),
            };
            subset.map(one).collect()
        };
        self.services.iter().map(|(name, state)| (name.clone(), describe(state))).collect()
    }
}

fn ejection_allowed(state: &ServiceState, policy: &OutlierPolicy, now_ms: u64) -> bool {
    let ejected = state
        .subset
        .iter()
        .filter_map(|key| state.upstreams.get(key))
        .filter(|upstream| upstream.health.is_ejected(now_ms))
        .count();
    (ejected + 1) * 100 <= state.subset.len() * policy.max_ejected_percent
}

/// Calls in flight plus aged reported load, over the share a new upstream may take.
fn score(upstream: &Upstream, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(upstream.load_ms) as f64;
    let load = upstream.load * 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
    let share = match upstream.joined_ms {
        Some(joined) if now_ms < joined + SLOW_START_MS => {
            let ramp = now_ms.saturating_sub(joined) as f64 / SLOW_START_MS as f64;
            ramp.max(SLOW_START_FLOOR)
        }
        _ => 1.0,
    };
    (f64::from(upstream.in_flight) + 1.0 + LOAD_WEIGHT * load) / share
}
