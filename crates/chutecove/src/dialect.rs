//! The product's own interface for sidecars and coordinators; docs/API.md describes it.

use bundle::{Bundle, Object};
use coordinator::{CanaryOrder, OperatorCall, OperatorDialect, Replacement};
use mesh::{Fingerprint, Incarnation, InstanceRecord, InstanceState, QuarantineEntry};
use rollout::{CanaryRecord, EvacuationRecord};
use serde::{Deserialize, Serialize};
use sidecar::{HeaderNames, RegistrationCall, RegistrationDialect, ReportedLoad};
use std::collections::{BTreeMap, BTreeSet};

/// Header names between callers, sidecars and upstreams.
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
};

const INSTANCES: &str = "/v1/instances/";
const HEARTBEAT: &str = "/heartbeat";
const LEAVE: &str = "/leave";
const READY_PATH: &str = "/readyz";
const CONFIGURATION: &str = "/v1/configuration";
const CANARIES: &str = "/v1/canaries";
const EVACUATIONS: &str = "/v1/evacuations";
const QUARANTINE: &str = "/v1/quarantine";
const PRECONDITION: &str = "If-Match";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Heartbeat {
    service: String,
    /// Version of its software.
    #[serde(default)]
    version: String,
    slots: u32,
    #[serde(default)]
    draining: bool,
    sequence: u64,
    #[serde(default)]
    cold_remaining_ms: u32,
    /// When it started, Unix milliseconds.
    #[serde(default)]
    born_ms: u64,
}

/// Registration of upstreams: `POST /v1/instances/ID/heartbeat` and `.../leave`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeRegistrationDialect;

impl RegistrationDialect for NativeRegistrationDialect {
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Option<RegistrationCall> {
        let rest = target.strip_prefix(INSTANCES).filter(|_| method == "POST")?;
        if let Some(instance) = rest.strip_suffix(LEAVE) {
            let incarnation = Incarnation { id: instance.to_owned(), born_ms: 0 };
            return Some(RegistrationCall::Leave { incarnation });
        }
        let id = rest.strip_suffix(HEARTBEAT)?.to_owned();
        Some(match serde_json::from_slice::<Heartbeat>(body) {
            Err(error) => RegistrationCall::Unreadable { reason: error.to_string() },
            Ok(told) => RegistrationCall::Heartbeat {
                record: InstanceRecord {
                    id,
                    version: told.version,
                    state: match told.draining {
                        true => InstanceState::Draining,
                        false => InstanceState::Ready,
                    },
                    slots: told.slots,
                    cold_remaining_ms: told.cold_remaining_ms,
                    born_ms: told.born_ms,
                },
                service: told.service,
                sequence: told.sequence,
            },
        })
    }

    fn read_load(&self, _value: &str) -> Option<ReportedLoad> {
        // The product's own upstreams tell nothing of their load.
        None
    }

    fn ready_path(&self) -> &'static str {
        READY_PATH
    }
}

/// An order to move a service to another version of its upstreams.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Canary {
    service: String,
    version: String,
    duration_ms: u64,
}

/// A request that is kept from upstreams, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Names it; the same in all logs.
    pub fingerprint: String,
    /// Upstreams that ended under it.
    pub crashes: usize,
    /// How much longer, milliseconds.
    pub left_ms: u64,
}

/// A zone whose upstreams get no calls, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: String,
    /// Time since it was ordered, milliseconds.
    pub age_ms: u64,
}

fn zone_of(url: &str) -> Option<String> {
    url.strip_prefix(EVACUATIONS)?.strip_prefix('/').map(str::to_owned)
}

/// A whole configuration as JSON.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    version: u64,
    objects: Vec<Object>,
}

/// Reads a whole configuration: its version and its content.
pub fn read_document(body: &[u8]) -> Result<(u64, Bundle), String> {
    let document: Document = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let mut seen = BTreeSet::new();
    if let Some(again) = document.objects.iter().map(Object::id).find(|id| !seen.insert(id.clone()))
    {
        return Err(format!("{again} is there twice"));
    }
    Ok((document.version, Bundle::from_objects(document.objects)))
}

/// Orders of operators: `PUT` and `GET /v1/configuration`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeOperatorDialect;

impl OperatorDialect for NativeOperatorDialect {
    fn classify(&self, method: &str, url: &str) -> Option<OperatorCall> {
        match (method, url) {
            ("PUT", CONFIGURATION) => Some(OperatorCall::Replace),
            ("GET", CONFIGURATION) => Some(OperatorCall::Read),
            ("POST", CANARIES) => Some(OperatorCall::StartCanary),
            ("GET", QUARANTINE) => Some(OperatorCall::ListQuarantine),
            ("GET", EVACUATIONS) => Some(OperatorCall::ListEvacuations),
            ("PUT", url) => Some(OperatorCall::EvacuateZone { zone: zone_of(url)? }),
            ("DELETE", url) if url.starts_with(EVACUATIONS) => {
                Some(OperatorCall::RestoreZone { zone: zone_of(url)? })
            }
            ("DELETE", url) => {
                let name = url.strip_prefix(QUARANTINE)?.strip_prefix('/')?;
                let fingerprint = Fingerprint(u64::from_str_radix(name, 16).ok()?);
                Some(OperatorCall::ClearQuarantine { fingerprint })
            }
            ("GET", url) => {
                let service = url.strip_prefix(CANARIES)?.strip_prefix('/')?.to_owned();
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
        serde_json::to_vec(canary).expect("a record holds nothing that JSON cannot")
    }

    fn write_evacuations(
        &self,
        zones: &BTreeMap<String, EvacuationRecord>,
        now_ms: u64,
    ) -> Vec<u8> {
        let written = |(zone, record): (&String, &EvacuationRecord)| EvacuatedZone {
            zone: zone.clone(),
            age_ms: now_ms.saturating_sub(record.ordered_ms),
        };
        let rows: Vec<EvacuatedZone> = zones.iter().map(written).collect();
        serde_json::to_vec(&rows).expect("a row holds nothing that JSON cannot")
    }

    fn write_quarantine(&self, entries: &[QuarantineEntry]) -> Vec<u8> {
        let written = |entry: &QuarantineEntry| QuarantinedRequest {
            fingerprint: entry.fingerprint.to_string(),
            crashes: entry.crashes.len(),
            left_ms: entry.left_ms,
        };
        let rows: Vec<QuarantinedRequest> = entries.iter().map(written).collect();
        serde_json::to_vec(&rows).expect("a row holds nothing that JSON cannot")
    }

    fn precondition_header(&self) -> &'static str {
        PRECONDITION
    }

    fn write_configuration(&self, version: u64, bundle: &Bundle) -> Vec<u8> {
        let objects = bundle.objects().values().map(|hashed| hashed.object.clone()).collect();
        serde_json::to_vec(&Document { version, objects }).unwrap_or_default()
    }
}
