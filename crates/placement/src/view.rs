//! All upstreams that a node knows, indexed by service. The `choice` module selects among them.

use crate::fleet_size::FleetSize;
use crate::service_keys::ServiceKeys;
use crate::{Locality, Millis, Upstream, UpstreamKey};
use mesh::{Incarnation, NodeRecord, UpstreamLoad, VersionPolicy};
use statements::{InstanceStatements, StatementReport, Statements};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const MS_PER_SECOND: f64 = 1_000.0;

/// Effect of an update on a node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// The update was outdated.
    None,
    /// The node is new, or its record was replaced.
    Changed,
}

/// All upstreams that this node knows.
#[derive(Clone, Debug)]
pub struct PlacementView {
    pub(crate) locality: Locality,
    pub(crate) upstreams: BTreeMap<UpstreamKey, Upstream>,
    /// Upstreams of each service, so that a choice evaluates no others.
    pub(crate) by_service: BTreeMap<Rc<str>, ServiceKeys>,
    /// Version policies of services whose versions are treated differently.
    policies: BTreeMap<String, VersionPolicy>,
    /// Fleet-wide limit on the calls sent to a cold upstream, calls per second, for services that
    /// have one.
    cold_rates: BTreeMap<Rc<str>, f64>,
    evacuated: BTreeSet<String>,
    /// What upstreams stated in answers to this node. Outlives their records: it binds this node
    /// also after it lost sight of an upstream, or the sidecar beside it was restarted.
    statements: InstanceStatements,
    /// Number of nodes that share the limits on cold upstreams.
    fleet: FleetSize,
}

impl PlacementView {
    /// Creates an empty view for the node at `locality`.
    pub fn new(locality: Locality) -> Self {
        PlacementView {
            locality,
            upstreams: BTreeMap::new(),
            by_service: BTreeMap::new(),
            policies: BTreeMap::new(),
            cold_rates: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            statements: InstanceStatements::default(),
            fleet: FleetSize::default(),
        }
    }

    /// Sets which versions may receive calls.
    pub fn set_policies(&mut self, policies: &[VersionPolicy]) {
        let by_service = policies.iter().map(|policy| (policy.service.clone(), policy.clone()));
        self.policies = by_service.collect();
        for upstream in self.upstreams.values_mut() {
            upstream.apply_policy(self.policies.get(&upstream.record.service));
        }
    }

    /// Sets the evacuated zones, whose upstreams receive no calls.
    pub fn set_evacuated(&mut self, zones: Vec<String>, now: Millis) {
        self.evacuated = zones.into_iter().collect();
        for upstream in self.upstreams.values_mut() {
            let evacuated = self.evacuated.contains(&upstream.record.zone);
            upstream.set_evacuated(evacuated, now);
        }
    }

    /// Whether a service has no stable upstream that may receive calls, and at least one upstream
    /// in an evacuated zone.
    pub fn is_evacuated(&self, service: &str) -> bool {
        !self.has_live(service) && self.of_service(service).any(|(_, held)| held.is_evacuated())
    }

    /// Sets the fleet-wide limit on the calls sent to a cold upstream, calls per second. Services
    /// that are not listed have no such limit.
    pub fn set_cold_rates(&mut self, rates: BTreeMap<Rc<str>, f64>) {
        self.cold_rates = rates;
    }

    /// Minimum time between two calls of this node to a cold upstream of a service, milliseconds;
    /// `None` without a limit. Each node keeps to its share, so that the fleet stays within the
    /// limit without coordination.
    pub(crate) fn cold_spacing_ms(&self, service: &str) -> Option<f64> {
        let per_s = self.cold_rates.get(service)?;
        Some(MS_PER_SECOND * self.fleet.largest() as f64 / per_s)
    }

    /// Records that a call was sent to an upstream; `answer_bytes` is the expected length of its
    /// response.
    pub fn note_sent(&mut self, key: &UpstreamKey, answer_bytes: f64, now: Millis) {
        let service = self.upstreams.get(key).map(|held| held.record.service.as_str());
        let spacing_ms = service.and_then(|service| self.cold_spacing_ms(service));
        let nodes = self.fleet.largest();
        if let Some(held) = self.upstreams.get_mut(key) {
            held.outstanding += 1;
            held.note_requested(answer_bytes.max(0.0));
            held.cold_limit_mut().note_sent(spacing_ms.unwrap_or(0.0), now);
            held.stated_limit_mut().note_sent(nodes, now);
        }
    }

    /// Records what a reply told of the statements of an upstream's incarnation, to which this node
    /// sent the call at `sent_at`; returns whether that changed anything.
    pub fn note_statements(
        &mut self,
        key: &UpstreamKey,
        incarnation: &Incarnation,
        told: StatementReport,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let changed = self.statements.note(incarnation, told, sent_at, now);
        if let Some(held) = self.upstreams.get_mut(key).filter(|_| changed) {
            set_statements(held, &self.statements, now);
        }
        changed
    }

    /// Number of nodes that share the limits on upstreams.
    pub(crate) fn sharers(&self) -> usize {
        self.fleet.largest()
    }

    /// Version policy of a service, if one is known.
    pub fn policy(&self, service: &str) -> Option<&VersionPolicy> {
        self.policies.get(service)
    }

    /// Applies a record; an older one of the same process is ignored.
    pub fn update(&mut self, record: NodeRecord, now: Millis) -> NodeChange {
        match self.upstreams.get_mut(&record.address) {
            None => {
                self.index(&record);
                let phase = cold_phase(self.locality.own(), &record.address);
                let mut upstream = Upstream::new(record, now);
                upstream.cold_limit_mut().set_phase(phase);
                upstream.stated_limit_mut().set_phase(phase);
                upstream.apply_policy(self.policies.get(&upstream.record.service));
                upstream.set_evacuated(self.evacuated.contains(&upstream.record.zone), now);
                set_statements(&mut upstream, &self.statements, now);
                self.upstreams.insert(upstream.record.address, upstream);
                self.fleet.note(self.upstreams.len(), now);
                NodeChange::Changed
            }
            Some(held) => {
                let outdated = held.record.boot_id == record.boot_id
                    && held.record.sequence >= record.sequence;
                if outdated {
                    return NodeChange::None;
                }
                let moved =
                    held.record.service != record.service || held.record.zone != record.zone;
                if moved {
                    let (former_service, address) = (held.record.service.clone(), record.address);
                    remove_from_index(&mut self.by_service, &former_service, &address);
                    self.index(&record);
                }
                if let Some(held) = self.upstreams.get_mut(&record.address) {
                    held.update(record, now);
                    held.apply_policy(self.policies.get(&held.record.service));
                    held.set_evacuated(self.evacuated.contains(&held.record.zone), now);
                    set_statements(held, &self.statements, now);
                }
                NodeChange::Changed
            }
        }
    }

    fn index(&mut self, record: &NodeRecord) {
        let distance = self.locality.distance(record);
        let service = record.service.as_str();
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), ServiceKeys::default());
        }
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.add(record.address, distance);
        }
    }

    pub(crate) fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (&UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service).into_iter().flat_map(ServiceKeys::iter);
        keys.filter_map(|key| self.upstreams.get_key_value(key))
    }

    /// Removes nodes that no coordinator lists any more, except those that recently replied to this
    /// node. If a service would lose all of its live upstreams at once, they are kept until one is
    /// listed again.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamKey) -> bool, now: Millis) {
        for (key, upstream) in &mut self.upstreams {
            upstream.set_listed(is_listed(key));
        }
        let keep = |upstream: &Upstream| upstream.is_present(now);
        let services_with_live: BTreeSet<String> = self
            .upstreams
            .values()
            .filter(|upstream| keep(upstream) && upstream.is_live())
            .map(|upstream| upstream.record.service.clone())
            .collect();
        let by_service = &mut self.by_service;
        self.upstreams.retain(|key, upstream| {
            let service = &upstream.record.service;
            let would_empty_service = upstream.is_live() && !services_with_live.contains(service);
            let kept = keep(upstream) || would_empty_service;
            if !kept {
                remove_from_index(by_service, service, key);
            }
            kept
        });
        self.fleet.note(self.upstreams.len(), now);
    }

    /// Number of known nodes.
    pub fn nodes(&self) -> usize {
        self.upstreams.len()
    }

    /// Number of upstreams that may receive calls, and number of the others.
    pub fn live_and_others(&self) -> (usize, usize) {
        let live = self.upstreams.values().filter(|held| held.is_live()).count();
        (live, self.upstreams.len() - live)
    }

    /// Returns an upstream.
    pub fn get(&self, key: &UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns an upstream for modification.
    pub fn get_mut(&mut self, key: &UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Records the reported load of an upstream; unknown upstreams are ignored.
    pub fn note_load(&mut self, key: &UpstreamKey, load: UpstreamLoad, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.note_load(load, now);
        }
    }

    /// Whether a service has a stable upstream that may receive calls.
    pub fn has_live(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, held)| held.is_stable())
    }

    /// Estimated fraction of free slots of a service, 0 to 1; `None` unless more than half of its
    /// live upstreams reported their load recently.
    pub fn free_slot_fraction(&self, service: &str, now: Millis) -> Option<f64> {
        let (mut live, mut reported, mut slots, mut free) = (0, 0, 0.0, 0.0);
        for (_, held) in self.of_service(service).filter(|(_, held)| held.is_stable()) {
            live += 1;
            if let Some(free_slots) = held.free_slots(now) {
                reported += 1;
                slots += f64::from(held.limit());
                free += free_slots;
            }
        }
        let is_majority = reported * 2 > live;
        is_majority.then(|| free / slots)
    }

    /// Earliest time at which an upstream of a service that recently refused a call may be retried.
    pub fn earliest_retry_at(&self, service: &str, now: Millis) -> Option<Millis> {
        let live = self.of_service(service).filter(|(_, held)| held.is_stable());
        live.filter_map(|(_, held)| held.retry_at(now)).min()
    }

    pub(crate) fn must_offer(&self, upstream: &Upstream, body_bytes: usize) -> bool {
        upstream.is_offered(body_bytes, self.locality.link_bytes_per_ms())
    }

    /// Whether a body of this length must first be offered to an upstream, since it would occupy
    /// one of the two links for long. The upstream's sidecar grants it when its link has capacity.
    pub fn is_offered(&self, key: &UpstreamKey, body_bytes: usize) -> bool {
        let is_remote = key != self.locality.own();
        is_remote && self.get(key).is_some_and(|upstream| self.must_offer(upstream, body_bytes))
    }
}

/// Offset of this node's first call to a cold upstream, as a fraction of the spacing, 0 to 1. It is
/// derived from both addresses, so that the nodes' calls are spread over the spacing.
fn cold_phase(own: &UpstreamKey, upstream: &UpstreamKey) -> f64 {
    let bits = |key: &UpstreamKey| u64::from(key.ip.to_bits()) ^ u64::from(key.port) << 32;
    let seed = bits(own).rotate_left(32) ^ bits(upstream);
    fastrand::Rng::with_seed(seed).f64()
}

/// Applies what the present incarnation of an upstream has stated.
fn set_statements(upstream: &mut Upstream, statements: &InstanceStatements, now: Millis) {
    let incarnation = upstream.incarnation();
    let stated = incarnation.map_or_else(Statements::default, |present| statements.of(&present));
    upstream.set_statements(stated, now);
}

fn remove_from_index(
    by_service: &mut BTreeMap<Rc<str>, ServiceKeys>,
    service: &str,
    key: &UpstreamKey,
) {
    if let Some(keys) = by_service.get_mut(service) {
        keys.remove(key);
        if keys.is_empty() {
            by_service.remove(service);
        }
    }
}
