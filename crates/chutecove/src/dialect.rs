//! The native HTTP API of sidecars and coordinators, as specified in docs/API.md.

use bundle::{Bundle, Object};
use coordinator::{CanaryOrder, OperatorCall, OperatorDialect, Replacement};
use mesh::{CallRate, Fingerprint, Incarnation, InstanceRecord, InstanceState, QuarantineEntry};
use rollout::{CanaryRecord, EvacuationRecord};
use serde::{Deserialize, Serialize};
use sidecar::{HeaderNames, RegistrationCall, RegistrationDialect, ReportedLoad};
use std::collections::{BTreeMap, BTreeSet};

/// Names of the headers that callers, sidecars and upstreams exchange.
pub const HEADERS: HeaderNames = HeaderNames {
    attempt_id: "X-Chutecove-Attempt-Id",
    deadline_ms: "X-Chutecove-Deadline-Ms",
    seal: "X-Chutecove-Seal",
    expect_instance: "X-Chutecove-Expect-Instance",
    not_run: "X-Chutecove-Not-Run",
    caller: "X-Chutecove-Caller",
    api_key: "X-Chutecove-Api-Key",
    tenant: "X-Chutecove-Tenant",
    load: "X-Chutecove-Load",
    rate_limit: "X-Chutecove-Rate-Limit",
    leaving: "X-Chutecove-Leaving",
};

const INSTANCES_PREFIX: &str = "/v1/instances/";
const HEARTBEAT_SUFFIX: &str = "/heartbeat";
const LEAVE_SUFFIX: &str = "/leave";
const READY_PATH: &str = "/readyz";
/// Value of the header of an upstream that is leaving.
const LEAVING: &str = "1";
const CONFIGURATION_PATH: &str = "/v1/configuration";
const CANARIES_PATH: &str = "/v1/canaries";
const EVACUATIONS_PATH: &str = "/v1/evacuations";
const QUARANTINE_PATH: &str = "/v1/quarantine";
const PRECONDITION_HEADER: &str = "If-Match";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Heartbeat {
    service: String,
    /// Version of the software that the upstream runs.
    #[serde(default)]
    version: String,
    slots: u32,
    #[serde(default)]
    draining: bool,
    sequence: u64,
    #[serde(default)]
    cold_remaining_ms: u32,
    /// Time at which the upstream started, in Unix milliseconds.
    #[serde(default)]
    born_ms: u64,
}

/// Parses the registration calls of upstreams: `POST /v1/instances/ID/heartbeat` and `.../leave`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeRegistrationDialect;

impl RegistrationDialect for NativeRegistrationDialect {
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Option<RegistrationCall> {
        let rest = target.strip_prefix(INSTANCES_PREFIX).filter(|_| method == "POST")?;
        if let Some(instance) = rest.strip_suffix(LEAVE_SUFFIX) {
            let incarnation = Incarnation { id: instance.to_owned(), born_ms: 0 };
            return Some(RegistrationCall::Leave { incarnation });
        }
        let id = rest.strip_suffix(HEARTBEAT_SUFFIX)?.to_owned();
        Some(match serde_json::from_slice::<Heartbeat>(body) {
            Err(error) => RegistrationCall::Unreadable { reason: error.to_string() },
            Ok(heartbeat) => RegistrationCall::Heartbeat {
                record: InstanceRecord {
                    id,
                    version: heartbeat.version,
                    state: match heartbeat.draining {
                        true => InstanceState::Draining,
                        false => InstanceState::Ready,
                    },
                    slots: heartbeat.slots,
                    cold_remaining_ms: heartbeat.cold_remaining_ms,
                    born_ms: heartbeat.born_ms,
                },
                service: heartbeat.service,
                sequence: heartbeat.sequence,
            },
        })
    }

    fn read_load(&self, _value: &str) -> Option<ReportedLoad> {
        // Upstreams that use the native API do not report their load.
        None
    }

    fn read_rate_limit(&self, value: &str) -> Option<CallRate> {
        value.parse().ok()
    }

    fn read_leaving(&self, value: &str) -> bool {
        value.trim() == LEAVING
    }

    fn ready_path(&self) -> &'static str {
        READY_PATH
    }
}

/// A request to start a canary of another version of a service's upstreams.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Canary {
    service: String,
    version: String,
    duration_ms: u64,
}

/// JSON representation of a quarantined request, which no upstream receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Identifies the request, also in the logs of all nodes.
    pub fingerprint: String,
    /// Number of upstreams that crashed while they ran it.
    pub crashes: usize,
    /// Time until it leaves quarantine, in milliseconds.
    pub left_ms: u64,
}

/// JSON representation of an evacuated zone, whose upstreams receive no calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// Name of the zone.
    pub zone: String,
    /// Time since the evacuation was ordered, in milliseconds.
    pub age_ms: u64,
}

fn parse_zone(url: &str) -> Option<String> {
    url.strip_prefix(EVACUATIONS_PATH)?.strip_prefix('/').map(str::to_owned)
}

/// JSON representation of a complete configuration.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    version: u64,
    objects: Vec<Object>,
}

/// Parses a complete configuration document and returns its version and content.
pub fn read_document(body: &[u8]) -> Result<(u64, Bundle), String> {
    let document: Document = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let mut seen = BTreeSet::new();
    if let Some(duplicate) =
        document.objects.iter().map(Object::id).find(|id| !seen.insert(id.clone()))
    {
        return Err(format!("{duplicate} is there twice"));
    }
    Ok((document.version, Bundle::from_objects(document.objects)))
}

/// Parses the requests of operators for configurations, canaries, evacuations and the quarantine, and
/// writes the responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeOperatorDialect;

impl OperatorDialect for NativeOperatorDialect {
    fn classify(&self, method: &str, url: &str) -> Option<OperatorCall> {
        match (method, url) {
            ("PUT", CONFIGURATION_PATH) => Some(OperatorCall::Replace),
            ("GET", CONFIGURATION_PATH) => Some(OperatorCall::Read),
            ("POST", CANARIES_PATH) => Some(OperatorCall::StartCanary),
            ("GET", QUARANTINE_PATH) => Some(OperatorCall::ListQuarantine),
            ("GET", EVACUATIONS_PATH) => Some(OperatorCall::ListEvacuations),
            ("PUT", url) => Some(OperatorCall::EvacuateZone { zone: parse_zone(url)? }),
            ("DELETE", url) if url.starts_with(EVACUATIONS_PATH) => {
                Some(OperatorCall::RestoreZone { zone: parse_zone(url)? })
            }
            ("DELETE", url) => {
                let digits = url.strip_prefix(QUARANTINE_PATH)?.strip_prefix('/')?;
                let fingerprint = Fingerprint(u64::from_str_radix(digits, 16).ok()?);
                Some(OperatorCall::ClearQuarantine { fingerprint })
            }
            ("GET", url) => {
                let service = url.strip_prefix(CANARIES_PATH)?.strip_prefix('/')?.to_owned();
                Some(OperatorCall::ReadCanary { service })
            }
            _ => None,
        }
    }

    fn read_replacement(
        &self,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Replacement, String> {
        let expected = precondition.and_then(|text| text.trim().parse().ok());
        let expected_version = expected.ok_or("If-Match must hold the version it builds on")?;
        let (version, bundle) = read_document(body)?;
        Ok(Replacement { expected_version, version, bundle })
    }

    fn read_canary_order(&self, body: &[u8]) -> Result<CanaryOrder, String> {
        let order: Canary = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let Canary { service, version, duration_ms } = order;
        Ok(CanaryOrder { service, version, duration_ms })
    }

    fn write_canary(&self, canary: &CanaryRecord) -> Vec<u8> {
        serde_json::to_vec(canary).expect("a canary record can be written as JSON")
    }

    fn write_evacuations(
        &self,
        zones: &BTreeMap<String, EvacuationRecord>,
        now_ms: u64,
    ) -> Vec<u8> {
        let to_row = |(zone, record): (&String, &EvacuationRecord)| EvacuatedZone {
            zone: zone.clone(),
            age_ms: now_ms.saturating_sub(record.ordered_ms),
        };
        let rows: Vec<EvacuatedZone> = zones.iter().map(to_row).collect();
        serde_json::to_vec(&rows).expect("the rows can be written as JSON")
    }

    fn write_quarantine(&self, entries: &[QuarantineEntry]) -> Vec<u8> {
        let to_row = |entry: &QuarantineEntry| QuarantinedRequest {
            fingerprint: entry.fingerprint.to_string(),
            crashes: entry.crashes.len(),
            left_ms: entry.left_ms,
        };
        let rows: Vec<QuarantinedRequest> = entries.iter().map(to_row).collect();
        serde_json::to_vec(&rows).expect("the rows can be written as JSON")
    }

    fn precondition_header(&self) -> &'static str {
        PRECONDITION_HEADER
    }

    fn write_configuration(&self, version: u64, bundle: &Bundle) -> Vec<u8> {
        let objects = bundle.objects().values().map(|hashed| hashed.object.clone()).collect();
        serde_json::to_vec(&Document { version, objects }).unwrap_or_default()
    }
}
