//! What coordinators tell each other of the sidecars that they hear; pure.
//!
//! Each sidecar reports to every coordinator it reaches and is told of the others by one of them.
//! That one may be cut off from sidecars that its subscribers reach. So coordinators compare
//! digests of their registries, send each other what a lasting difference is about, and vouch for
//! sidecars that one of them does not hear. Between zones this costs bytes for differences only.

use crate::{Millis, Registry};
use mesh::{CoordinatorFrame, HeardNode, MemberId};
use std::collections::BTreeMap;

/// Time between two questions about sidecars that are not heard, milliseconds: several fit into
/// the second half of a lease.
const UNHEARD_INTERVAL_MS: u64 = 500;
/// Time between two digests, milliseconds. Reports reach all coordinators within far less, so what
/// differs in two rounds alike is not on its way.
const DIGEST_INTERVAL_MS: u64 = 1_000;

/// A frame for another coordinator.
pub type Outgoing = (MemberId, CoordinatorFrame);

/// The exchange of one coordinator with the others.
#[derive(Debug)]
pub struct RegistryExchange {
    own: MemberId,
    started: bool,
    unheard_at: Millis,
    digest_at: Millis,
    /// Difference of digests seen last, by coordinator; none while they agree.
    differences: BTreeMap<MemberId, u64>,
}

impl RegistryExchange {
    /// Nothing was exchanged yet.
    pub fn new(own: MemberId) -> Self {
        RegistryExchange {
            own,
            started: false,
            unheard_at: 0,
            digest_at: 0,
            differences: BTreeMap::new(),
        }
    }

    /// What is due now. The first time, others are asked for all that they hear.
    pub fn tick(&mut self, registry: &Registry, peers: &[MemberId], now: Millis) -> Vec<Outgoing> {
        let mut frames = Vec::new();
        self.differences.retain(|peer, _| peers.contains(peer));
        if !self.started && !peers.is_empty() {
            self.started = true;
            frames.push(self.entries(registry));
        }
        if now >= self.unheard_at + UNHEARD_INTERVAL_MS {
            self.unheard_at = now;
            let nodes = registry.unheard(now);
            if !nodes.is_empty() {
                frames.push(CoordinatorFrame::Unheard { member: self.own.0, nodes });
            }
        }
        if now >= self.digest_at + DIGEST_INTERVAL_MS {
            self.digest_at = now;
            let digest = registry.digest();
            frames.push(CoordinatorFrame::RegistryDigest { member: self.own.0, digest });
        }
        let to_all = |frame: CoordinatorFrame| peers.iter().map(move |to| (*to, frame.clone()));
        frames.into_iter().flat_map(to_all).collect()
    }

    /// Takes in a frame of another coordinator; an answer, and whether the registry changed.
    pub fn receive(
        &mut self,
        registry: &mut Registry,
        frame: CoordinatorFrame,
        now: Millis,
    ) -> (Option<Outgoing>, bool) {
        match frame {
            CoordinatorFrame::RegistryDigest { member, digest } => {
                (self.compare(registry, MemberId(member), digest), false)
            }
            CoordinatorFrame::RegistryEntries { member, entries } => {
                (vouching(member, registry.lacking(&entries, now)), false)
            }
            CoordinatorFrame::Unheard { member, nodes } => {
                (vouching(member, registry.heard(&nodes, now)), false)
            }
            CoordinatorFrame::Heard { nodes } => {
                let mut changed = false;
                for node in nodes {
                    changed |= registry.vouch(node, now);
                }
                (None, changed)
            }
            CoordinatorFrame::Message(_)
            | CoordinatorFrame::Loads { .. }
            | CoordinatorFrame::Join { .. }
            | CoordinatorFrame::Removed { .. } => (None, false),
        }
    }

    fn compare(&mut self, registry: &Registry, peer: MemberId, digest: u64) -> Option<Outgoing> {
        let difference = registry.digest().wrapping_sub(digest);
        if difference == 0 {
            self.differences.remove(&peer);
            return None;
        }
        let lasts = self.differences.insert(peer, difference) == Some(difference);
        lasts.then(|| (peer, self.entries(registry)))
    }

    fn entries(&self, registry: &Registry) -> CoordinatorFrame {
        CoordinatorFrame::RegistryEntries { member: self.own.0, entries: registry.entries() }
    }
}

fn vouching(member: u64, nodes: Vec<HeardNode>) -> Option<Outgoing> {
    let any = !nodes.is_empty();
    any.then_some((MemberId(member), CoordinatorFrame::Heard { nodes }))
}
