//! A proxy's view of the endpoints that its routes use.

use crate::{Endpoint, EndpointKey, EndpointState, EndpointUpdate, LeavingMark};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of own leaving marks kept. Older ones have long reached the relays.
const MAX_OWN_MARKS: usize = 1_024;

/// Endpoints known to a proxy, from any relay and from its own calls.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    epoch: u64,
    sequence: u64,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    own_marks: BTreeSet<LeavingMark>,
    subscribers: BTreeMap<String, u32>,
    revision: u64,
}

impl EndpointView {
    /// Epoch of the relay, and the sequence number up to which this view reflects its table.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }

    /// Increases with every change of the content.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Resets the position so that the next update is a full one, after the set of services
    /// changed.
    pub fn forget_position(&mut self) {
        self.sequence = 0;
    }

    /// Applies an update; an incremental one from another epoch is ignored.
    pub fn apply(&mut self, update: EndpointUpdate) {
        if update.full {
            self.apply_full(update);
        } else if update.epoch == self.epoch {
            self.apply_changes(update);
        }
    }

    fn apply_full(&mut self, update: EndpointUpdate) {
        let listed: BTreeSet<EndpointKey> =
            update.changed.iter().map(|endpoint| endpoint.key.clone()).collect();
        let services: BTreeSet<String> = listed.iter().map(|key| key.service.clone()).collect();
        // A service without endpoints in the update keeps its last known ones: a restarted relay
        // may not have learned of them yet.
        self.endpoints.retain(|key, _| listed.contains(key) || !services.contains(&key.service));
        self.apply_changes(update);
    }

    fn apply_changes(&mut self, update: EndpointUpdate) {
        self.epoch = update.epoch;
        self.sequence = update.sequence;
        self.revision += 1;
        for key in &update.removed {
            self.endpoints.remove(key);
        }
        for endpoint in update.changed {
            self.merge(endpoint);
        }
        self.subscribers.extend(update.subscribers);
    }

    fn merge(&mut self, mut endpoint: Endpoint) {
        let mark = LeavingMark { key: endpoint.key.clone(), incarnation: endpoint.incarnation };
        if self.own_marks.contains(&mark) {
            endpoint.state = EndpointState::Leaving;
        }
        if let Some(held) = self.endpoints.get(&endpoint.key) {
            if endpoint.incarnation < held.incarnation {
                return;
            }
            if endpoint.incarnation == held.incarnation {
                endpoint.state = endpoint.state.max(held.state);
            }
        }
        self.endpoints.insert(endpoint.key.clone(), endpoint);
    }

    /// Records that a back end is leaving, as observed by an own call or reported by the own node.
    /// Returns the mark to report to relays, if it is new.
    pub fn observe_leaving(&mut self, key: &EndpointKey) -> Option<LeavingMark> {
        let endpoint = self.endpoints.get_mut(key)?;
        let mark = LeavingMark { key: key.clone(), incarnation: endpoint.incarnation };
        if !self.own_marks.insert(mark.clone()) {
            return None;
        }
        if self.own_marks.len() > MAX_OWN_MARKS {
            self.own_marks.pop_first();
        }
        endpoint.state = EndpointState::Leaving;
        self.revision += 1;
        Some(mark)
    }

    /// Leaving marks that this proxy observed itself; it reports them to every relay that it
    /// connects to.
    pub fn own_marks(&self) -> Vec<LeavingMark> {
        self.own_marks.iter().cloned().collect()
    }

    /// Live endpoints of a service.
    pub fn live<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.key.service == service && endpoint.state == EndpointState::Live
        })
    }

    /// All known endpoints, including leaving ones.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of proxies that subscribe to a service, at least 1.
    pub fn subscribers(&self, service: &str) -> u32 {
        self.subscribers.get(service).copied().unwrap_or(1).max(1)
    }
}
