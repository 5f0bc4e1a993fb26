//! The share of all quotas at one coordinator.
//!
//! Each sidecar owns one share out of as many as there are sidecars. Only the coordinator that it is
//! lent to counts it. No coordinator counts the share of a sidecar that lends to none because it is
//! dead or partitioned.

use crate::{Millis, LOAN_MS};
use mesh::NodeAddress;
use std::collections::BTreeMap;

/// A sidecar that disappeared without stopping may be partitioned and still serve callers with its
/// own share. It counts for this long, milliseconds: longer than transient partitions last.
const ABSENT_NODE_MS: Millis = 60_000;
/// After its start, a coordinator takes no more than an equal share among the coordinators for this
/// long, milliseconds: it learns of the other coordinators' sidecars within a few exchanges of
/// registries.
const SETTLE_MS: Millis = 2_000;
/// A coordinator that was silent for this long may be partitioned along with its sidecars,
/// milliseconds.
const PEER_SILENCE_MS: Millis = 3_000;

/// A sidecar that is or was listed.
#[derive(Clone, Copy, Debug)]
struct KnownNode {
    listed_at: Millis,
    stopping: bool,
}

/// The sidecars and the other coordinators, as known to one coordinator.
#[derive(Clone, Debug)]
pub struct Fleet {
    started_at: Millis,
    known: BTreeMap<NodeAddress, KnownNode>,
    /// Sidecars whose shares are here, and when they last lent them.
    lenders: BTreeMap<NodeAddress, Millis>,
    /// The other coordinators, and when each was last heard from.
    peers: BTreeMap<u64, Option<Millis>>,
}

impl Fleet {
    /// Creates the state of a coordinator that starts now.
    pub fn new(now: Millis) -> Self {
        let (known, lenders, peers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Fleet { started_at: now, known, lenders, peers }
    }

    /// Records that a sidecar lends its share, or does not lend it any more.
    pub fn update_loan(&mut self, node: NodeAddress, lends: bool, now: Millis) {
        match lends {
            true => self.lenders.insert(node, now),
            false => self.lenders.remove(&node),
        };
    }

    /// Records that another coordinator was heard from.
    pub fn heard_peer(&mut self, member: u64, now: Millis) {
        if let Some(heard) = self.peers.get_mut(&member) {
            *heard = Some(now);
        }
    }

    /// Updates the sidecars listed by any coordinator, with whether each is stopping, and the other
    /// coordinators.
    pub fn update_listed(
        &mut self,
        nodes: impl Iterator<Item = (NodeAddress, bool)>,
        peers: impl Iterator<Item = u64>,
        now: Millis,
    ) {
        for (node, stopping) in nodes {
            self.known.insert(node, KnownNode { listed_at: now, stopping });
        }
        let previous = std::mem::take(&mut self.peers);
        self.peers = peers.map(|peer| (peer, previous.get(&peer).copied().flatten())).collect();
        self.lenders.retain(|_, at| now < *at + LOAN_MS);
        let partitioned = self.peers.values().any(|heard| is_silent(*heard, now));
        self.known.retain(|_, known| {
            let KnownNode { listed_at, stopping } = *known;
            let listed = listed_at == now;
            listed || !stopping && (partitioned || now < listed_at + ABSENT_NODE_MS)
        });
    }

    /// Number of sidecars among which quotas are divided.
    pub fn nodes(&self) -> usize {
        let unlisted = self.lenders.keys().filter(|node| !self.known.contains_key(node));
        self.known.len() + unlisted.count()
    }

    /// Share of all quotas at this coordinator, from 0 to 1.
    pub fn share(&self, now: Millis) -> f64 {
        let lenders = self.lenders.values().filter(|at| now < **at + LOAN_MS).count();
        let share = lenders as f64 / self.nodes().max(1) as f64;
        match self.knows_all_nodes(now) {
            true => share,
            false => share.min(1.0 / (self.peers.len() + 1) as f64),
        }
    }

    /// Whether it is unlikely that a sidecar is unknown here.
    fn knows_all_nodes(&self, now: Millis) -> bool {
        let settled = now >= self.started_at + SETTLE_MS;
        settled && self.peers.values().all(Option::is_some)
    }

    /// Number of sidecars among which quotas are divided, as reported to sidecars, which use it when
    /// they lose all coordinators; 0 while some sidecars may be unknown here.
    pub fn reported_nodes(&self, now: Millis) -> u32 {
        match self.knows_all_nodes(now) {
            true => self.nodes() as u32,
            false => 0,
        }
    }

    /// Number of sidecars whose shares are here.
    pub fn lenders(&self) -> usize {
        self.lenders.len()
    }
}

fn is_silent(heard: Option<Millis>, now: Millis) -> bool {
    heard.is_none_or(|at| now >= at + PEER_SILENCE_MS)
}
