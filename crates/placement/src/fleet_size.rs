//! By how many nodes a bound over the whole fleet is divided.
//!
//! What a process does not know of others it takes for theirs: a list that shrank counts as long as
//! it was, and one that has only begun to grow gives no share at all.

use crate::Millis;

/// A list is whole this long after its first node, milliseconds: coordinators that start anew with
/// all sidecars hear of them within a few seconds.
const SETTLED_MS: Millis = 10_000;
/// Nodes that were known count for once to twice this long, milliseconds: as long as regions lose
/// each other.
const REMEMBERED_MS: Millis = 300_000;

/// The size of the fleet, as far as this process may rely on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    first_known: Option<Millis>,
    /// When `recent` began.
    turned_at: Millis,
    /// Most nodes known in the span before.
    former: usize,
    /// Most nodes known since then.
    recent: usize,
}

impl FleetSize {
    /// Takes in how many nodes are known now.
    pub fn note(&mut self, nodes: usize, now: Millis) {
        if nodes == 0 {
            return;
        }
        self.first_known.get_or_insert(now);
        if now >= self.turned_at + REMEMBERED_MS {
            self.former = std::mem::take(&mut self.recent);
            self.turned_at = now;
        }
        self.recent = self.recent.max(nodes);
    }

    /// Most nodes known of late, one at least.
    pub fn largest(&self) -> usize {
        self.former.max(self.recent).max(1)
    }

    /// From when on the list counts as whole.
    pub fn settled_at(&self) -> Option<Millis> {
        self.first_known.map(|at| at + SETTLED_MS)
    }

    /// Number of nodes that share a bound; `None` while this process cannot tell.
    pub fn sharers(&self, now: Millis) -> Option<usize> {
        let settled = self.settled_at().is_some_and(|at| now >= at);
        settled.then(|| self.largest())
    }
}
