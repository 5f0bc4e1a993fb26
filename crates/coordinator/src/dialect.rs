//! How operators speak to a coordinator: the runtime knows what to do, a dialect how it is said.

use bundle::Bundle;
use mesh::{Fingerprint, QuarantineEntry};
use rollout::{CanaryRecord, EvacuationRecord};
use std::collections::BTreeMap;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the whole configuration.
    Replace,
    /// Read the newest configuration.
    Read,
    /// Move a service to another version of its upstreams.
    StartCanary,
    /// Read what became of the newest canary of a service.
    ReadCanary {
        /// The service.
        service: String,
    },
    /// Give the upstreams of a zone no more calls.
    EvacuateZone {
        /// The zone.
        zone: String,
    },
    /// Give the upstreams of an evacuated zone calls again.
    RestoreZone {
        /// The zone.
        zone: String,
    },
    /// List the evacuated zones.
    ListEvacuations,
    /// List the requests that are kept from upstreams.
    ListQuarantine,
    /// Let upstreams have a request again.
    ClearQuarantine {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// An order to move a service to another version of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CanaryOrder {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// Time within which it should have taken over, milliseconds.
    pub duration_ms: u64,
}

/// A configuration that should replace the one in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    /// The version it builds on; 0 for the first.
    pub expected_version: u64,
    /// Its own version.
    pub version: u64,
    /// Its content.
    pub bundle: Bundle,
}

/// Translates between an operator's format and the product's types. It decides nothing.
pub trait OperatorDialect: Send + Sync + 'static {
    /// What a request asks; `None` if it is no call of operators.
    fn classify(&self, method: &str, url: &str) -> Option<OperatorCall>;

    /// Reads a replacement; the error says what cannot be read.
    fn read_replacement(
        &self,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Replacement, String>;

    /// Reads an order for a canary; the error says what cannot be read.
    fn read_canary_order(&self, body: &[u8]) -> Result<CanaryOrder, String>;

    /// Writes what became of a canary.
    fn write_canary(&self, canary: &CanaryRecord) -> Vec<u8>;

    /// Writes the evacuated zones, at a time in Unix milliseconds. Dialects without such a call need
    /// none.
    fn write_evacuations(
        &self,
        _zones: &BTreeMap<String, EvacuationRecord>,
        _now_ms: u64,
    ) -> Vec<u8> {
        Vec::new()
    }

    /// Writes the requests that are kept from upstreams. Dialects without such a call need none.
    fn write_quarantine(&self, _entries: &[QuarantineEntry]) -> Vec<u8> {
        Vec::new()
    }

    /// Header that carries the version a replacement builds on.
    fn precondition_header(&self) -> &'static str;

    /// Writes a configuration the way a replacement is read.
    fn write_configuration(&self, version: u64, bundle: &Bundle) -> Vec<u8>;
}
