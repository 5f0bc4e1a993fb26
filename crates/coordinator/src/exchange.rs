//! What coordinators tell each other of the sidecars that they hear; pure.
//!
//! A sidecar links to a few coordinators. Those vouch for it to all others: each keeps a numbered list
//! of the sidecars that it hears on links of its own, tells every other coordinator what changed in it,
//! and says twice a second up to which number that list holds. One such beat renews the leases of all
//! in the list, so in the calm two coordinators exchange some tens of bytes a second however many
//! sidecars there are. What is listed are versions of records; a record is asked for by whoever lacks
//! it, of one of those that vouch for it.

use crate::{Millis, Registry};
use mesh::{CoordinatorFrame, HeardNode, MemberId, NodeAddress, RegistryEntry};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two beats, milliseconds: several fit into the second half of a lease, which is what is
/// left when a sidecar was last heard half a lease before.
const BEAT_INTERVAL_MS: u64 = 500;
/// A question that was not answered is asked again after this time, milliseconds: the longest way there
/// and back between regions, and a look.
const ASK_AGAIN_MS: u64 = 250;
/// Sidecars remembered as no longer heard, for coordinators that are behind; one further behind is told
/// the whole list. A list is seldom longer than this, so to keep more would save nothing.
const DROPPED_KEPT: usize = 256;

/// A frame for another coordinator.
pub type Outgoing = (MemberId, CoordinatorFrame);

/// A sidecar that is heard here.
#[derive(Clone, Copy, Debug)]
struct Vouched {
    entry: RegistryEntry,
    changed_at: u64,
}

/// The list of another coordinator, as far as it told.
#[derive(Clone, Debug, Default)]
struct PeerList {
    epoch: u64,
    position: u64,
    nodes: BTreeMap<NodeAddress, RegistryEntry>,
    asked_at: Option<Millis>,
}

/// The exchange of one coordinator with the others.
#[derive(Debug)]
pub struct RegistryExchange {
    own: MemberId,
    zone: String,
    /// Drawn at the start: positions of an earlier life of this process mean nothing.
    epoch: u64,
    position: u64,
    vouched: BTreeMap<NodeAddress, Vouched>,
    dropped: VecDeque<(u64, NodeAddress)>,
    /// Position up to which each other coordinator was told.
    told: BTreeMap<MemberId, u64>,
    peers: BTreeMap<MemberId, PeerList>,
    /// Versions of records that were asked for.
    asked: BTreeMap<NodeAddress, (RegistryEntry, Millis)>,
    beat_at: Option<Millis>,
}

impl RegistryExchange {
    /// Nothing was exchanged yet. `epoch` differs from that of every earlier life of this process.
    pub fn new(own: MemberId, zone: &str, epoch: u64) -> Self {
        RegistryExchange {
            own,
            zone: zone.to_owned(),
            epoch,
            position: 0,
            vouched: BTreeMap::new(),
            dropped: VecDeque::new(),
            told: BTreeMap::new(),
            peers: BTreeMap::new(),
            asked: BTreeMap::new(),
            beat_at: None,
        }
    }

    /// What is due now: news of the list to all, and beats. A coordinator that is new to this one is
    /// asked for its list.
    pub fn tick(&mut self, registry: &Registry, peers: &[MemberId], now: Millis) -> Vec<Outgoing> {
        let mut frames = Vec::new();
        self.peers.retain(|peer, _| peers.contains(peer));
        self.told.retain(|peer, _| peers.contains(peer));
        self.asked.retain(|_, (_, at)| now < *at + ASK_AGAIN_MS);
        self.refresh(registry, now);
        let beats = self.beat_at.is_none_or(|at| now >= at + BEAT_INTERVAL_MS);
        if beats {
            self.beat_at = Some(now);
        }
        for peer in peers {
            let told = self.told.insert(*peer, self.position).unwrap_or(0);
            if told < self.position {
                frames.push((*peer, self.list_since(told)));
            }
            if beats {
                frames.push((*peer, self.beat()));
            }
            if !self.peers.contains_key(peer) {
                self.peers.insert(*peer, PeerList::default());
                frames.extend(self.ask_list(*peer, now));
            }
        }
        frames
    }

    /// Brings the list up to date.
    fn refresh(&mut self, registry: &Registry, now: Millis) {
        let heard: BTreeMap<NodeAddress, RegistryEntry> =
            registry.heard_entries(now).map(|entry| (entry.address, entry)).collect();
        let lost: Vec<NodeAddress> =
            self.vouched.keys().filter(|address| !heard.contains_key(address)).copied().collect();
        for address in lost {
            self.position += 1;
            self.vouched.remove(&address);
            self.dropped.push_back((self.position, address));
        }
        for (address, entry) in heard {
            if self.vouched.get(&address).is_none_or(|vouched| vouched.entry != entry) {
                self.position += 1;
                let changed_at = self.position;
                self.vouched.insert(address, Vouched { entry, changed_at });
            }
        }
        let beyond = self.dropped.len().saturating_sub(DROPPED_KEPT);
        self.dropped.drain(..beyond);
    }

    fn beat(&self) -> CoordinatorFrame {
        CoordinatorFrame::ListHeartbeat {
            member: self.own.0,
            zone: self.zone.clone(),
            epoch: self.epoch,
            position: self.position,
        }
    }

    /// What changed in the list after a position; the whole list if that is too long ago.
    fn list_since(&self, position: u64) -> CoordinatorFrame {
        let forgotten = self.dropped.len() >= DROPPED_KEPT
            && self.dropped.front().is_some_and(|(oldest, _)| position < *oldest);
        let since = if forgotten { 0 } else { position };
        let newer = self.vouched.values().filter(|vouched| vouched.changed_at > since);
        let dropped = self.dropped.iter().filter(|(at, _)| since > 0 && *at > since);
        CoordinatorFrame::ListChanges {
            member: self.own.0,
            epoch: self.epoch,
            since,
            position: self.position,
            heard: newer.map(|vouched| vouched.entry).collect(),
            dropped: dropped.map(|(_, address)| *address).collect(),
        }
    }

    fn ask_list(&mut self, peer: MemberId, now: Millis) -> Option<Outgoing> {
        let own = self.own.0;
        let list = self.peers.entry(peer).or_default();
        if list.asked_at.is_some_and(|at| now < at + ASK_AGAIN_MS) {
            return None;
        }
        list.asked_at = Some(now);
        let (epoch, position) = (list.epoch, list.position);
        Some((peer, CoordinatorFrame::ListRequest { member: own, epoch, position }))
    }

    /// Takes in a frame of another coordinator; answers, and whether the registry changed.
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
                let follows = since == 0 || (list.epoch == epoch && list.position >= since);
                if !follows {
                    return (self.ask_list(member, now).into_iter().collect(), false);
                }
                let old = list.epoch == epoch && position < list.position;
                if old {
                    return (Vec::new(), false);
                }
                if since == 0 {
                    list.nodes.clear();
                }
                (list.epoch, list.position, list.asked_at) = (epoch, position, None);
                for address in &dropped {
                    list.nodes.remove(address);
                }
                list.nodes.extend(heard.iter().map(|entry| (entry.address, *entry)));
                let changed = self.forget_stopped(registry, &dropped, now);
                let asked = self.ask_records(registry, member, heard, now);
                (asked.into_iter().collect(), changed)
            }
            CoordinatorFrame::ListRequest { member, epoch, position } => {
                let known = epoch == self.epoch && position <= self.position;
                let list = self.list_since(if known { position } else { 0 });
                self.told.insert(MemberId(member), self.position);
                (vec![(MemberId(member), list)], false)
            }
            CoordinatorFrame::RecordsRequest { member, nodes } => {
                let nodes = registry.heard(&nodes, now);
                (vouching(member, nodes).into_iter().collect(), false)
            }
            CoordinatorFrame::Records { nodes } => {
                let mut changed = false;
                for node in nodes {
                    self.asked.remove(&node.record.address);
                    changed |= registry.vouch(node, now);
                }
                (Vec::new(), changed)
            }
            CoordinatorFrame::Message(_)
            | CoordinatorFrame::Loads { .. }
            | CoordinatorFrame::Poison { .. }
            | CoordinatorFrame::Evidence { .. }
            | CoordinatorFrame::CreditPull { .. }
            | CoordinatorFrame::CreditTransfer { .. }
            | CoordinatorFrame::Join { .. }
            | CoordinatorFrame::Removed { .. } => (Vec::new(), false),
        }
    }

    /// Takes in that a list holds up to a position: all in it were heard within half a lease.
    fn renew_list(
        &mut self,
        registry: &mut Registry,
        member: MemberId,
        (epoch, position): (u64, u64),
        now: Millis,
    ) -> Vec<Outgoing> {
        let list = self.peers.entry(member).or_default();
        if (list.epoch, list.position) != (epoch, position) {
            return self.ask_list(member, now).into_iter().collect();
        }
        for entry in list.nodes.values() {
            registry.renew(entry, now);
        }
        let all: Vec<RegistryEntry> = list.nodes.values().copied().collect();
        self.ask_records(registry, member, all, now).into_iter().collect()
    }

    /// Asks for the records that are lacking here, and were not asked for a moment ago.
    fn ask_records(
        &mut self,
        registry: &Registry,
        of: MemberId,
        entries: Vec<RegistryEntry>,
        now: Millis,
    ) -> Option<Outgoing> {
        let mut nodes = Vec::new();
        for entry in entries.into_iter().filter(|entry| registry.lacks(entry, now)) {
            let known = self.asked.get(&entry.address).is_some_and(|(asked, _)| *asked == entry);
            if !known {
                self.asked.insert(entry.address, (entry, now));
                nodes.push(entry.address);
            }
        }
        let any = !nodes.is_empty();
        any.then_some((of, CoordinatorFrame::RecordsRequest { member: self.own.0, nodes }))
    }

    /// Removes sidecars that stop and that nobody hears any more; true if there were any.
    fn forget_stopped(
        &self,
        registry: &mut Registry,
        dropped: &[NodeAddress],
        now: Millis,
    ) -> bool {
        let elsewhere: BTreeSet<&NodeAddress> =
            self.peers.values().flat_map(|list| list.nodes.keys()).collect();
        let unheard = dropped.iter().filter(|address| !elsewhere.contains(address));
        let mut changed = false;
        for address in unheard {
            changed |= registry.forget_stopped(address, now);
        }
        changed
    }
}

fn vouching(member: u64, nodes: Vec<HeardNode>) -> Option<Outgoing> {
    let any = !nodes.is_empty();
    any.then_some((MemberId(member), CoordinatorFrame::Records { nodes }))
}
