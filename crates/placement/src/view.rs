//! All upstreams that a node knows, by service; the choice among them is in `choice`.

use crate::fleet_size::FleetSize;
use crate::service_keys::ServiceKeys;
use crate::{Locality, Millis, Upstream, UpstreamKey};
use mesh::{NodeRecord, UpstreamLoad, VersionPolicy};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What changed about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// Nothing.
    None,
    /// It is new, or its state is another.
    Changed,
}

/// Every upstream this node knows.
#[derive(Clone, Debug)]
pub struct PlacementView {
    pub(crate) locality: Locality,
    pub(crate) upstreams: BTreeMap<UpstreamKey, Upstream>,
    /// Which of them run each service; a choice looks at no others.
    pub(crate) by_service: BTreeMap<Rc<str>, ServiceKeys>,
    /// Services with versions that are not all alike.
    policies: BTreeMap<String, VersionPolicy>,
    /// What cold upstreams of some services are given by all nodes together, calls a second.
    cold_rates: BTreeMap<Rc<str>, f64>,
    evacuated: BTreeSet<String>,
    /// Who shares what cold upstreams are given.
    fleet: FleetSize,
}

impl PlacementView {
    /// An empty view of the node at `locality`.
    pub fn new(locality: Locality) -> Self {
        PlacementView {
            locality,
            upstreams: BTreeMap::new(),
            by_service: BTreeMap::new(),
            policies: BTreeMap::new(),
            cold_rates: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            fleet: FleetSize::default(),
        }
    }

    /// Takes in which versions of upstreams may be given calls.
    pub fn set_policies(&mut self, policies: &[VersionPolicy]) {
        let by_service = policies.iter().map(|policy| (policy.service.clone(), policy.clone()));
        self.policies = by_service.collect();
        for upstream in self.upstreams.values_mut() {
            upstream.apply_policy(self.policies.get(&upstream.record.service));
        }
    }

    /// Takes in which zones are evacuated: their upstreams are given no calls.
    pub fn set_evacuated(&mut self, zones: Vec<String>, now: Millis) {
        self.evacuated = zones.into_iter().collect();
        for upstream in self.upstreams.values_mut() {
            let evacuated = self.evacuated.contains(&upstream.record.zone);
            upstream.set_evacuated(evacuated, now);
        }
    }

    /// Whether upstreams of a service are there, and all that would be given calls are in evacuated
    /// zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        !self.has_live(service) && self.of_service(service).any(|(_, held)| held.is_evacuated())
    }

    /// Takes in what cold upstreams are given by all nodes together, calls a second; of services that
    /// are not named, as much as others.
    pub fn set_cold_rates(&mut self, rates: BTreeMap<Rc<str>, f64>) {
        self.cold_rates = rates;
    }

    /// This node's part of what a cold upstream of a service is given: the time from one call of it
    /// to the next, milliseconds. Each node keeps to its part, so that all together send a cold
    /// upstream what it bears; nothing has to be told, and no sender has to know of another.
    pub(crate) fn cold_spacing_ms(&self, service: &str) -> Option<f64> {
        let per_s = self.cold_rates.get(service)?;
        Some(MILLIS_PER_SECOND * self.fleet.largest() as f64 / per_s)
    }

    /// Notes that a call is sent to an upstream, whose like are answered with so many bytes.
    pub fn note_sent(&mut self, key: &UpstreamKey, answer_bytes: f64, now: Millis) {
        let service = self.upstreams.get(key).map(|held| held.record.service.as_str());
        let spacing_ms = service.and_then(|service| self.cold_spacing_ms(service));
        if let Some(held) = self.upstreams.get_mut(key) {
            held.outstanding += 1;
            held.note_asked(answer_bytes.max(0.0));
            held.cold_part_mut().note_sent(spacing_ms.unwrap_or(0.0), now);
        }
    }

    /// What is known of the versions of a service.
    pub fn policy(&self, service: &str) -> Option<&VersionPolicy> {
        self.policies.get(service)
    }

    /// Takes in a record; an older one of the same life changes nothing.
    pub fn update(&mut self, record: NodeRecord, now: Millis) -> NodeChange {
        match self.upstreams.get_mut(&record.address) {
            None => {
                self.index(&record);
                let phase = cold_phase(self.locality.own(), &record.address);
                let mut upstream = Upstream::new(record, now);
                upstream.cold_part_mut().set_phase(phase);
                upstream.apply_policy(self.policies.get(&upstream.record.service));
                upstream.set_evacuated(self.evacuated.contains(&upstream.record.zone), now);
                self.upstreams.insert(upstream.record.address, upstream);
                self.fleet.note(self.upstreams.len(), now);
                NodeChange::Changed
            }
            Some(held) => {
                let older = held.record.boot_id == record.boot_id
                    && held.record.sequence >= record.sequence;
                if older {
                    return NodeChange::None;
                }
                let moved =
                    held.record.service != record.service || held.record.zone != record.zone;
                if moved {
                    let (former, address) = (held.record.service.clone(), record.address);
                    remove_from_index(&mut self.by_service, &former, &address);
                    self.index(&record);
                }
                if let Some(held) = self.upstreams.get_mut(&record.address) {
                    held.update(record, now);
                    held.apply_policy(self.policies.get(&held.record.service));
                    held.set_evacuated(self.evacuated.contains(&held.record.zone), now);
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

    /// Removes the nodes that no coordinator lists any more, but for those that answer this node
    /// all the same. If a service would lose all of its live upstreams at once, they stay until
    /// one returns.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamKey) -> bool, now: Millis) {
        for (key, upstream) in &mut self.upstreams {
            upstream.set_listed(is_listed(key));
        }
        let keep = |upstream: &Upstream| upstream.is_present(now);
        let remaining: BTreeSet<String> = self
            .upstreams
            .values()
            .filter(|upstream| keep(upstream) && upstream.is_live())
            .map(|upstream| upstream.record.service.clone())
            .collect();
        let by_service = &mut self.by_service;
        self.upstreams.retain(|key, upstream| {
            let service = &upstream.record.service;
            let last = upstream.is_live() && !remaining.contains(service);
            let kept = keep(upstream) || last;
            if !kept {
                remove_from_index(by_service, service, key);
            }
            kept
        });
        self.fleet.note(self.upstreams.len(), now);
    }

    /// Number of nodes known.
    pub fn nodes(&self) -> usize {
        self.upstreams.len()
    }

    /// Upstreams that may be given calls, and the others.
    pub fn live_and_others(&self) -> (usize, usize) {
        let live = self.upstreams.values().filter(|held| held.is_live()).count();
        (live, self.upstreams.len() - live)
    }

    /// One upstream.
    pub fn get(&self, key: &UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// One upstream, to note something of it.
    pub fn get_mut(&mut self, key: &UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Takes in how busy an upstream was a moment ago; one that is not known is passed over.
    pub fn note_load(&mut self, key: &UpstreamKey, load: UpstreamLoad, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.note_load(load, now);
        }
    }

    /// Whether a service has an upstream that may be given calls.
    pub fn has_live(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, held)| held.is_stable())
    }

    /// Part of the slots of a service that is free for all that was heard of late, 0 to 1; `None` if
    /// too little was heard to tell.
    pub fn free_slot_fraction(&self, service: &str, now: Millis) -> Option<f64> {
        let (mut live, mut heard, mut slots, mut free) = (0, 0, 0.0, 0.0);
        for (_, held) in self.of_service(service).filter(|(_, held)| held.is_stable()) {
            live += 1;
            if let Some(free_slots) = held.free_slots(now) {
                heard += 1;
                slots += f64::from(held.limit());
                free += free_slots;
            }
        }
        let enough = heard * 2 > live;
        enough.then(|| free / slots)
    }

    /// When the first of the upstreams of a service that lately refused is expected to have room.
    pub fn earliest_retry_at(&self, service: &str, now: Millis) -> Option<Millis> {
        let live = self.of_service(service).filter(|(_, held)| held.is_stable());
        live.filter_map(|(_, held)| held.room_at(now)).min()
    }

    pub(crate) fn offers(&self, upstream: &Upstream, body_bytes: usize) -> bool {
        upstream.is_offered(body_bytes, self.locality.link_bytes_per_ms())
    }

    /// Whether a body of this length is only offered to an upstream at first, since it would occupy
    /// one of the two links for long; the sidecar there grants it when its link has room.
    pub fn is_offered(&self, key: &UpstreamKey, body_bytes: usize) -> bool {
        let elsewhere = key != self.locality.own();
        elsewhere && self.get(key).is_some_and(|upstream| self.offers(upstream, body_bytes))
    }
}

/// When the first part of a cold upstream comes to a node, as a part of the time between two, 0 to 1:
/// drawn from both addresses, so that the parts of all nodes are spread over that time.
fn cold_phase(own: &UpstreamKey, upstream: &UpstreamKey) -> f64 {
    let bits = |key: &UpstreamKey| u64::from(key.ip.to_bits()) ^ u64::from(key.port) << 32;
    let seed = bits(own).rotate_left(32) ^ bits(upstream);
    fastrand::Rng::with_seed(seed).f64()
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
