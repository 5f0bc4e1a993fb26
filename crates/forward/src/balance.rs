//! Load balancing: power of two choices (Mitzenmacher, 2001) over a subset that prefers the proxy's
//! own zone.

use crate::limit::AdaptiveLimit;
use crate::outlier::{Health, OutlierPolicy};
use bundle::Service;
use endpoints::{choose_subset, subset_size, EndpointKey, EndpointView, SubsetParameters};
use std::collections::BTreeMap;

/// Time over which a new upstream is ramped up to its full share of calls, in ms.
const SLOW_START_MS: u64 = 10_000;
/// Share of calls with which a new upstream starts.
const SLOW_START_MIN_SHARE: f64 = 0.1;
/// Half-life of a reported load, in ms.
const LOAD_HALF_LIFE_MS: f64 = 500.0;
/// Score that a reported load of 1 adds to an upstream, in units of calls in flight.
const LOAD_WEIGHT: f64 = 4.0;
/// Desired number of connections from a proxy to one upstream.
const DESIRED_CONNECTIONS: u32 = 16;

/// Name and location of the proxy, from which its subset of upstreams is chosen.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    /// Name of the proxy.
    pub proxy: String,
    /// Zone of the proxy.
    pub zone: String,
    /// Region of the proxy.
    pub region: String,
}

/// Why no upstream was chosen. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// No live upstream is known, apart from excluded ones.
    NoUpstream,
    /// Every candidate is at its concurrency limit.
    AllBusy,
}

/// Outcome of a call to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallReport {
    /// The upstream answered.
    Answered {
        /// Load that the upstream reported, if any: the share of its slots in use, 0 to 1.
        load: Option<f64>,
    },
    /// The upstream reported that it did not run the call.
    Shed,
    /// The connection was lost, the answer was truncated, or the call timed out.
    Failed,
}

#[derive(Clone, Debug)]
struct Upstream {
    incarnation: u64,
    in_flight: u32,
    limit: AdaptiveLimit,
    health: Health,
    /// When it was first seen live; `None` if it was in the proxy's first view of the service, for
    /// which there is no slow start.
    joined_ms: Option<u64>,
    reported_load: f64,
    load_reported_ms: u64,
}

/// State of an upstream in the output of `status`.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct UpstreamStatus {
    /// Address of the upstream.
    pub address: String,
    /// Number of calls in flight from this proxy.
    pub in_flight: u32,
    /// Current limit on calls in flight.
    pub limit: u32,
    /// Whether the upstream is ejected because of failures.
    pub ejected: bool,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    upstreams: BTreeMap<EndpointKey, Upstream>,
    subset: Vec<EndpointKey>,
    has_view: bool,
}

/// Load balancer over the upstreams of all services that a proxy uses.
#[derive(Clone, Debug)]
pub struct Balancer {
    identity: BalancerIdentity,
    policy: OutlierPolicy,
    services: BTreeMap<String, ServiceState>,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new(identity: BalancerIdentity, policy: OutlierPolicy) -> Self {
        Balancer { identity, policy, services: BTreeMap::new() }
    }

    /// Updates the upstreams of the given services from a view of the live endpoints.
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
            desired_connections: DESIRED_CONNECTIONS,
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
        let joined_ms = state.has_view.then_some(now_ms);
        state.has_view = true;
        state.subset = chosen.iter().map(|endpoint| endpoint.key.clone()).collect();
        for endpoint in chosen {
            let new_upstream = || Upstream {
                incarnation: endpoint.incarnation,
                in_flight: 0,
                limit: AdaptiveLimit::new(connections),
                health: Health::default(),
                joined_ms,
                reported_load: 0.0,
                load_reported_ms: now_ms,
            };
            let upstream = state.upstreams.entry(endpoint.key.clone()).or_insert_with(new_upstream);
            if upstream.incarnation != endpoint.incarnation {
                let in_flight = upstream.in_flight;
                *upstream = Upstream { in_flight, ..new_upstream() };
            }
            upstream.limit.set_ceiling(connections);
        }
        let subset = &state.subset;
        state.upstreams.retain(|key, upstream| upstream.in_flight > 0 || subset.contains(key));
    }

    /// Removes an upstream immediately, without waiting for the next view.
    pub fn remove(&mut self, key: &EndpointKey) {
        if let Some(state) = self.services.get_mut(&key.service) {
            state.subset.retain(|member| member != key);
        }
    }

    /// Chooses an upstream for a call and counts the call as in flight there.
    pub fn pick(
        &mut self,
        service: &str,
        exclude: &[EndpointKey],
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> Result<EndpointKey, PickError> {
        let state = self.services.get_mut(service).ok_or(PickError::NoUpstream)?;
        let available: Vec<&EndpointKey> =
            state.subset.iter().filter(|key| !exclude.contains(key)).collect();
        if available.is_empty() {
            return Err(PickError::NoUpstream);
        }
        let healthy = |key: &EndpointKey| !state.upstreams[key].health.is_ejected(now_ms);
        let has_room = |key: &EndpointKey| {
            let upstream = &state.upstreams[key];
            upstream.in_flight < upstream.limit.current()
        };
        let mut candidates: Vec<&EndpointKey> =
            available.iter().copied().filter(|key| healthy(key) && has_room(key)).collect();
        if candidates.is_empty() && !available.iter().any(|key| healthy(key)) {
            // If all are ejected, trying one that may fail is better than rejecting every call.
            candidates = available.iter().copied().filter(|key| has_room(key)).collect();
        }
        if candidates.is_empty() {
            return Err(PickError::AllBusy);
        }
        let first = candidates[rng.usize(..candidates.len())];
        let second = candidates[rng.usize(..candidates.len())];
        let score = |key: &EndpointKey| score(&state.upstreams[key], now_ms);
        let chosen = if score(second) < score(first) { second } else { first }.clone();
        if let Some(upstream) = state.upstreams.get_mut(&chosen) {
            upstream.in_flight += 1;
        }
        Ok(chosen)
    }

    /// Records the outcome of a call to an upstream.
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
                    upstream.reported_load = load.clamp(0.0, 1.0);
                    upstream.load_reported_ms = now_ms;
                }
            }
            CallReport::Shed => {
                upstream.limit.on_overload(now_ms);
                upstream.reported_load = 1.0;
                upstream.load_reported_ms = now_ms;
            }
            CallReport::Failed => {
                upstream.limit.on_overload(now_ms);
                if upstream.health.on_failure(&policy, now_ms) && may_eject {
                    upstream.health.eject(&policy, now_ms);
                }
            }
        }
    }

    /// State of the upstreams in the subset, by service.
    pub fn status(&self, now_ms: u64) -> BTreeMap<String, Vec<UpstreamStatus>> {
        let describe = |state: &ServiceState| {
            let subset = state.subset.iter().filter_map(|key| state.upstreams.get_key_value(key));
            let status_of = |(key, upstream): (&EndpointKey, &Upstream)| UpstreamStatus {
                address: key.socket_address().to_string(),
                in_flight: upstream.in_flight,
                limit: upstream.limit.current(),
                ejected: upstream.health.is_ejected(now_ms),
            };
            subset.map(status_of).collect()
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

/// Load score; lower is better. Calls in flight plus the decayed reported load, divided by the
/// share that slow start allows a new upstream.
fn score(upstream: &Upstream, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(upstream.load_reported_ms) as f64;
    let load = upstream.reported_load * 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
    let share = match upstream.joined_ms {
        Some(joined) if now_ms < joined + SLOW_START_MS => {
            let ramp = now_ms.saturating_sub(joined) as f64 / SLOW_START_MS as f64;
            ramp.max(SLOW_START_MIN_SHARE)
        }
        _ => 1.0,
    };
    (f64::from(upstream.in_flight) + 1.0 + LOAD_WEIGHT * load) / share
}
