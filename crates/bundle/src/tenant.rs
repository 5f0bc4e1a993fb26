//! Tenants: customers whose callers are known by their keys.

use crate::LIMITS;
use ring::digest::{Context, SHA256};
use serde::de::{Error, IgnoredAny};
use serde::{Deserialize, Deserializer, Serialize};
use speedy::{Readable, Writable};
use std::fmt;

/// Sets digests of keys apart from digests of anything else.
const FINGERPRINT_DOMAIN: &[u8] = b"chutecove key fingerprint\0";

/// A customer whose callers are known by their keys, with what it may ask of the whole fleet.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name; upstreams are told it.
    #[speedy(length_type = u64_varint)]
    pub name: String,
    /// Keys that its callers send. They are secrets: never logged.
    #[speedy(length_type = u64_varint)]
    #[serde(default, deserialize_with = "read_keys")]
    pub keys: Vec<String>,
    /// Requests that it may send to all nodes together, thousandths a second; 0 means no limit.
    #[serde(default)]
    pub rate_milli: u64,
    /// Requests that it may send at once on top of its rate.
    #[serde(default)]
    pub burst: u64,
    /// Order among tenants when there is not room for all; 0 goes first, and it goes before the rank
    /// of a route. `None`: only the route's rank counts.
    #[serde(default)]
    pub rank: Option<u32>,
    /// Text of the operator's tools, kept and returned as it came and never interpreted. It may hold
    /// the keys.
    #[speedy(length_type = u64_varint)]
    #[serde(default)]
    pub annotation: String,
}

impl Tenant {
    /// What stands for its keys where they may be seen.
    pub fn fingerprints(&self) -> Vec<KeyFingerprint> {
        self.keys.iter().map(|key| KeyFingerprint::of(key.as_bytes())).collect()
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ReadKeys {
    Keys(Vec<String>),
    Other(IgnoredAny),
}

/// Reads a list of keys. What is no such list is not shown in the error, as it would be by default.
pub(crate) fn read_keys<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<String>, D::Error> {
    match ReadKeys::deserialize(input)? {
        ReadKeys::Keys(keys) => Ok(keys),
        ReadKeys::Other(_) => Err(D::Error::custom("keys must be a list of texts")),
    }
}

impl fmt::Debug for Tenant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tenant({}, {} keys, redacted)", self.name, self.keys.len())
    }
}

/// A short digest that stands for a key in logs, problems and lists of changes; the same on every
/// node. Too short to give the key away; a guess of a weak key can be confirmed by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyFingerprint(u32);

impl KeyFingerprint {
    /// The fingerprint of a key, whoever holds it.
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

/// What is wrong with a key by itself, if anything; the text does not hold the key.
pub(crate) fn flaw_of(key: &str) -> Option<String> {
    if key.is_empty() {
        return Some("is empty".to_owned());
    }
    let most = LIMITS.key_bytes;
    if key.len() > most {
        return Some(format!("has {} bytes, at most {most} are allowed", key.len()));
    }
    let cannot_stand_in_a_header = key.bytes().any(|byte| byte.is_ascii_control())
        || key.as_bytes() != key.as_bytes().trim_ascii();
    cannot_stand_in_a_header.then(|| {
        "has control characters, or blanks at an end, which no header can carry".to_owned()
    })
}
