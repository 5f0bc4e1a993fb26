//! Evacuated zones: their upstreams get no calls until an operator restores them.

use crate::command::BadZoneSnafu;
use crate::{Accepted, Answer};
use serde::Serialize;
use snafu::ensure;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Longest name of a zone, bytes: every node keeps it.
const MOST_ZONE_BYTES: usize = 128;
/// Most zones evacuated at once: some times what the largest fleet planned for has.
const MOST_EVACUATED: usize = 64;

/// One evacuated zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct EvacuationRecord {
    /// When it was ordered, Unix milliseconds of the coordinator that took the order.
    pub ordered_ms: u64,
}

/// All evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(super) struct Evacuations {
    pub zones: BTreeMap<String, EvacuationRecord>,
    /// Log index of the newest change; 0 before the first.
    pub revision: u64,
}

impl Evacuations {
    /// Takes in an order. A zone that is evacuated already stays so, and is acknowledged again.
    pub fn start(&mut self, index: u64, zone: &str, ordered_ms: u64) -> Answer {
        let named = (1..=MOST_ZONE_BYTES).contains(&zone.len());
        ensure!(named, BadZoneSnafu { reason: "a zone has a name of 1 to 128 bytes" });
        if self.zones.contains_key(zone) {
            return Ok(Accepted::ZoneEvacuated { zone: zone.to_owned() });
        }
        let room = self.zones.len() < MOST_EVACUATED;
        ensure!(room, BadZoneSnafu { reason: "64 zones are evacuated already" });
        self.zones.insert(zone.to_owned(), EvacuationRecord { ordered_ms });
        self.revision = index;
        Ok(Accepted::ZoneEvacuated { zone: zone.to_owned() })
    }

    /// Takes an order back; one that does not hold is acknowledged as well.
    pub fn end(&mut self, index: u64, zone: &str) -> Answer {
        if self.zones.remove(zone).is_some() {
            self.revision = index;
        }
        Ok(Accepted::ZoneRestored { zone: zone.to_owned() })
    }
}
