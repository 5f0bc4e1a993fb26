//! The subscription to the list of sidecars: which coordinator provides it.

use super::{send, Links};
use crate::net::Net;
use crate::Millis;
use mesh::ToCoordinator;

/// How long a coordinator of the own zone is waited for before large content (the list of sidecars,
/// a configuration) is requested from another zone, in milliseconds. Opening a link takes one
/// housekeeping interval and a round trip, and a coordinator may learn of a generation some
/// milliseconds after the others.
pub(super) const OWN_ZONE_WAIT_MS: u64 = 150;
/// The same after all coordinators were lost at once and their lists are still valid, in
/// milliseconds: they restart within some tenths of a second of each other, and transferring a list
/// between zones is expensive.
const RECONNECT_WAIT_MS: u64 = 1_000;

impl Links {
    /// Whether a coordinator of the own zone may become linked shortly.
    pub(super) fn waits_for_own_zone(&self, now: Millis) -> bool {
        now < self.linked_at + OWN_ZONE_WAIT_MS
    }

    /// Subscribes to the nearest healthy coordinator. The previous subscription ends only after the
    /// new one has delivered its complete list, so that no change is missed in between.
    pub(super) fn subscribe(&mut self, net: &mut Net, now: Millis) {
        let healthy = self.links.iter().filter(|(_, link)| link.is_healthy(now));
        let best = healthy
            .max_by_key(|(address, link)| (link.same_zone, link.subscribed, self.rank(**address)));
        let knows_others = self.links.values().any(|link| !link.nodes.is_empty());
        let wait_ms = if knows_others { RECONNECT_WAIT_MS } else { OWN_ZONE_WAIT_MS };
        let waits = now < self.linked_at + wait_ms;
        let best = best.filter(|(_, link)| link.same_zone || link.subscribed || !waits);
        let Some(best) = best.map(|(address, _)| *address) else {
            return;
        };
        let mut has_complete_list = false;
        if let Some(link) = self.links.get_mut(&best) {
            if !link.subscribed {
                link.subscribed = true;
                send(net, link, &ToCoordinator::Subscribe { nodes: true });
            }
            has_complete_list = link.list_complete;
        }
        if !has_complete_list {
            return;
        }
        for (_, link) in self.links.iter_mut().filter(|(address, _)| **address != best) {
            if link.subscribed {
                link.subscribed = false;
                link.list_complete = false;
                send(net, link, &ToCoordinator::Subscribe { nodes: false });
            }
            link.nodes.clear();
        }
    }
}
