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
/// For so long after its start a coordinator asks the others again and again for what it lacks,
/// milliseconds: after a loss of all power they start apart, and each sidecar links to some first.
const YOUNG_MS: u64 = 2_000;
/// Time between two such questions, milliseconds.
const YOUNG_INTERVAL_MS: u64 = 250;

/// A frame for another coordinator.
pub type Outgoing = (MemberId, CoordinatorFrame);

/// The exchange of one coordinator with the others.
#[derive(Debug)]
pub struct RegistryExchange {
    own: MemberId,
    started_at: Option<Millis>,
    asked_at: Option<Millis>,
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
            started_at: None,
            asked_at: None,
            unheard_at: 0,
            digest_at: 0,
            differences: BTreeMap::new(),
        }
    }

    /// What is due now. After the start others are asked for all that they hear.
    pub fn tick(&mut self, registry: &Registry, peers: &[MemberId], now: Millis) -> Vec<Outgoing> {
        let mut frames = Vec::new();
        self.differences.retain(|peer, _| peers.contains(peer));
        if self.asks_as_young(now) && !peers.is_empty() {
            self.asked_at = Some(now);
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

    fn asks_as_young(&mut self, now: Millis) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let due = self.asked_at.is_none_or(|at| now >= at + YOUNG_INTERVAL_MS);
        due && now < started_at + YOUNG_MS
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
            | CoordinatorFrame::Poison { .. }
            | CoordinatorFrame::CreditPull { .. }
            | CoordinatorFrame::CreditGift { .. }
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
