//! The departures known to a coordinator: incarnations of upstreams that announced that they leave.
//!
//! An acknowledged departure binds the fleet, whoever is killed. The set is therefore kept on disk, see
//! [`crate::departure_store`], and told to the other coordinators.

use crate::Millis;
use mesh::{Incarnation, InstanceState, KnownDeparture, NodeAddress, NodeRecord};
use std::collections::VecDeque;

/// Number of departures that are remembered: those of a day in a large fleet.
const MAX_DEPARTURES: usize = 4_096;
/// Time for which a departure is passed on and kept on disk, milliseconds. An upstream ends some seconds
/// after its departure was acknowledged.
const RECENT_MS: Millis = 600_000;

/// How a coordinator learned of a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a sidecar, or from its own disk.
    Own,
    /// From another coordinator.
    Peer,
}

#[derive(Clone, Debug)]
struct Known {
    departure: KnownDeparture,
    source: Source,
    position: u64,
    learned_at: Millis,
}

/// All departures known to a coordinator, in the order in which they were learned.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    known: VecDeque<Known>,
    position: u64,
}

impl Departures {
    /// Notes a departure; returns whether it is new, or further on than known.
    pub fn note(&mut self, departure: KnownDeparture, source: Source, now: Millis) -> bool {
        let index = self.find(&departure.incarnation);
        if index.is_some_and(|index| self.known[index].departure.state >= departure.state) {
            return false;
        }
        if let Some(index) = index {
            self.known.remove(index);
        }
        self.position += 1;
        self.known.push_back(Known { departure, source, position: self.position, learned_at: now });
        if self.known.len() > MAX_DEPARTURES {
            self.known.pop_front();
        }
        true
    }

    /// Notes the departure that a record states, if any.
    pub fn note_record(&mut self, record: &NodeRecord, source: Source, now: Millis) {
        if let Some(departure) = departure_in(record) {
            self.note(departure, source, now);
        }
    }

    /// The leaving state of an incarnation; `None` if no departure is known.
    pub fn state_of(&self, incarnation: &Incarnation) -> Option<InstanceState> {
        self.find(incarnation).map(|index| self.known[index].departure.state)
    }

    /// Position at which the departure that a record states was learned; 0 if it states none.
    pub fn position_of(&self, record: &NodeRecord) -> u64 {
        let departure = departure_in(record);
        let index = departure.and_then(|departure| self.find(&departure.incarnation));
        index.map_or(0, |index| self.known[index].position)
    }

    /// The departures of upstreams beside a sidecar.
    pub fn beside(&self, node: &NodeAddress) -> Vec<KnownDeparture> {
        let beside = self.known.iter().filter(|known| known.departure.node == *node);
        beside.map(|known| known.departure.clone()).collect()
    }

    /// The departures learned after a position, from whomever.
    pub fn since(&self, position: u64) -> Vec<KnownDeparture> {
        self.newer(position).map(|known| known.departure.clone()).collect()
    }

    /// The departures learned after a position from the coordinator's own sidecars or disk.
    pub fn own_since(&self, position: u64) -> Vec<KnownDeparture> {
        let own = self.newer(position).filter(|known| known.source == Source::Own);
        own.map(|known| known.departure.clone()).collect()
    }

    /// All departures whose upstreams may still serve.
    pub fn recent(&self, now: Millis) -> Vec<KnownDeparture> {
        let recent = self.known.iter().filter(|known| now < known.learned_at + RECENT_MS);
        recent.map(|known| known.departure.clone()).collect()
    }

    /// Position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    fn newer(&self, position: u64) -> impl Iterator<Item = &Known> {
        let first = self.known.partition_point(|known| known.position <= position);
        self.known.range(first..)
    }

    fn find(&self, incarnation: &Incarnation) -> Option<usize> {
        self.known.iter().position(|known| known.departure.incarnation.may_equal(incarnation))
    }
}

fn departure_in(record: &NodeRecord) -> Option<KnownDeparture> {
    let instance = record.instance.as_ref()?;
    let (node, state) = (record.address, instance.state);
    let leaves = state != InstanceState::Ready;
    leaves.then(|| KnownDeparture { node, incarnation: instance.incarnation(), state })
}
