//! Number of nodes that share a fleet-wide limit.
//!
//! The estimate errs towards smaller shares: after the list of known nodes shrinks, its previous
//! length still counts, and while the list is first being filled there is no share at all.

use crate::Millis;

/// Time after the first node is known until the list counts as complete, milliseconds: coordinators
/// that restart together with all sidecars learn of them within a few seconds.
const SETTLED_MS: Millis = 10_000;
/// Known nodes keep counting for one to two times this long, milliseconds: regions can lose contact
/// with each other for as long.
const REMEMBERED_MS: Millis = 300_000;

/// Conservative estimate of the size of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    first_known: Option<Millis>,
    /// Start of the span that `recent` covers.
    rotated_at: Millis,
    /// Maximum number of nodes known in the previous span.
    previous: usize,
    /// Maximum number of nodes known in the current span.
    recent: usize,
}

impl FleetSize {
    /// Updates the number of known nodes.
    pub fn note(&mut self, nodes: usize, now: Millis) {
        if nodes == 0 {
            return;
        }
        self.first_known.get_or_insert(now);
        if now >= self.rotated_at + REMEMBERED_MS {
            self.previous = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
        self.recent = self.recent.max(nodes);
    }

    /// Maximum number of nodes known recently, at least 1.
    pub fn largest(&self) -> usize {
        self.previous.max(self.recent).max(1)
    }

    /// When the list counts as complete.
    pub fn settled_at(&self) -> Option<Millis> {
        self.first_known.map(|at| at + SETTLED_MS)
    }

    /// Number of nodes that share a limit; `None` while the list may be incomplete.
    pub fn sharers(&self, now: Millis) -> Option<usize> {
        let settled = self.settled_at().is_some_and(|at| now >= at);
        settled.then(|| self.largest())
    }
}
