//! Tenants: customers whose calls are identified by API keys.

use crate::LIMITS;
use ring::digest::{Context, SHA256};
use serde::de::{Error, IgnoredAny};
use serde::{Deserialize, Deserializer, Serialize};
use speedy::{Readable, Writable};
use std::fmt;

/// Domain separation between key fingerprints and other digests.
const FINGERPRINT_DOMAIN: &[u8] = b"chutecove key fingerprint\0";

/// A customer whose calls are identified by API keys, with its quota for the whole fleet.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name, which is passed to upstreams.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// API keys accepted from callers. They are secret and must never be logged.
    #[speedy(length_type = u64_varint)]
    #[serde(default, deserialize_with = "read_keys")]
    pub keys: Vec<String>,
    /// Request rate limit over all nodes together, in thousandths of a request per second; 0 means
    /// no limit.
    #[serde(default)]
    pub rate_milli: u64,
    /// Number of requests allowed in a burst on top of the rate.
    #[serde(default)]
    pub burst: u64,
    /// Order among tenants under load shedding; 0 is served first. It takes precedence over the
    /// rank of a route; with `None` only the route's rank applies.
    #[serde(default)]
    pub rank: Option<u32>,
    /// Free-form text set by the operator's tools; stored and returned unchanged, never
    /// interpreted. It may contain the keys.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

impl Tenant {
    /// Fingerprints of the keys, for use in logs and messages.
    pub fn fingerprints(&self) -> Vec<KeyFingerprint> {
        self.keys.iter().map(|key| KeyFingerprint::of(key.as_bytes())).collect()
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum KeysInput {
    Keys(Vec<String>),
    Other(IgnoredAny),
}

/// Deserializes a list of keys. Unlike the default error, the error for other input does not quote
/// the input, which may contain keys.
pub(crate) fn read_keys<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<String>, D::Error> {
    match KeysInput::deserialize(input)? {
        KeysInput::Keys(keys) => Ok(keys),
        KeysInput::Other(_) => Err(D::Error::custom("keys must be a list of texts")),
    }
}

impl fmt::Debug for Tenant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tenant({}, {} keys, redacted)", self.name, self.keys.len())
    }
}

/// A short digest that identifies a key in logs, problems and lists of changes; it is the same on
/// every node. It is too short to recover a strong key, but can confirm a guess of a weak one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyFingerprint(u32);

impl KeyFingerprint {
    /// Computes the fingerprint of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut context = Context::new(&SHA256);
        context.update(FINGERPRINT_DOMAIN);
        context.update(key);
        let digest = context.finish();
        let first = digest.as_ref().first_chunk().expect("a digest is longer than four bytes");
        Self(u32::from_be_bytes(*first))
    }
}

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Describes what is invalid about a single key, if anything. The description does not contain the
/// key.
pub(crate) fn key_problem(key: &str) -> Option<String> {
    if key.is_empty() {
        return Some("is empty".to_owned());
    }
    let limit = LIMITS.key_bytes;
    if key.len() > limit {
        return Some(format!("has {} bytes, at most {limit} are allowed", key.len()));
    }
    let invalid_in_header = key.bytes().any(|byte| byte.is_ascii_control())
        || key.as_bytes() != key.as_bytes().trim_ascii();
    invalid_in_header.then(|| {
        "has control characters, or blanks at an end, which no header can carry".to_owned()
    })
}
