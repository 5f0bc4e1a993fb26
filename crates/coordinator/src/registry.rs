//! The registry of sidecars and their upstreams: soft state under leases, without I/O.
//!
//! A sidecar counts as heard directly while messages arrive on its own link. A sidecar that is only
//! disconnected from this coordinator stays listed as long as another coordinator reports it.

use crate::departures::{Departures, Source};
use crate::Millis;
use mesh::{HeardNode, KnownDeparture, NodeAddress, NodeRecord, RegistryEntry};
use std::collections::{BTreeMap, VecDeque};
use tracing::info;

/// Number of removals kept for readers that are behind; one that is further behind receives the
/// complete list.
const MAX_REMOVED: usize = 1_024;
/// Time for which the last record of a removed sidecar is kept for its return, milliseconds.
const LAST_RECORD_TTL_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct ListedNode {
    record: NodeRecord,
    /// When the record was received; the remaining cold time of its upstream counts from then.
    received_at: Millis,
    /// When the sidecar was last heard from, directly or by another coordinator.
    last_heard_at: Millis,
    /// When the sidecar was last heard from on its own link; `None` while it is not connected.
    last_heard_directly_at: Option<Millis>,
    changed_at: u64,
}

impl ListedNode {
    /// The record as of `now`.
    fn with_age(&self, now: Millis) -> NodeRecord {
        with_age(self.record.clone(), self.received_at, now)
    }

    fn is_heard_directly(&self, limit_ms: u64, now: Millis) -> bool {
        self.last_heard_directly_at.is_some_and(|at| now < at + limit_ms)
    }
}

/// Changes since a reader's position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// The new position.
    pub position: u64,
    /// Whether `changed` is the complete list, so that all other nodes are gone.
    pub whole: bool,
    /// New or changed records.
    pub changed: Vec<NodeRecord>,
    /// Removed nodes.
    pub gone: Vec<NodeAddress>,
}

/// All sidecars known to one coordinator.
#[derive(Clone, Debug)]
pub struct Registry {
    lease_ms: u64,
    /// The latest time passed to `report`, `merge_from_peer` or `expire`.
    now: Millis,
    position: u64,
    nodes: BTreeMap<NodeAddress, ListedNode>,
    gone: VecDeque<(u64, NodeAddress)>,
    last_records: BTreeMap<NodeAddress, (NodeRecord, Millis)>,
    /// Sidecar processes whose last link to this coordinator ended, and the last contact on it.
    ended_links: BTreeMap<NodeAddress, (u64, Millis)>,
    departures: Departures,
}

impl Registry {
    /// An empty registry.
    pub fn new(lease_ms: u64) -> Self {
        Registry {
            lease_ms,
            now: 0,
            position: 0,
            nodes: BTreeMap::new(),
            gone: VecDeque::new(),
            last_records: BTreeMap::new(),
            ended_links: BTreeMap::new(),
            departures: Departures::default(),
        }
    }

    /// The departures known here.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Adds departures that were read from disk or received from another coordinator; returns whether
    /// any of them was new.
    pub fn add_departures(
        &mut self,
        departures: Vec<KnownDeparture>,
        source: Source,
        now: Millis,
    ) -> bool {
        let mut changed = false;
        for departure in departures {
            changed |= self.departures.note(departure, source, now);
        }
        changed
    }

    /// The last known record of a node, with the leaving state of its incarnation applied.
    pub fn last_record(&self, address: &NodeAddress) -> Option<NodeRecord> {
        let listed = self.nodes.get(address).map(|listed| (&listed.record, listed.received_at));
        let listed = listed.filter(|(record, _)| record.instance.is_some());
        let last =
            self.last_records.get(address).map(|(record, received_at)| (record, *received_at));
        let (record, received_at) = listed.or(last)?;
        let mut record = with_age(record.clone(), received_at, self.now);
        self.apply_leaving_state(&mut record);
        Some(record)
    }

    /// Time since the last contact with a sidecar process, if its last link ended and it was not heard
    /// of afterwards.
    pub fn ended_ms(&self, address: &NodeAddress, boot_id: u64, now: Millis) -> Option<u64> {
        let (ended, at) = self.ended_links.get(address)?;
        (*ended == boot_id).then(|| now.saturating_sub(*at))
    }

    /// Handles a report of a sidecar; returns whether readers must be notified.
    pub fn report(&mut self, mut record: NodeRecord, now: Millis) -> bool {
        self.now = self.now.max(now);
        self.ended_links.remove(&record.address);
        self.apply_leaving_state(&mut record);
        self.departures.note_record(&record, Source::Own, now);
        if record.instance.is_some() {
            self.last_records.insert(record.address, (record.clone(), now));
        }
        if let Some(listed) = self.nodes.get_mut(&record.address) {
            listed.last_heard_at = now;
            listed.last_heard_directly_at = Some(now);
            let is_old = listed.record.boot_id == record.boot_id
                && listed.record.sequence >= record.sequence;
            if is_old {
                return false;
            }
        }
        self.insert(record, now, now, Some(now));
        true
    }

    fn insert(
        &mut self,
        record: NodeRecord,
        received_at: Millis,
        last_heard_at: Millis,
        last_heard_directly_at: Option<Millis>,
    ) {
        self.position += 1;
        let address = record.address;
        self.ended_links.remove(&address);
        let changed_at = self.position;
        let listed =
            ListedNode { record, received_at, last_heard_at, last_heard_directly_at, changed_at };
        self.nodes.insert(address, listed);
        self.gone.retain(|(_, gone)| *gone != address);
    }

    /// Merges a record that another coordinator received directly; returns whether readers must be
    /// notified. A record of a sidecar that is heard directly here, or was heard from more recently
    /// here, is never replaced by one with another boot id, because boot ids have no order.
    pub fn merge_from_peer(&mut self, heard: HeardNode, now: Millis) -> bool {
        self.now = self.now.max(now);
        let last_heard_at = now.saturating_sub(u64::from(heard.silent_ms));
        if last_heard_at + self.lease_ms < now {
            return false;
        }
        let mut record = heard.record;
        self.apply_leaving_state(&mut record);
        let direct_timeout_ms = self.direct_timeout_ms();
        let mut last_heard_directly_at = None;
        if let Some(listed) = self.nodes.get_mut(&record.address) {
            let same_boot = listed.record.boot_id == record.boot_id;
            let heard_later_here = listed.last_heard_at >= last_heard_at;
            if !same_boot && (heard_later_here || listed.is_heard_directly(direct_timeout_ms, now))
            {
                return false;
            }
            listed.last_heard_at = listed.last_heard_at.max(last_heard_at);
            if same_boot {
                last_heard_directly_at = listed.last_heard_directly_at;
                if listed.record.sequence >= record.sequence {
                    return false;
                }
            }
        }
        self.departures.note_record(&record, Source::Peer, now);
        if record.instance.is_some() {
            self.last_records.insert(record.address, (record.clone(), now));
        }
        self.insert(record, now, last_heard_at, last_heard_directly_at);
        true
    }

    /// Time without direct messages after which a sidecar no longer counts as heard directly.
    fn direct_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }

    /// Record versions of the sidecars that are heard directly here.
    pub fn heard_entries(&self, now: Millis) -> impl Iterator<Item = RegistryEntry> + '_ {
        let limit_ms = self.direct_timeout_ms();
        let heard =
            self.nodes.values().filter(move |listed| listed.is_heard_directly(limit_ms, now));
        heard.map(|listed| RegistryEntry::of(&listed.record))
    }

    /// Whether a record version that another coordinator lists is missing here. A sidecar that is
    /// heard directly here sends its records itself.
    pub fn needs_record(&self, entry: &RegistryEntry, now: Millis) -> bool {
        let Some(listed) = self.nodes.get(&entry.address) else {
            return true;
        };
        match listed.record.boot_id == entry.boot_id {
            true => listed.record.sequence < entry.sequence,
            false => !listed.is_heard_directly(self.direct_timeout_ms(), now),
        }
    }

    /// Renews the lease of a sidecar that another coordinator heard from within half a lease.
    pub fn renew(&mut self, entry: &RegistryEntry, now: Millis) {
        let last_heard_at = now.saturating_sub(self.direct_timeout_ms());
        if let Some(listed) = self.nodes.get_mut(&entry.address) {
            if listed.record.boot_id == entry.boot_id {
                listed.last_heard_at = listed.last_heard_at.max(last_heard_at);
            }
        }
    }

    /// Removes a sidecar to which no coordinator is connected any more, if it announced that it
    /// stops; returns whether it did.
    pub fn remove_stopped(&mut self, address: &NodeAddress, now: Millis) -> bool {
        let limit_ms = self.direct_timeout_ms();
        let is_gone = |listed: &ListedNode| {
            listed.record.stopping && !listed.is_heard_directly(limit_ms, now)
        };
        let stopped = self.nodes.get(address).is_some_and(is_gone);
        if stopped {
            info!(node = %address, "node_left");
            self.remove(*address);
        }
        stopped
    }

    /// The records of those of `nodes` that are heard directly here.
    pub fn heard(&self, nodes: &[NodeAddress], now: Millis) -> Vec<HeardNode> {
        nodes.iter().filter_map(|address| self.heard_directly(address, now)).collect()
    }

    fn heard_directly(&self, address: &NodeAddress, now: Millis) -> Option<HeardNode> {
        let listed = self.nodes.get(address)?;
        let at = listed.last_heard_directly_at.filter(|at| now < at + self.direct_timeout_ms())?;
        let silent_ms = now.saturating_sub(at) as u32;
        Some(HeardNode { record: listed.with_age(now), silent_ms })
    }

    /// Renews the lease of a sidecar that was heard from directly.
    pub fn alive(&mut self, address: &NodeAddress, boot_id: u64, now: Millis) {
        if let Some(listed) =
            self.nodes.get_mut(address).filter(|listed| listed.record.boot_id == boot_id)
        {
            listed.last_heard_at = now;
            listed.last_heard_directly_at = Some(now);
            self.ended_links.remove(address);
        }
    }

    /// Notes that the link of a sidecar process ended: everything that the process sent on it before
    /// `contact_at` has arrived.
    pub fn link_ended(&mut self, address: &NodeAddress, boot_id: u64, contact_at: Millis) {
        if self.nodes.get(address).is_some_and(|listed| listed.record.boot_id == boot_id) {
            self.ended_links.insert(*address, (boot_id, contact_at));
        }
    }

    /// Handles the end of the connection of a sidecar process; returns whether the node was
    /// removed.
    pub fn disconnected(&mut self, address: &NodeAddress, boot_id: u64) -> bool {
        let Some(listed) =
            self.nodes.get_mut(address).filter(|listed| listed.record.boot_id == boot_id)
        else {
            return false;
        };
        listed.last_heard_directly_at = None;
        let stopping = listed.record.stopping;
        if stopping {
            info!(node = %address, "node_left");
            self.remove(*address);
        }
        stopping
    }

    /// Removes the nodes whose lease expired; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.now = self.now.max(now);
        let is_expired = |listed: &ListedNode| listed.last_heard_at + self.lease_ms < now;
        let expired: Vec<NodeAddress> = self
            .nodes
            .iter()
            .filter(|(_, listed)| is_expired(listed))
            .map(|(key, _)| *key)
            .collect();
        for address in &expired {
            let silent_ms =
                self.nodes.get(address).map(|listed| now.saturating_sub(listed.last_heard_at));
            info!(node = %address, ?silent_ms, lease_ms = self.lease_ms, "node_lease_ended");
            self.remove(*address);
        }
        self.last_records.retain(|_, (_, received_at)| now < *received_at + LAST_RECORD_TTL_MS);
        self.ended_links.retain(|_, (_, ended_at)| now < *ended_at + LAST_RECORD_TTL_MS);
        !expired.is_empty()
    }

    fn remove(&mut self, address: NodeAddress) {
        self.nodes.remove(&address);
        self.position += 1;
        self.gone.push_back((self.position, address));
        if self.gone.len() > MAX_REMOVED {
            self.gone.pop_front();
        }
    }

    fn apply_leaving_state(&self, record: &mut NodeRecord) {
        let Some(instance) = &mut record.instance else {
            return;
        };
        if let Some(state) = self.departures.state_of(&instance.incarnation()) {
            instance.state = instance.state.max(state);
        }
    }

    /// Position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The records of all listed nodes.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.values().map(|listed| &listed.record)
    }

    /// Zone of a listed node.
    pub fn zone(&self, address: &NodeAddress) -> Option<&str> {
        self.nodes.get(address).map(|listed| listed.record.zone.as_str())
    }

    /// Whether a node is listed.
    pub fn contains(&self, address: &NodeAddress) -> bool {
        self.nodes.contains_key(address)
    }

    /// Number of listed nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Changes for a reader at `position`; `None` for a reader without any state.
    pub fn changes_since(&self, position: Option<u64>) -> RegistryChanges {
        let oldest_removed = self.gone.front().map_or(0, |(at, _)| *at);
        let truncated = self.gone.len() >= MAX_REMOVED;
        let base = position.filter(|position| !truncated || *position >= oldest_removed);
        let since = base.unwrap_or(0);
        let is_changed = |listed: &&ListedNode| base.is_none() || listed.changed_at > since;
        let gone = self.gone.iter().filter(|(at, _)| base.is_some() && *at > since);
        RegistryChanges {
            position: self.position,
            whole: base.is_none(),
            changed: self
                .nodes
                .values()
                .filter(is_changed)
                .map(|listed| listed.with_age(self.now))
                .collect(),
            gone: gone.map(|(_, address)| *address).collect(),
        }
    }
}

/// A record received at `received_at`, as of `now`: the remaining cold time of its upstream is
/// reduced.
fn with_age(mut record: NodeRecord, received_at: Millis, now: Millis) -> NodeRecord {
    if let Some(instance) = &mut record.instance {
        let age_ms = u32::try_from(now.saturating_sub(received_at)).unwrap_or(u32::MAX);
        instance.cold_remaining_ms = instance.cold_remaining_ms.saturating_sub(age_ms);
    }
    record
}
