//! Bundle objects, such as services, routes and sealed secrets, and the bundle itself.

use crate::{Digest, Tenant};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Size of the chunks in which a bundle's manifest is hashed, in bytes.
const MANIFEST_CHUNK_BYTES: usize = 4 * 1024;
/// Size of the object count at the start of an encoded bundle, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Service {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Maximum number of concurrent calls per upstream.
    pub upstream_slots: u32,
    /// Maximum number of connections per upstream.
    pub upstream_connections: u32,
    /// Reduced capacity after a start; `None` if an upstream has its full capacity at once.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Free-form text set by the operator's tools; stored and returned unchanged, never
    /// interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// Capacity of an upstream during its cold start, as measured by its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Duration of the cold start, in milliseconds.
    pub lasts_ms: u32,
    /// Maximum call rate during the cold start, in thousandths of a call per second.
    pub rate_milli: u32,
}

/// Priority of calls under load shedding.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Readable,
    Writable,
)]
#[serde(rename_all = "lowercase")]
#[speedy(tag_type = u8)]
pub enum Priority {
    /// Shed first: reports and other work that can wait.
    Low,
    /// Ordinary reads.
    Normal,
    /// Shed last: charges and refunds.
    High,
}

/// A service of a route with its share of the route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of a service in the same bundle.
    #[speedy(length_type = u64_varint)]
    pub service: String,
    /// Share of calls relative to the weights of the other targets.
    pub weight: u32,
}

/// Rule that maps matching calls to services and defines how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Route {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Host that the call must specify, or `*` for any host.
    #[speedy(length_type = u64_varint)]
    pub host: String,
    /// Required prefix of the call's path.
    #[speedy(length_type = u64_varint)]
    pub path_prefix: String,
    /// Matching HTTP methods; empty means any method.
    #[speedy(length_type = u64_varint)]
    pub methods: Vec<String>,
    /// Target services with their weights; at least one.
    #[speedy(length_type = u64_varint)]
    pub targets: Vec<Target>,
    /// Name of the secret sent to the upstream as a bearer token.
    pub secret: Option<String>,
    /// Maximum duration of a call, in milliseconds.
    pub timeout_ms: u32,
    /// Whether calls are idempotent, so that they may be retried.
    pub repeatable: bool,
    /// Priority of the route's calls under load shedding.
    pub priority: Priority,
    /// Maximum number of retries, as a percentage of the route's calls.
    pub retry_budget_percent: u32,
    /// Calls are refused when the configuration may be older than this, in seconds; 0 means never.
    pub max_staleness_s: u32,
    /// Maximum number of upstreams that one call is sent to.
    pub attempts: u32,
    /// Latency objective for responses, in milliseconds; 0 means the whole timeout.
    pub target_latency_ms: u32,
    /// Order among routes of the same priority under load shedding; 0 is served first.
    pub rank: u32,
    /// Whether calls are allowed without a tenant key even if the bundle has tenants.
    #[serde(default)]
    pub keyless: bool,
    /// Free-form text set by the operator's tools; stored and returned unchanged, never
    /// interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// Limits on the size and timing of incoming calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct CallLimits {
    /// Maximum size of a call's request line and headers, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a call's body, in bytes.
    pub body_bytes: u32,
    /// Maximum time to receive the request line and headers, in milliseconds.
    pub header_timeout_ms: u32,
    /// Maximum idle time of a connection between calls, in milliseconds.
    pub idle_timeout_ms: u32,
    /// Free-form text set by the operator's tools; stored and returned unchanged, never
    /// interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// Object name of the single [`CallLimits`] of a bundle.
pub const CALL_LIMITS_NAME: &str = "limits";

impl Default for CallLimits {
    fn default() -> Self {
        CallLimits {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            annotation: String::new(),
        }
    }
}

/// A secret whose value is encrypted so that only proxies can read it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct SealedSecret {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Id of the sealing key.
    pub key_id: u32,
    /// Nonce used for the encryption.
    pub nonce: [u8; 12],
    /// Ciphertext followed by the authentication tag.
    #[speedy(length_type = u64_varint)]
    pub ciphertext: Vec<u8>,
}

impl fmt::Debug for SealedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealedSecret({}, key {}, redacted)", self.name, self.key_id)
    }
}

/// Kind of an object.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Readable,
    Writable,
)]
#[serde(rename_all = "lowercase")]
#[speedy(tag_type = u8)]
pub enum ObjectKind {
    /// A [`Service`].
    Service,
    /// A [`Route`].
    Route,
    /// A [`SealedSecret`].
    Secret,
    /// The [`CallLimits`].
    Limits,
    /// A [`Tenant`].
    Tenant,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ObjectKind::Service => "service",
            ObjectKind::Route => "route",
            ObjectKind::Secret => "secret",
            ObjectKind::Limits => "limits",
            ObjectKind::Tenant => "tenant",
        })
    }
}

/// Identifies an object within a bundle.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique among objects of the same kind.
    #[speedy(length_type = u64_varint)]
    pub name: String,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} '{}'", self.kind, self.name)
    }
}

/// One object of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Object {
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
    /// A sealed secret.
    Secret(SealedSecret),
    /// Limits on incoming calls.
    Limits(CallLimits),
    /// A tenant.
    Tenant(Tenant),
}

impl Object {
    /// Id of the object within the bundle.
    pub fn id(&self) -> ObjectId {
        let (kind, name) = match self {
            Object::Service(service) => (ObjectKind::Service, service.name.as_str()),
            Object::Route(route) => (ObjectKind::Route, route.name.as_str()),
            Object::Secret(secret) => (ObjectKind::Secret, secret.name.as_str()),
            Object::Limits(_) => (ObjectKind::Limits, CALL_LIMITS_NAME),
            Object::Tenant(tenant) => (ObjectKind::Tenant, tenant.name.as_str()),
        };
        ObjectId { kind, name: name.to_owned() }
    }

    /// Canonical encoding, from which the digest is computed.
    pub fn encode(&self) -> Vec<u8> {
        self.write_to_vec().expect("encoding to memory cannot fail")
    }
}

/// An object with the digest of its canonical encoding.
#[derive(Debug, PartialEq, Eq)]
pub struct HashedObject {
    /// The object.
    pub object: Object,
    /// Digest of the canonical encoding.
    pub digest: Digest,
    /// Length of the canonical encoding, in bytes.
    pub encoded_bytes: usize,
}

impl HashedObject {
    /// Encodes an object and computes its digest.
    pub fn of(object: Object) -> Self {
        let encoded = object.encode();
        Self { object, digest: Digest::of(&encoded), encoded_bytes: encoded.len() }
    }
}

/// A reference-counted route that shares its memory with the bundle.
#[derive(Clone, Debug)]
pub struct SharedRoute(Arc<HashedObject>);

impl SharedRoute {
    fn of(hashed: &Arc<HashedObject>) -> Option<Self> {
        matches!(hashed.object, Object::Route(_)).then(|| Self(hashed.clone()))
    }
}

impl Deref for SharedRoute {
    type Target = Route;

    fn deref(&self) -> &Route {
        match &self.0.object {
            Object::Route(route) => route,
            _ => unreachable!("a SharedRoute is only built from a route"),
        }
    }
}

/// A complete configuration. Clones share the objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    objects: BTreeMap<ObjectId, Arc<HashedObject>>,
    digest: Digest,
}

impl Default for Bundle {
    fn default() -> Self {
        Bundle::from_objects(Vec::new())
    }
}

impl Bundle {
    /// Builds a bundle; a later object replaces an earlier one with the same id. The objects are
    /// not validated; see [`Bundle::check`].
    pub fn from_objects(objects: Vec<Object>) -> Self {
        let hash = |object: Object| (object.id(), Arc::new(HashedObject::of(object)));
        Bundle::from_hashed(objects.into_iter().map(hash).collect())
    }

    pub(crate) fn from_hashed(objects: BTreeMap<ObjectId, Arc<HashedObject>>) -> Self {
        let digest = manifest_digest(&objects);
        Bundle { objects, digest }
    }

    /// Digest over the ids and digests of all objects.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// All objects by id.
    pub fn objects(&self) -> &BTreeMap<ObjectId, Arc<HashedObject>> {
        &self.objects
    }

    /// The services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// The routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Route(route) => Some(route),
            _ => None,
        })
    }

    /// The routes, ordered by name, each sharing its memory with this bundle.
    pub fn shared_routes(&self) -> impl Iterator<Item = SharedRoute> + '_ {
        self.objects.values().filter_map(SharedRoute::of)
    }

    /// The sealed secrets, ordered by name.
    pub fn secrets(&self) -> impl Iterator<Item = &SealedSecret> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Secret(secret) => Some(secret),
            _ => None,
        })
    }

    /// The tenants, ordered by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Tenant(tenant) => Some(tenant),
            _ => None,
        })
    }

    /// The limits on incoming calls, or the defaults if the bundle has none.
    pub fn limits(&self) -> CallLimits {
        let found = self.objects.values().find_map(|hashed| match &hashed.object {
            Object::Limits(limits) => Some(limits.clone()),
            _ => None,
        });
        found.unwrap_or_default()
    }

    /// Whether an object of this kind and name is present.
    pub fn contains(&self, kind: ObjectKind, name: &str) -> bool {
        self.objects.contains_key(&ObjectId { kind, name: name.to_owned() })
    }

    /// Returns the same bundle, sharing memory with `other` for every object they have in common.
    pub fn sharing_with(&self, other: &Bundle) -> Bundle {
        let shared = |(id, hashed): (&ObjectId, &Arc<HashedObject>)| {
            let known = other.objects.get(id).filter(|known| known.digest == hashed.digest);
            (id.clone(), known.unwrap_or(hashed).clone())
        };
        Bundle { objects: self.objects.iter().map(shared).collect(), digest: self.digest }
    }

    /// Encodes all objects; the inverse of [`Bundle::decode`].
    pub fn encode(&self) -> Vec<u8> {
        let objects: Vec<Object> =
            self.objects.values().map(|hashed| hashed.object.clone()).collect();
        objects.write_to_vec().expect("encoding to memory cannot fail")
    }

    /// Length of the output of [`Bundle::encode`], in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let objects: usize = self.objects.values().map(|hashed| hashed.encoded_bytes).sum();
        LENGTH_PREFIX_BYTES + objects
    }

    /// Decodes the output of [`Bundle::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        Vec::<Object>::read_from_buffer(bytes).map(Bundle::from_objects)
    }
}

fn manifest_digest(objects: &BTreeMap<ObjectId, Arc<HashedObject>>) -> Digest {
    let mut context = ring::digest::Context::new(&ring::digest::SHA256);
    // Hashed in chunks: hashing a few bytes at a time takes twice as long.
    let mut buffer = Vec::with_capacity(2 * MANIFEST_CHUNK_BYTES);
    for (id, hashed) in objects {
        buffer.push(id.kind as u8);
        buffer.extend((id.name.len() as u32).to_le_bytes());
        buffer.extend(id.name.as_bytes());
        buffer.extend(hashed.digest.0);
        if buffer.len() >= MANIFEST_CHUNK_BYTES {
            context.update(&buffer);
            buffer.clear();
        }
    }
    context.update(&buffer);
    let mut digest = [0; 32];
    digest.copy_from_slice(context.finish().as_ref());
    Digest(digest)
}
