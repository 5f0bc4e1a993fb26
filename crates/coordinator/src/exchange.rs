//! Replication of the registry of sidecars between coordinators; without I/O.
//!
//! A sidecar links to a few coordinators, which report it to all others. Each coordinator keeps a
//! list of the sidecars that are directly connected to it, sends every other coordinator the
//! changes of that list, and twice a second a heartbeat with the position up to which the list is
//! valid. A heartbeat renews the leases of all sidecars in the list, so while nothing changes, two
//! coordinators exchange some tens of bytes per second regardless of the number of sidecars. The
//! list contains versions of records; a coordinator that lacks a record requests it from one that
//! lists it.

use crate::{Millis, Registry};
use mesh::{CoordinatorFrame, HeardNode, MemberId, NodeAddress, RegistryEntry};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval between heartbeats, milliseconds. Several fit into half a lease, which is the remaining
/// time if a sidecar was last heard from half a lease ago.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Time after which an unanswered request is repeated, milliseconds: the longest round-trip time
/// between regions plus one tick.
const REQUEST_RETRY_MS: u64 = 250;
/// Number of removed entries kept for coordinators that are behind; one that is further behind
/// receives the complete list. A list is rarely longer than this, so keeping more would save
/// nothing.
const MAX_DROPPED: usize = 256;

/// A frame addressed to another coordinator.
pub type Outgoing = (MemberId, CoordinatorFrame);

/// An entry of this coordinator's list: a directly connected sidecar.
#[derive(Clone, Copy, Debug)]
struct ListedSidecar {
    entry: RegistryEntry,
    changed_at: u64,
}

/// The list of another coordinator, as far as it was received.
#[derive(Clone, Debug, Default)]
struct PeerList {
    epoch: u64,
    position: u64,
    nodes: BTreeMap<NodeAddress, RegistryEntry>,
    requested_at: Option<Millis>,
}

/// The state of one coordinator's exchange with the others.
#[derive(Debug)]
pub struct RegistryExchange {
    own: MemberId,
    zone: String,
    /// Random number chosen at start, which invalidates positions of earlier processes.
    epoch: u64,
    position: u64,
    listed: BTreeMap<NodeAddress, ListedSidecar>,
    dropped: VecDeque<(u64, NodeAddress)>,
    /// Position up to which changes were sent to each other coordinator.
    sent_positions: BTreeMap<MemberId, u64>,
    peers: BTreeMap<MemberId, PeerList>,
    /// Requested versions of records, with the time of the request.
    requested: BTreeMap<NodeAddress, (RegistryEntry, Millis)>,
    heartbeat_at: Option<Millis>,
}

impl RegistryExchange {
    /// Creates the state before any exchange. `epoch` must differ from that of every earlier
    /// process of this coordinator.
    pub fn new(own: MemberId, zone: &str, epoch: u64) -> Self {
        RegistryExchange {
            own,
            zone: zone.to_owned(),
            epoch,
            position: 0,
            listed: BTreeMap::new(),
            dropped: VecDeque::new(),
            sent_positions: BTreeMap::new(),
            peers: BTreeMap::new(),
            requested: BTreeMap::new(),
            heartbeat_at: None,
        }
    }

    /// Returns the frames that are due: changes of the list, heartbeats, and requests for the lists
    /// of coordinators that are new to this one.
    pub fn tick(&mut self, registry: &Registry, peers: &[MemberId], now: Millis) -> Vec<Outgoing> {
        let mut frames = Vec::new();
        self.peers.retain(|peer, _| peers.contains(peer));
        self.sent_positions.retain(|peer, _| peers.contains(peer));
        self.requested.retain(|_, (_, at)| now < *at + REQUEST_RETRY_MS);
        self.update_list(registry, now);
        let heartbeat_due = self.heartbeat_at.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL_MS);
        if heartbeat_due {
            self.heartbeat_at = Some(now);
        }
        for peer in peers {
            let sent_position = self.sent_positions.insert(*peer, self.position).unwrap_or(0);
            if sent_position < self.position {
                frames.push((*peer, self.list_since(sent_position)));
            }
            if heartbeat_due {
                frames.push((*peer, self.heartbeat()));
            }
            if !self.peers.contains_key(peer) {
                self.peers.insert(*peer, PeerList::default());
                frames.extend(self.request_list(*peer, now));
            }
        }
        frames
    }

    /// Updates the list from the registry.
    fn update_list(&mut self, registry: &Registry, now: Millis) {
        let heard: BTreeMap<NodeAddress, RegistryEntry> =
            registry.heard_entries(now).map(|entry| (entry.address, entry)).collect();
        let no_longer_heard: Vec<NodeAddress> =
            self.listed.keys().filter(|address| !heard.contains_key(address)).copied().collect();
        for address in no_longer_heard {
            self.position += 1;
            self.listed.remove(&address);
            self.dropped.push_back((self.position, address));
        }
        for (address, entry) in heard {
            if self.listed.get(&address).is_none_or(|listed| listed.entry != entry) {
                self.position += 1;
                let changed_at = self.position;
                self.listed.insert(address, ListedSidecar { entry, changed_at });
            }
        }
        let excess = self.dropped.len().saturating_sub(MAX_DROPPED);
        self.dropped.drain(..excess);
    }

    fn heartbeat(&self) -> CoordinatorFrame {
        CoordinatorFrame::ListHeartbeat {
            member: self.own.0,
            zone: self.zone.clone(),
            epoch: self.epoch,
            position: self.position,
        }
    }

    /// Changes of the list after a position; the complete list if the position is too old.
    fn list_since(&self, position: u64) -> CoordinatorFrame {
        let forgotten = self.dropped.len() >= MAX_DROPPED
            && self.dropped.front().is_some_and(|(oldest, _)| position < *oldest);
        let since = if forgotten { 0 } else { position };
        let changed = self.listed.values().filter(|listed| listed.changed_at > since);
        let dropped = self.dropped.iter().filter(|(at, _)| since > 0 && *at > since);
        CoordinatorFrame::ListChanges {
            member: self.own.0,
            epoch: self.epoch,
            since,
            position: self.position,
            heard: changed.map(|listed| listed.entry).collect(),
            dropped: dropped.map(|(_, address)| *address).collect(),
        }
    }

    fn request_list(&mut self, peer: MemberId, now: Millis) -> Option<Outgoing> {
        let own = self.own.0;
        let list = self.peers.entry(peer).or_default();
        if list.requested_at.is_some_and(|at| now < at + REQUEST_RETRY_MS) {
            return None;
        }
        list.requested_at = Some(now);
        let (epoch, position) = (list.epoch, list.position);
        Some((peer, CoordinatorFrame::ListRequest { member: own, epoch, position }))
    }

    /// Handles a frame of another coordinator. Returns the responses and whether the registry
    /// changed.
    pub fn receive(
        &mut self,
        registry: &mut Registry,
        frame: CoordinatorFrame,
        now: Millis,
    ) -> (Vec<Outgoing>, bool) {
        match frame {
            CoordinatorFrame::ListHeartbeat { member, zone: _, epoch, position } => {
                let member = MemberId(member);
                (self.renew_list(registry, member, (epoch, position), now), false)
            }
            CoordinatorFrame::ListChanges { member, epoch, since, position, heard, dropped } => {
                let member = MemberId(member);
                let list = self.peers.entry(member).or_default();
                let is_applicable = since == 0 || (list.epoch == epoch && list.position >= since);
                if !is_applicable {
                    return (self.request_list(member, now).into_iter().collect(), false);
                }
                let outdated = list.epoch == epoch && position < list.position;
                if outdated {
                    return (Vec::new(), false);
                }
                if since == 0 {
                    list.nodes.clear();
                }
                (list.epoch, list.position, list.requested_at) = (epoch, position, None);
                for address in &dropped {
                    list.nodes.remove(address);
                }
                list.nodes.extend(heard.iter().map(|entry| (entry.address, *entry)));
                let changed = self.remove_stopped(registry, &dropped, now);
                let requested = self.request_records(registry, member, heard, now);
                (requested.into_iter().collect(), changed)
            }
            CoordinatorFrame::ListRequest { member, epoch, position } => {
                let is_current = epoch == self.epoch && position <= self.position;
                let list = self.list_since(if is_current { position } else { 0 });
                self.sent_positions.insert(MemberId(member), self.position);
                (vec![(MemberId(member), list)], false)
            }
            CoordinatorFrame::RecordsRequest { member, nodes } => {
                let nodes = registry.heard(&nodes, now);
                (records_frame(member, nodes).into_iter().collect(), false)
            }
            CoordinatorFrame::Records { nodes } => {
                let mut changed = false;
                for node in nodes {
                    self.requested.remove(&node.record.address);
                    changed |= registry.merge_from_peer(node, now);
                }
                (Vec::new(), changed)
            }
            CoordinatorFrame::Message(_)
            | CoordinatorFrame::Loads { .. }
            | CoordinatorFrame::Poison { .. }
            | CoordinatorFrame::Departures { .. }
            | CoordinatorFrame::Evidence { .. }
            | CoordinatorFrame::CreditPull { .. }
            | CoordinatorFrame::CreditTransfer { .. }
            | CoordinatorFrame::Join { .. }
            | CoordinatorFrame::Stopping { .. }
            | CoordinatorFrame::Removed { .. } => (Vec::new(), false),
        }
    }

    /// Handles a heartbeat: all sidecars in the list were heard from within half a lease.
    fn renew_list(
        &mut self,
        registry: &mut Registry,
        member: MemberId,
        (epoch, position): (u64, u64),
        now: Millis,
    ) -> Vec<Outgoing> {
        let list = self.peers.entry(member).or_default();
        if (list.epoch, list.position) != (epoch, position) {
            return self.request_list(member, now).into_iter().collect();
        }
        for entry in list.nodes.values() {
            registry.renew(entry, now);
        }
        let entries: Vec<RegistryEntry> = list.nodes.values().copied().collect();
        self.request_records(registry, member, entries, now).into_iter().collect()
    }

    /// Requests the missing records that were not requested recently.
    fn request_records(
        &mut self,
        registry: &Registry,
        peer: MemberId,
        entries: Vec<RegistryEntry>,
        now: Millis,
    ) -> Option<Outgoing> {
        let mut nodes = Vec::new();
        for entry in entries.into_iter().filter(|entry| registry.needs_record(entry, now)) {
            let already_requested = self
                .requested
                .get(&entry.address)
                .is_some_and(|(requested, _)| *requested == entry);
            if !already_requested {
                self.requested.insert(entry.address, (entry, now));
                nodes.push(entry.address);
            }
        }
        let has_missing = !nodes.is_empty();
        has_missing
            .then_some((peer, CoordinatorFrame::RecordsRequest { member: self.own.0, nodes }))
    }

    /// Removes stopping sidecars that no coordinator lists any more; returns whether there were
    /// any.
    fn remove_stopped(
        &self,
        registry: &mut Registry,
        dropped: &[NodeAddress],
        now: Millis,
    ) -> bool {
        let listed_elsewhere: BTreeSet<&NodeAddress> =
            self.peers.values().flat_map(|list| list.nodes.keys()).collect();
        let unlisted = dropped.iter().filter(|address| !listed_elsewhere.contains(address));
        let mut changed = false;
        for address in unlisted {
            changed |= registry.remove_stopped(address, now);
        }
        changed
    }
}

fn records_frame(member: u64, nodes: Vec<HeardNode>) -> Option<Outgoing> {
    let has_nodes = !nodes.is_empty();
    has_nodes.then_some((MemberId(member), CoordinatorFrame::Records { nodes }))
}
