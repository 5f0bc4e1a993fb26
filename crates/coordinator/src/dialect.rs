//! Operator API dialects: a dialect defines the format of requests and responses, the runtime their
//! effect.

use bundle::Bundle;
use mesh::{Fingerprint, QuarantineEntry};
use rollout::{CanaryRecord, EvacuationRecord};
use std::collections::BTreeMap;

/// An operation requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the whole configuration.
    Replace,
    /// Read the latest configuration.
    Read,
    /// Start a canary that moves a service to another version of its upstreams.
    StartCanary,
    /// Read the state of the latest canary of a service.
    ReadCanary {
        /// The service.
        service: String,
    },
    /// Stop sending calls to the upstreams of a zone.
    EvacuateZone {
        /// The zone.
        zone: String,
    },
    /// Resume sending calls to the upstreams of an evacuated zone.
    RestoreZone {
        /// The zone.
        zone: String,
    },
    /// List the evacuated zones.
    ListEvacuations,
    /// List the quarantined requests.
    ListQuarantine,
    /// Release a request from quarantine.
    ClearQuarantine {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

/// An order to move a service to another version of its upstreams by a canary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CanaryOrder {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// Time within which the version should be fully rolled out, milliseconds.
    pub duration_ms: u64,
}

/// A request to replace the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    /// The version that it is based on; 0 for the first configuration.
    pub expected_version: u64,
    /// The new version.
    pub version: u64,
    /// The new content.
    pub bundle: Bundle,
}

/// Translates between an operator's format and internal types, without making any decisions.
pub trait OperatorDialect: Send + Sync + 'static {
    /// The operation of a request; `None` if it is not part of the operator API.
    fn classify(&self, method: &str, url: &str) -> Option<OperatorCall>;

    /// Parses a replacement; the error states what is malformed.
    fn read_replacement(
        &self,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Replacement, String>;

    /// Parses a canary order; the error states what is malformed.
    fn read_canary_order(&self, body: &[u8]) -> Result<CanaryOrder, String>;

    /// Encodes the state of a canary.
    fn write_canary(&self, canary: &CanaryRecord) -> Vec<u8>;

    /// Encodes the evacuated zones; `_now_ms` is the current time in Unix milliseconds. Optional
    /// for dialects without this operation.
    fn write_evacuations(
        &self,
        _zones: &BTreeMap<String, EvacuationRecord>,
        _now_ms: u64,
    ) -> Vec<u8> {
        Vec::new()
    }

    /// Encodes the quarantined requests. Optional for dialects without this operation.
    fn write_quarantine(&self, _entries: &[QuarantineEntry]) -> Vec<u8> {
        Vec::new()
    }

    /// Name of the header that carries the version on which a replacement is based.
    fn precondition_header(&self) -> &'static str;

    /// Encodes a configuration in the format of a replacement.
    fn write_configuration(&self, version: u64, bundle: &Bundle) -> Vec<u8>;
}
