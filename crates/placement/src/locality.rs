//! Network distance to an upstream, and the cost of sending a call there.

use mesh::{NodeAddress, NodeRecord};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Link utilization above which messages queue for the link.
const UNCONTENDED_LINK_UTILIZATION: f64 = 0.6;
/// Cost of a fully utilized link, as a fraction of the value of a call answered in time.
const SATURATED_LINK_COST: f64 = 0.5;

/// Fixed cost of sending a call to another node, as a fraction of the value of a call answered in
/// time.
const MESSAGE_COST: f64 = 0.015;
/// Cost of moving a kilobyte between zones, in the same unit.
const COST_PER_KB: f64 = 0.06;
const BYTES_PER_KB: f64 = 1_000.0;
/// Value of a call answered in time: the unit of all costs in this module.
const VALUE_OF_A_CALL: f64 = 1.0;
/// Size of the headers of a request and its response, bytes.
const HEAD_BYTES: f64 = 700.0;
/// Upper bound on the cost of cross-zone bytes, so that a call that would be late in its own zone
/// still goes to another one.
const MAX_BYTES_COST: f64 = 0.4;

/// Round-trip time between regions, milliseconds: the planned regions are 20 to 25 ms apart one
/// way.
const REGION_RTT_MS: f64 = 45.0;
/// Cost of another region on top of that of another zone, as a fraction of the value of a call
/// answered in time. Regions lose connectivity for minutes several times a year, which fails the
/// calls between them, and all those calls share one link. The cost is below that of being late
/// behind a full queue, so calls leave a region that has no capacity.
const REGION_COST: f64 = 0.3;

/// Location of a node, and the speed of its link.
#[derive(Clone, Debug)]
pub struct Locality {
    own: NodeAddress,
    zone: Rc<str>,
    regions: Regions,
    link_bytes_per_ms: Option<f64>,
}

/// Region of each zone. A zone without an entry counts as in the same region as any other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<String, String>);

impl Regions {
    /// Creates the mapping from zone to region.
    pub fn new(by_zone: BTreeMap<String, String>) -> Self {
        Self(by_zone)
    }

    /// Whether two zones are in one region; true unless both regions are known and differ.
    fn are_in_one_region(&self, zone: &str, other: &str) -> bool {
        match (self.0.get(zone), self.0.get(other)) {
            (Some(region), Some(other)) => region == other,
            _ => true,
        }
    }
}

/// Network distance from this node to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// The upstream that this node's own sidecar serves.
    Local,
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

impl Locality {
    /// The location of the node with the address `own`.
    pub fn new(own: NodeAddress, zone: &str) -> Self {
        Self { own, zone: zone.into(), regions: Regions::default(), link_bytes_per_ms: None }
    }

    /// Sets the regions of zones.
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions, ..self }
    }

    /// Sets the capacity of this machine's link in each direction; `None` if unknown.
    pub fn with_link(self, bytes_per_ms: Option<f64>) -> Self {
        Self { link_bytes_per_ms: bytes_per_ms, ..self }
    }

    /// Capacity of this machine's link in each direction, bytes per millisecond.
    pub fn link_bytes_per_ms(&self) -> Option<f64> {
        self.link_bytes_per_ms
    }

    /// Address of this node.
    pub fn own(&self) -> &NodeAddress {
        &self.own
    }

    /// Distance to a node.
    pub fn distance(&self, record: &NodeRecord) -> Distance {
        match record.address == self.own {
            true => Distance::Local,
            false if *record.zone == *self.zone => Distance::SameZone,
            false if self.regions.are_in_one_region(&self.zone, &record.zone) => {
                Distance::OtherZone
            }
            false => Distance::OtherRegion,
        }
    }
}

impl Distance {
    /// Whether the upstream is in another zone.
    pub fn leaves_zone(self) -> bool {
        matches!(self, Self::OtherZone | Self::OtherRegion)
    }

    /// Round-trip time over idle links, milliseconds.
    pub fn base_rtt_ms(self) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameZone => 0.5,
            Self::OtherZone => 3.0,
            Self::OtherRegion => REGION_RTT_MS,
        }
    }

    /// Whether transferring an answer of this length from there costs more than the call is worth.
    pub fn is_too_costly(self, answer_bytes: f64) -> bool {
        self.leaves_zone() && answer_bytes / BYTES_PER_KB * COST_PER_KB > VALUE_OF_A_CALL
    }

    /// Cost of sending a call there, including the bytes that the call and its answer move, as a
    /// fraction of the value of a call answered in time. Bytes between nodes of one zone are free
    /// in themselves; the fixed cost stands for the load on two links.
    pub fn cost(self, moved_bytes: f64) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameZone => MESSAGE_COST,
            Self::OtherZone => {
                let bytes = (moved_bytes + HEAD_BYTES) / BYTES_PER_KB;
                MESSAGE_COST + (bytes * COST_PER_KB).min(MAX_BYTES_COST)
            }
            Self::OtherRegion => Self::OtherZone.cost(moved_bytes) + REGION_COST,
        }
    }
}

/// Cost of sending a call to a machine with this link utilization, 0 to 1: requests and responses
/// queue for the link, which the sidecar's queue length does not show.
pub fn link_cost(utilization: f64) -> f64 {
    let excess = (utilization - UNCONTENDED_LINK_UTILIZATION).max(0.0)
        / (1.0 - UNCONTENDED_LINK_UTILIZATION);
    excess.powi(2) * SATURATED_LINK_COST
}
