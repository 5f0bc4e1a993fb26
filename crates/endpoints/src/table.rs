//! A relay's table of all endpoints, which serves the changes since any sequence number.

use crate::{Endpoint, EndpointKey, EndpointState, EndpointUpdate};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tombstones kept, which let incremental updates list removed endpoints, and
/// preserve the state of a removed incarnation.
const MAX_TOMBSTONES: usize = 8_192;
/// Maximum number of leaving marks kept for peers.
const MAX_MARKS: usize = 8_192;

/// Marks an incarnation of a back end as leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct LeavingMark {
    /// Key of the back end.
    pub key: EndpointKey,
    /// Incarnation that is leaving.
    pub incarnation: u64,
}

/// Protection against removing many endpoints at once because of an incomplete platform list.
#[derive(Clone, Copy, Debug)]
pub struct MassExpiryGuard {
    /// Percentage of a service's live endpoints that may be missing from one reading of the list.
    pub max_vanished_percent: usize,
    /// Number of consecutive readings that must show a larger loss before it is accepted.
    pub confirmations: u32,
}

impl Default for MassExpiryGuard {
    fn default() -> Self {
        MassExpiryGuard { max_vanished_percent: 50, confirmations: 60 }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Tombstone {
    incarnation: u64,
    state: EndpointState,
    sequence: u64,
}

/// All endpoints that one relay knows.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    epoch: u64,
    sequence: u64,
    entries: BTreeMap<EndpointKey, Entry>,
    tombstones: BTreeMap<EndpointKey, Tombstone>,
    /// Latest change of each entry and tombstone by sequence number, so that an update reads only
    /// the new changes instead of the whole table.
    changes: BTreeMap<u64, EndpointKey>,
    pruned_through: u64,
    marks: BTreeMap<LeavingMark, u64>,
    guard: MassExpiryGuard,
    suspicious_readings: BTreeMap<String, u32>,
    subscribers: BTreeMap<String, u32>,
    subscribers_sequence: u64,
}

impl EndpointTable {
    /// Creates an empty table; `epoch` must differ between starts of a relay.
    pub fn new(epoch: u64, guard: MassExpiryGuard) -> Self {
        EndpointTable {
            epoch,
            sequence: 0,
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            changes: BTreeMap::new(),
            pruned_through: 0,
            marks: BTreeMap::new(),
            guard,
            suspicious_readings: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            subscribers_sequence: 0,
        }
    }

    /// Identifies the process that the sequence numbers belong to.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sequence number of the latest change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Merges one reading of the platform's list.
    pub fn merge_list(&mut self, listed: &[Endpoint]) {
        for endpoint in listed {
            self.merge(endpoint.clone());
        }
        let present: BTreeSet<&EndpointKey> = listed.iter().map(|endpoint| &endpoint.key).collect();
        let missing: Vec<EndpointKey> =
            self.entries.keys().filter(|key| !present.contains(key)).cloned().collect();
        self.remove_missing(missing);
    }

    fn merge(&mut self, mut endpoint: Endpoint) {
        if let Some(tombstone) = self.tombstones.get(&endpoint.key) {
            if endpoint.incarnation < tombstone.incarnation {
                return;
            }
            if endpoint.incarnation == tombstone.incarnation {
                endpoint.state = endpoint.state.max(tombstone.state);
            }
        }
        let mark = LeavingMark { key: endpoint.key.clone(), incarnation: endpoint.incarnation };
        if self.marks.contains_key(&mark) {
            endpoint.state = EndpointState::Leaving;
        }
        if let Some(held) = self.entries.get(&endpoint.key) {
            if endpoint.incarnation < held.endpoint.incarnation {
                return;
            }
            if endpoint.incarnation == held.endpoint.incarnation {
                endpoint.state = endpoint.state.max(held.endpoint.state);
            }
            if held.endpoint == endpoint {
                return;
            }
        }
        let key = endpoint.key.clone();
        let sequence = self.record_change(&key);
        self.tombstones.remove(&key);
        self.entries.insert(key, Entry { endpoint, sequence });
    }

    /// Assigns a new sequence number to a change of `key`, which replaces its previous change.
    fn record_change(&mut self, key: &EndpointKey) -> u64 {
        let entry = self.entries.get(key).map(|entry| entry.sequence);
        let tombstone = self.tombstones.get(key).map(|tombstone| tombstone.sequence);
        for earlier in entry.into_iter().chain(tombstone) {
            self.changes.remove(&earlier);
        }
        self.sequence += 1;
        self.changes.insert(self.sequence, key.clone());
        self.sequence
    }

    /// Removes endpoints missing from the list, unless too many of a service are missing at once.
    fn remove_missing(&mut self, missing: Vec<EndpointKey>) {
        let mut by_service: BTreeMap<String, Vec<EndpointKey>> = BTreeMap::new();
        for key in missing {
            by_service.entry(key.service.clone()).or_default().push(key);
        }
        self.suspicious_readings.retain(|service, _| by_service.contains_key(service));
        for (service, keys) in by_service {
            if self.is_loss_accepted(&service, &keys) {
                self.suspicious_readings.remove(&service);
                keys.into_iter().for_each(|key| self.remove(key));
            }
        }
    }

    fn is_loss_accepted(&mut self, service: &str, missing: &[EndpointKey]) -> bool {
        let live = |key: &&EndpointKey| {
            self.entries.get(*key).is_some_and(|entry| entry.endpoint.state == EndpointState::Live)
        };
        let lost = missing.iter().filter(live).count();
        let total = self.entries.keys().filter(|key| key.service == service).filter(live).count();
        if lost * 100 <= total * self.guard.max_vanished_percent {
            return true;
        }
        let readings = self.suspicious_readings.entry(service.to_owned()).or_default();
        *readings += 1;
        *readings >= self.guard.confirmations
    }

    fn remove(&mut self, key: EndpointKey) {
        if !self.entries.contains_key(&key) {
            return;
        }
        let sequence = self.record_change(&key);
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        let tombstone = Tombstone {
            incarnation: entry.endpoint.incarnation,
            state: entry.endpoint.state,
            sequence,
        };
        self.tombstones.insert(key, tombstone);
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.prune_oldest_tombstone();
        }
    }

    fn prune_oldest_tombstone(&mut self) {
        let oldest = self.tombstones.iter().min_by_key(|(_, tombstone)| tombstone.sequence);
        let Some((key, sequence)) = oldest.map(|(key, found)| (key.clone(), found.sequence)) else {
            return;
        };
        self.tombstones.remove(&key);
        self.changes.remove(&sequence);
        self.pruned_through = self.pruned_through.max(sequence);
    }

    /// Records that an incarnation is leaving; returns whether that was new.
    pub fn mark_leaving(&mut self, mark: LeavingMark) -> bool {
        if self.marks.contains_key(&mark) {
            return false;
        }
        self.sequence += 1;
        self.marks.insert(mark.clone(), self.sequence);
        if self.marks.len() > MAX_MARKS {
            let oldest = self.marks.iter().min_by_key(|(_, sequence)| **sequence);
            if let Some(oldest) = oldest.map(|(mark, _)| mark.clone()) {
                self.marks.remove(&oldest);
            }
        }
        let held = self.entries.get(&mark.key).map(|entry| entry.endpoint.incarnation);
        if held.is_some_and(|incarnation| incarnation <= mark.incarnation) {
            let sequence = self.record_change(&mark.key);
            if let Some(entry) = self.entries.get_mut(&mark.key) {
                entry.endpoint.incarnation = mark.incarnation;
                entry.endpoint.state = EndpointState::Leaving;
                entry.sequence = sequence;
            }
        }
        true
    }

    /// Leaving marks newer than `sequence`, for a peer.
    pub fn marks_since(&self, sequence: u64) -> Vec<LeavingMark> {
        let newer = self.marks.iter().filter(|(_, at)| **at > sequence);
        newer.map(|(mark, _)| mark.clone()).collect()
    }

    /// Sets the number of proxies that subscribe to each service.
    pub fn set_subscribers(&mut self, counts: BTreeMap<String, u32>) {
        let rounded: BTreeMap<String, u32> = counts
            .into_iter()
            .map(|(service, count)| (service, count.next_power_of_two()))
            .collect();
        if rounded != self.subscribers {
            self.sequence += 1;
            self.subscribers = rounded;
            self.subscribers_sequence = self.sequence;
        }
    }

    /// Update that a reader at `(epoch, sequence)` needs for some services; `None` if nothing of
    /// theirs changed.
    pub fn update_since(
        &self,
        epoch: u64,
        sequence: u64,
        services: &BTreeSet<String>,
    ) -> Option<EndpointUpdate> {
        // A table that was never filled must not report an empty list of endpoints.
        if self.sequence == 0 {
            return None;
        }
        let full = epoch != self.epoch || sequence < self.pruned_through || sequence == 0;
        let since = if full { 0 } else { sequence };
        let wanted = |key: &EndpointKey| services.contains(&key.service);
        let newer =
            || self.changes.range(since + 1..).map(|(_, key)| key).filter(|key| wanted(key));
        let entries = newer().filter_map(|key| self.entries.get(key));
        let changed: Vec<Endpoint> = entries.map(|entry| entry.endpoint.clone()).collect();
        let tombstoned = newer().filter(|key| !full && self.tombstones.contains_key(key));
        let removed: Vec<EndpointKey> = tombstoned.cloned().collect();
        let subscribers = match self.subscribers_sequence > since {
            true => self.subscribers_of(services),
            false => Vec::new(),
        };
        if !full && changed.is_empty() && removed.is_empty() && subscribers.is_empty() {
            return None;
        }
        let (epoch, sequence) = (self.epoch, self.sequence);
        Some(EndpointUpdate { epoch, sequence, full, changed, removed, subscribers })
    }

    fn subscribers_of(&self, services: &BTreeSet<String>) -> Vec<(String, u32)> {
        let wanted = self.subscribers.iter().filter(|(service, _)| services.contains(*service));
        wanted.map(|(service, count)| (service.clone(), *count)).collect()
    }
}
