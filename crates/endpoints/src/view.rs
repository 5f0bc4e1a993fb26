//! A proxy's view of the endpoints its routes use.

use crate::{Endpoint, EndpointKey, EndpointState, EndpointUpdate, LeavingMark};
use std::collections::{BTreeMap, BTreeSet};

/// Own leaving marks kept; older ones were long taken over by the relays.
const MAX_OWN_MARKS: usize = 1_024;

/// What a proxy knows, from any relay and from its own calls.
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
    /// The relay and its sequence up to which this view is complete.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }

    /// Rises with every change of the content.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Makes the next update a full one, after the set of services changed.
    pub fn forget_position(&mut self) {
        self.sequence = 0;
    }

    /// Takes an update in.
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
        // A service that a (restarted) relay knows nothing of yet keeps its last known set.
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

    /// Takes in what an own call or the own node says: this back end leaves. Returns the mark to
    /// report, if it is news.
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

    /// Marks this proxy observed itself; told again to every relay it connects to.
    pub fn own_marks(&self) -> Vec<LeavingMark> {
        self.own_marks.iter().cloned().collect()
    }

    /// Live endpoints of a service.
    pub fn live<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.key.service == service && endpoint.state == EndpointState::Live
        })
    }

    /// All endpoints known, leaving ones included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of proxies that use a service, at least 1.
    pub fn subscribers(&self, service: &str) -> u32 {
        self.subscribers.get(service).copied().unwrap_or(1).max(1)
    }
}
