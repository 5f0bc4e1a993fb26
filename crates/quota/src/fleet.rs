//! Which part of all quotas is with one coordinator.
//!
//! Each sidecar's part is one over the number of sidecars. It is counted by whoever it is lent to;
//! that of a sidecar which is with nobody, dead or cut off, is counted by no coordinator.

use crate::{Millis, LOAN_MS};
use mesh::NodeAddress;
use std::collections::BTreeMap;

/// A sidecar that ended without a word may be cut off and still serve callers with its own part. It
/// counts for this long, milliseconds: longer than cuts last that mend by themselves.
const MEMORY_MS: Millis = 60_000;
/// A coordinator that started takes no more than an equal part among coordinators for this long,
/// milliseconds: it hears of other coordinators' sidecars within a few exchanges of registries.
const SETTLE_MS: Millis = 2_000;
/// A coordinator that was silent for this long may be cut off with its sidecars, milliseconds.
const PEER_SILENCE_MS: Millis = 3_000;

/// A sidecar as one coordinator knows it.
#[derive(Clone, Copy, Debug)]
struct Known {
    listed_at: Millis,
    stopping: bool,
}

/// The sidecars and the other coordinators, as one coordinator knows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    started_at: Millis,
    known: BTreeMap<NodeAddress, Known>,
    lent: BTreeMap<NodeAddress, Millis>,
    peers: BTreeMap<u64, Option<Millis>>,
}

impl Fleet {
    /// A coordinator that starts now.
    pub fn new(now: Millis) -> Self {
        let (known, lent, peers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Fleet { started_at: now, known, lent, peers }
    }

    /// A sidecar lends its part, or takes it back.
    pub fn update_loan(&mut self, node: NodeAddress, lends: bool, now: Millis) {
        match lends {
            true => self.lent.insert(node, now),
            false => self.lent.remove(&node),
        };
    }

    /// Another coordinator was heard.
    pub fn heard_peer(&mut self, member: u64, now: Millis) {
        if let Some(heard) = self.peers.get_mut(&member) {
            *heard = Some(now);
        }
    }

    /// Takes in the sidecars that all coordinators list, with whether each is stopping, and the
    /// other coordinators.
    pub fn update_listed(
        &mut self,
        nodes: impl Iterator<Item = (NodeAddress, bool)>,
        peers: impl Iterator<Item = u64>,
        now: Millis,
    ) {
        for (node, stopping) in nodes {
            self.known.insert(node, Known { listed_at: now, stopping });
        }
        let former = std::mem::take(&mut self.peers);
        self.peers = peers.map(|peer| (peer, former.get(&peer).copied().flatten())).collect();
        self.lent.retain(|_, at| now < *at + LOAN_MS);
        let cut = self.peers.values().any(|heard| is_silent(*heard, now));
        self.known.retain(|_, known| {
            let Known { listed_at, stopping } = *known;
            let listed = listed_at == now;
            listed || !stopping && (cut || now < listed_at + MEMORY_MS)
        });
    }

    /// Sidecars among which quotas are divided.
    pub fn nodes(&self) -> usize {
        let lent_only = self.lent.keys().filter(|node| !self.known.contains_key(node));
        self.known.len() + lent_only.count()
    }

    /// Part of all quotas that is with this coordinator, 0 to 1.
    pub fn share(&self, now: Millis) -> f64 {
        let lent = self.lent.values().filter(|at| now < **at + LOAN_MS).count();
        let part = lent as f64 / self.nodes().max(1) as f64;
        match self.knows_all(now) {
            true => part,
            false => part.min(1.0 / (self.peers.len() + 1) as f64),
        }
    }

    /// Whether no sidecar is likely to be missing here.
    fn knows_all(&self, now: Millis) -> bool {
        let settled = now >= self.started_at + SETTLE_MS;
        settled && self.peers.values().all(Option::is_some)
    }

    /// Sidecars among which quotas are divided, for sidecars that may count on nobody else soon;
    /// 0 while some may be missing here.
    pub fn reported_nodes(&self, now: Millis) -> u32 {
        match self.knows_all(now) {
            true => self.nodes() as u32,
            false => 0,
        }
    }

    /// The sidecars whose parts are here.
    pub fn lenders(&self) -> usize {
        self.lent.len()
    }
}

fn is_silent(heard: Option<Millis>, now: Millis) -> bool {
    heard.is_none_or(|at| now >= at + PEER_SILENCE_MS)
}
