//! Evacuated zones, whose upstreams receive no calls until an operator restores the zone.

use crate::command::BadZoneSnafu;
use crate::{Accepted, Answer};
use serde::Serialize;
use snafu::ensure;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Maximum length of a zone name in bytes. Limited because every node stores the names.
const MAX_ZONE_NAME_BYTES: usize = 128;
/// Maximum number of zones evacuated at once, several times the number of zones in the largest
/// planned fleet.
const MAX_EVACUATED_ZONES: usize = 64;

/// One evacuated zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct EvacuationRecord {
    /// Time of the command, in Unix milliseconds of the coordinator that accepted it.
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
    /// Evacuates a zone. If it is already evacuated, the command is acknowledged and changes nothing.
    pub fn start(&mut self, index: u64, zone: &str, ordered_ms: u64) -> Answer {
        let valid_name = (1..=MAX_ZONE_NAME_BYTES).contains(&zone.len());
        ensure!(valid_name, BadZoneSnafu { reason: "a zone has a name of 1 to 128 bytes" });
        if self.zones.contains_key(zone) {
            return Ok(Accepted::ZoneEvacuated { zone: zone.to_owned() });
        }
        let below_limit = self.zones.len() < MAX_EVACUATED_ZONES;
        ensure!(below_limit, BadZoneSnafu { reason: "64 zones are evacuated already" });
        self.zones.insert(zone.to_owned(), EvacuationRecord { ordered_ms });
        self.revision = index;
        Ok(Accepted::ZoneEvacuated { zone: zone.to_owned() })
    }

    /// Restores a zone. If it is not evacuated, the command is acknowledged and changes nothing.
    pub fn end(&mut self, index: u64, zone: &str) -> Answer {
        if self.zones.remove(zone).is_some() {
            self.revision = index;
        }
        Ok(Accepted::ZoneRestored { zone: zone.to_owned() })
    }
}
