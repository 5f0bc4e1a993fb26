//! Which coordinator tells of the other sidecars.

use super::{send, Links};
use crate::net::Net;
use crate::Millis;
use mesh::ToCoordinator;

/// Time for which a coordinator of the own zone is waited for before another one is asked for what
/// is long (a list, content), milliseconds: a link to it opens within a look at the links and a way
/// there and back, and hears of a generation some milliseconds after the others.
pub(super) const NEAR_WAIT_MS: u64 = 150;
/// The same after all coordinators were lost at once, while what they told of others still counts:
/// they start within some tenths of a second of each other, and a list between zones is dear, ms.
const RETURN_WAIT_MS: u64 = 1_000;

impl Links {
    /// Whether a coordinator of the own zone may be linked in a moment.
    pub(super) fn waits_for_near(&self, now: Millis) -> bool {
        now < self.linked_at + NEAR_WAIT_MS
    }

    /// Has one coordinator tell of the other sidecars, the nearest that answers. The one before is
    /// told to stop once the new one has told all it lists, so nothing is missed between.
    pub(super) fn subscribe(&mut self, net: &mut Net, now: Millis) {
        let healthy = self.links.iter().filter(|(_, link)| link.is_healthy(now));
        let best = healthy
            .max_by_key(|(address, link)| (link.same_zone, link.subscribed, self.rank(**address)));
        let knows_others = self.links.values().any(|link| !link.nodes.is_empty());
        let wait_ms = if knows_others { RETURN_WAIT_MS } else { NEAR_WAIT_MS };
        let waits = now < self.linked_at + wait_ms;
        let best = best.filter(|(_, link)| link.same_zone || link.subscribed || !waits);
        let Some(best) = best.map(|(address, _)| *address) else {
            return;
        };
        let mut told_whole = false;
        if let Some(link) = self.links.get_mut(&best) {
            if !link.subscribed {
                link.subscribed = true;
                send(net, link, &ToCoordinator::Subscribe { nodes: true });
            }
            told_whole = link.whole;
        }
        if !told_whole {
            return;
        }
        for (_, link) in self.links.iter_mut().filter(|(address, _)| **address != best) {
            if link.subscribed {
                link.subscribed = false;
                link.whole = false;
                send(net, link, &ToCoordinator::Subscribe { nodes: false });
            }
            link.nodes.clear();
        }
    }
}
