//! Which incarnations of the local upstream are known to leave or to have left.
//!
//! A departure is final for an incarnation, so this set only grows. It is merged from everything
//! that states a departure, whichever incarnation is current: the order in which a deregistration,
//! a heartbeat, and an old record arrive therefore makes no difference.

use mesh::{Incarnation, InstanceState};
use std::collections::VecDeque;

/// Maximum number of departures that are remembered. An incarnation that left this many ago has
/// terminated, so that calls addressed to it are rejected by whatever runs at its address.
const MAX_DEPARTURES: usize = 64;

/// Departures of incarnations, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    known: VecDeque<(Incarnation, InstanceState)>,
}

impl Departures {
    /// Notes the state of an incarnation that is leaving or has left. Later notes never lower it.
    pub fn note(&mut self, incarnation: &Incarnation, state: InstanceState) {
        if let Some((_, known)) = self.find(incarnation) {
            *known = state.max(*known);
            return;
        }
        self.known.push_back((incarnation.clone(), state));
        if self.known.len() > MAX_DEPARTURES {
            self.known.pop_front();
        }
    }

    /// The leaving state of an incarnation; `None` if no departure is known.
    pub fn state_of(&mut self, incarnation: &Incarnation) -> Option<InstanceState> {
        self.find(incarnation).map(|(_, state)| *state)
    }

    /// Finds a departure. One that was reported without a start time belongs to the first
    /// incarnation with its id whose start time becomes known: a later start under that id is then
    /// another incarnation. If that first one is itself a later start, it stays closed, which fails
    /// safe.
    fn find(&mut self, incarnation: &Incarnation) -> Option<&mut (Incarnation, InstanceState)> {
        let found = self.known.iter_mut().find(|(known, _)| known.may_equal(incarnation))?;
        found.0.born_ms = found.0.born_ms.max(incarnation.born_ms);
        Some(found)
    }
}
