//! How far an upstream is, and what it costs to go there.

use mesh::{NodeAddress, NodeRecord};
use std::rc::Rc;

/// Part of a link in use from which on messages wait for it.
const FREE_PART_OF_LINK: f64 = 0.6;
/// What a link that is wholly in use costs, as a part of the worth of a call that is in time.
const FULL_LINK_COST: f64 = 0.5;

/// What another node costs whatever is moved, as a part of the worth of a call that is in time.
const MESSAGE_COST: f64 = 0.015;
/// What a kilobyte between zones costs, as such a part.
const COST_PER_KB: f64 = 0.06;
const BYTES_PER_KB: f64 = 1_000.0;
/// What a call in time is worth: the unit of all costs here.
const WORTH_OF_A_CALL: f64 = 1.0;
/// Heads of a request and its answer, bytes.
const HEAD_BYTES: f64 = 700.0;
/// Another zone never costs more than this for its bytes: a call that would be late goes there.
const MOST_BYTES_COST: f64 = 0.4;

/// Where a node is among the others.
#[derive(Clone, Debug)]
pub struct Locality {
    own: NodeAddress,
    zone: Rc<str>,
    link_bytes_per_ms: Option<f64>,
}

/// How far an upstream is from a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Beside this node.
    Own,
    /// In its zone.
    Zone,
    /// In another zone.
    Far,
}

impl Locality {
    /// The place of the node that is reached at `own`.
    pub fn new(own: NodeAddress, zone: &str) -> Self {
        Self { own, zone: zone.into(), link_bytes_per_ms: None }
    }

    /// The same, on a machine whose link carries so much each way; `None` if that is not known.
    pub fn with_link(self, bytes_per_ms: Option<f64>) -> Self {
        Self { link_bytes_per_ms: bytes_per_ms, ..self }
    }

    /// What this machine's link carries each way, bytes a millisecond.
    pub fn link_bytes_per_ms(&self) -> Option<f64> {
        self.link_bytes_per_ms
    }

    /// The node itself.
    pub fn own(&self) -> &NodeAddress {
        &self.own
    }

    /// How far a node is.
    pub fn distance(&self, record: &NodeRecord) -> Distance {
        match record.address == self.own {
            true => Distance::Own,
            false if *record.zone == *self.zone => Distance::Zone,
            false => Distance::Far,
        }
    }
}

impl Distance {
    /// Time to it and back over links that are not busy, milliseconds.
    pub fn usual_ms(self) -> f64 {
        match self {
            Self::Own => 0.0,
            Self::Zone => 0.5,
            Self::Far => 3.0,
        }
    }

    /// Whether an answer of this length costs more to be brought from there than its call is worth.
    pub fn is_too_dear(self, answer_bytes: f64) -> bool {
        self == Self::Far && answer_bytes / BYTES_PER_KB * COST_PER_KB > WORTH_OF_A_CALL
    }

    /// Cost of the bytes that a call and its answer move, as a part of the worth of a call that is
    /// in time. To another node of the zone they cost nothing by themselves, but they fill two
    /// links.
    pub fn cost(self, moved_bytes: f64) -> f64 {
        match self {
            Self::Own => 0.0,
            Self::Zone => MESSAGE_COST,
            Self::Far => {
                let bytes = (moved_bytes + HEAD_BYTES) / BYTES_PER_KB;
                MESSAGE_COST + (bytes * COST_PER_KB).min(MOST_BYTES_COST)
            }
        }
    }
}

/// Cost of going to a machine of whose link this part is in use, 0 to 1: answers and requests wait
/// there for each other, which no queue of the sidecar shows.
pub fn link_cost(part_in_use: f64) -> f64 {
    let beyond = (part_in_use - FREE_PART_OF_LINK).max(0.0) / (1.0 - FREE_PART_OF_LINK);
    beyond.powi(2) * FULL_LINK_COST
}
