//! Services, routes and sealed secrets, and the bundle that holds them.

use crate::{Digest, Tenant};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Bytes of a bundle's manifest that are digested at a time.
const MANIFEST_PIECE_BYTES: usize = 4 * 1024;
/// Bytes that tell how many objects follow.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A group of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Service {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Calls one upstream runs at once.
    pub upstream_slots: u32,
    /// Connections one upstream accepts in all.
    pub upstream_connections: u32,
    /// What an upstream bears after its start; `None` if that is no less than later.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Text of the operator's tools, kept and returned as it came and never interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// What an upstream bears while it is cold, as its operator measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How long it stays cold after a start, milliseconds.
    pub lasts_ms: u32,
    /// Calls that it bears meanwhile, thousandths a second.
    pub rate_milli: u32,
}

/// Which calls are kept when there is not room for all.
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

/// One of a route's services with its share of calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of a service in the same bundle.
    #[speedy(length_type = u64_varint)]
    pub service: String,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// Which calls go where, and under which promises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Route {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Host the call must name, or `*`.
    #[speedy(length_type = u64_varint)]
    pub host: String,
    /// Prefix of the path.
    #[speedy(length_type = u64_varint)]
    pub path_prefix: String,
    /// Methods; empty means any.
    #[speedy(length_type = u64_varint)]
    pub methods: Vec<String>,
    /// Services with weights; at least one.
    #[speedy(length_type = u64_varint)]
    pub targets: Vec<Target>,
    /// Secret sent to the back end as a bearer token.
    pub secret: Option<String>,
    /// Longest a call may take, milliseconds.
    pub timeout_ms: u32,
    /// Whether running a call twice is harmless.
    pub repeatable: bool,
    /// Which calls are shed first.
    pub priority: Priority,
    /// Retries allowed, per cent of the route's calls.
    pub retry_budget_percent: u32,
    /// Refuse calls when the configuration may be older than this, seconds; 0 means never.
    pub max_staleness_s: u32,
    /// Most upstreams one call may be sent to.
    pub attempts: u32,
    /// Time within which an answer is worth most, milliseconds; 0 means the whole timeout.
    pub target_latency_ms: u32,
    /// Order among routes of one priority when there is not room for all; 0 goes first.
    pub rank: u32,
    /// Whether its calls need no key, although the bundle has tenants.
    #[serde(default)]
    pub keyless: bool,
    /// Text of the operator's tools, kept and returned as it came and never interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct CallLimits {
    /// Longest head of a call, bytes.
    pub header_bytes: u32,
    /// Longest body of a call, bytes.
    pub body_bytes: u32,
    /// Longest time for sending a head, milliseconds.
    pub header_timeout_ms: u32,
    /// Longest rest of a connection between calls, milliseconds.
    pub idle_timeout_ms: u32,
    /// Text of the operator's tools, kept and returned as it came and never interpreted.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

/// Name under which the one [`CallLimits`] of a bundle is kept.
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

/// A secret's value, sealed so that only proxies can read it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct SealedSecret {
    /// Unique name.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Which sealing key opens it.
    pub key_id: u32,
    /// Nonce of the sealing.
    pub nonce: [u8; 12],
    /// Ciphertext and tag.
    #[speedy(length_type = u64_varint)]
    pub ciphertext: Vec<u8>,
}

impl fmt::Debug for SealedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealedSecret({}, key {}, redacted)", self.name, self.key_id)
    }
}

/// The kinds of object.
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

/// Names an object within a bundle.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct ObjectId {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name, unique within the kind.
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
    /// Bounds on calls.
    Limits(CallLimits),
    /// A tenant.
    Tenant(Tenant),
}

impl Object {
    /// Its name within the bundle.
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

    /// The canonical encoding, over which the digest is taken.
    pub fn encode(&self) -> Vec<u8> {
        self.write_to_vec().expect("encoding to memory cannot fail")
    }
}

/// An object with the digest of its canonical encoding.
#[derive(Debug, PartialEq, Eq)]
pub struct HashedObject {
    /// The object.
    pub object: Object,
    /// Its digest.
    pub digest: Digest,
    /// Length of its canonical encoding, bytes.
    pub bytes: usize,
}

impl HashedObject {
    /// An object with what is known of its encoding.
    pub fn of(object: Object) -> Self {
        let encoded = object.encode();
        Self { object, digest: Digest::of(&encoded), bytes: encoded.len() }
    }
}

/// A route that shares its memory with the bundle it is part of.
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
            _ => unreachable!("it is only made of routes"),
        }
    }
}

/// A whole configuration. Cloning shares the objects.
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
    /// Puts objects together; a later object replaces an earlier one of the same id. References
    /// are not checked here, see [`Bundle::check`].
    pub fn from_objects(objects: Vec<Object>) -> Self {
        let hash = |object: Object| (object.id(), Arc::new(HashedObject::of(object)));
        Bundle::from_hashed(objects.into_iter().map(hash).collect())
    }

    pub(crate) fn from_hashed(objects: BTreeMap<ObjectId, Arc<HashedObject>>) -> Self {
        let digest = manifest_digest(&objects);
        Bundle { objects, digest }
    }

    /// Digest over the names and digests of all objects.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// All objects by id.
    pub fn objects(&self) -> &BTreeMap<ObjectId, Arc<HashedObject>> {
        &self.objects
    }

    /// The services, by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// The routes, by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Route(route) => Some(route),
            _ => None,
        })
    }

    /// The routes, by name, each sharing its memory with this bundle.
    pub fn shared_routes(&self) -> impl Iterator<Item = SharedRoute> + '_ {
        self.objects.values().filter_map(SharedRoute::of)
    }

    /// The sealed secrets, by name.
    pub fn secrets(&self) -> impl Iterator<Item = &SealedSecret> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Secret(secret) => Some(secret),
            _ => None,
        })
    }

    /// The tenants, by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.objects.values().filter_map(|hashed| match &hashed.object {
            Object::Tenant(tenant) => Some(tenant),
            _ => None,
        })
    }

    /// The bounds on calls, or the default ones.
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

    /// The same bundle, sharing the memory of every object that `other` has as well.
    pub fn sharing_with(&self, other: &Bundle) -> Bundle {
        let shared = |(id, hashed): (&ObjectId, &Arc<HashedObject>)| {
            let known = other.objects.get(id).filter(|known| known.digest == hashed.digest);
            (id.clone(), known.unwrap_or(hashed).clone())
        };
        Bundle { objects: self.objects.iter().map(shared).collect(), digest: self.digest }
    }

    /// All objects, encoded; the inverse of [`Bundle::decode`].
    pub fn encode(&self) -> Vec<u8> {
        let objects: Vec<Object> =
            self.objects.values().map(|hashed| hashed.object.clone()).collect();
        objects.write_to_vec().expect("encoding to memory cannot fail")
    }

    /// Length of what [`Bundle::encode`] writes, bytes.
    pub fn encoded_bytes(&self) -> usize {
        let objects: usize = self.objects.values().map(|hashed| hashed.bytes).sum();
        LENGTH_PREFIX_BYTES + objects
    }

    /// Decodes what [`Bundle::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        Vec::<Object>::read_from_buffer(bytes).map(Bundle::from_objects)
    }
}

fn manifest_digest(objects: &BTreeMap<ObjectId, Arc<HashedObject>>) -> Digest {
    let mut context = ring::digest::Context::new(&ring::digest::SHA256);
    // Collected before it is digested: a few bytes at a time take twice as long.
    let mut collected = Vec::with_capacity(2 * MANIFEST_PIECE_BYTES);
    for (id, hashed) in objects {
        collected.push(id.kind as u8);
        collected.extend((id.name.len() as u32).to_le_bytes());
        collected.extend(id.name.as_bytes());
        collected.extend(hashed.digest.0);
        if collected.len() >= MANIFEST_PIECE_BYTES {
            context.update(&collected);
            collected.clear();
        }
    }
    context.update(&collected);
    let mut digest = [0; 32];
    digest.copy_from_slice(context.finish().as_ref());
    Digest(digest)
}
