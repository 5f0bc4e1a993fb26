//! How far an upstream is, and what it costs to go there.

use mesh::{NodeAddress, NodeRecord};
use std::collections::BTreeMap;
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

/// Time there and back between regions, milliseconds: those planned for are 20 to 25 ms apart.
const REMOTE_MS: f64 = 45.0;
/// What another region costs beyond another zone, as a part of the worth of a call that is in time: its
/// calls end when regions lose each other, which they do for minutes several times a year, and all share
/// one link. Less than the risk of being late behind a full queue, so calls leave a region without room.
const REMOTE_COST: f64 = 0.3;

/// Where a node is among the others.
#[derive(Clone, Debug)]
pub struct Locality {
    own: NodeAddress,
    zone: Rc<str>,
    regions: Regions,
    link_bytes_per_ms: Option<f64>,
}

/// Region of each zone; zones that are not named are all in one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<String, String>);

impl Regions {
    /// Regions by zone.
    pub fn new(by_zone: BTreeMap<String, String>) -> Self {
        Self(by_zone)
    }

    /// Whether two zones are in one region for all that is known.
    fn are_one(&self, zone: &str, other: &str) -> bool {
        match (self.0.get(zone), self.0.get(other)) {
            (Some(region), Some(other)) => region == other,
            _ => true,
        }
    }
}

/// How far an upstream is from a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Beside this node.
    Local,
    /// In its zone.
    SameZone,
    /// In another zone of its region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

impl Locality {
    /// The place of the node that is reached at `own`.
    pub fn new(own: NodeAddress, zone: &str) -> Self {
        Self { own, zone: zone.into(), regions: Regions::default(), link_bytes_per_ms: None }
    }

    /// The same, where zones are in these regions.
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions, ..self }
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
            true => Distance::Local,
            false if *record.zone == *self.zone => Distance::SameZone,
            false if self.regions.are_one(&self.zone, &record.zone) => Distance::OtherZone,
            false => Distance::OtherRegion,
        }
    }
}

impl Distance {
    /// Whether it is in another zone.
    pub fn leaves_zone(self) -> bool {
        matches!(self, Self::OtherZone | Self::OtherRegion)
    }

    /// Time to it and back over links that are not busy, milliseconds.
    pub fn usual_ms(self) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameZone => 0.5,
            Self::OtherZone => 3.0,
            Self::OtherRegion => REMOTE_MS,
        }
    }

    /// Whether an answer of this length costs more to be brought from there than its call is worth.
    pub fn is_too_costly(self, answer_bytes: f64) -> bool {
        self.leaves_zone() && answer_bytes / BYTES_PER_KB * COST_PER_KB > WORTH_OF_A_CALL
    }

    /// Cost of the bytes that a call and its answer move, as a part of the worth of a call that is
    /// in time. To another node of the zone they cost nothing by themselves, but they fill two
    /// links.
    pub fn cost(self, moved_bytes: f64) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameZone => MESSAGE_COST,
            Self::OtherZone => {
                let bytes = (moved_bytes + HEAD_BYTES) / BYTES_PER_KB;
                MESSAGE_COST + (bytes * COST_PER_KB).min(MOST_BYTES_COST)
            }
            Self::OtherRegion => Self::OtherZone.cost(moved_bytes) + REMOTE_COST,
        }
    }
}

/// Cost of going to a machine of whose link this part is in use, 0 to 1: answers and requests wait
/// there for each other, which no queue of the sidecar shows.
pub fn link_cost(part_in_use: f64) -> f64 {
    let beyond = (part_in_use - FREE_PART_OF_LINK).max(0.0) / (1.0 - FREE_PART_OF_LINK);
    beyond.powi(2) * FULL_LINK_COST
}
