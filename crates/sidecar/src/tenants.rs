//! Tenants of one configuration generation, looked up by the API keys that callers present.
//!
//! Keys are looked up by a keyed digest (HMAC), which callers cannot compute, so the duration of a
//! lookup does not reveal how close a wrong key is to a valid one.

use bundle::{Bundle, Digest, Object, Tenant};
use ring::hmac;
use ring::rand::SystemRandom;
use std::fmt;
use std::rc::Rc;

/// Number of bytes kept of the keyed digest: enough that collisions do not occur in practice.
const DIGEST_BYTES: usize = 16;
/// Low bits of the combined rank that hold the rank of the route.
const ROUTE_RANK_BITS: u32 = 16;
/// Largest rank of a tenant or a route; larger ones count as this.
const MAX_RANK: u32 = (1 << ROUTE_RANK_BITS) - 1;

/// Digest of an API key under a secret of this process; stored instead of the API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Computes digests of API keys, with a secret that is generated randomly in each process.
pub struct KeyDigester(hmac::Key);

impl Default for KeyDigester {
    fn default() -> Self {
        let key = hmac::Key::generate(hmac::HMAC_SHA256, &SystemRandom::new());
        Self(key.expect("the system random number generator works"))
    }
}

impl KeyDigester {
    fn digest(&self, key: &[u8]) -> KeyDigest {
        let tag = hmac::sign(&self.0, key);
        let first = tag.as_ref().first_chunk();
        KeyDigest(*first.expect("an HMAC-SHA-256 tag is longer than DIGEST_BYTES"))
    }
}

/// A tenant in the form used to process calls.
#[derive(Debug, PartialEq, Eq)]
pub struct CompiledTenant {
    /// Its name.
    pub name: Rc<str>,
    /// Its rank among tenants; 0 goes first.
    pub rank: Option<u32>,
    /// Rate limit over all nodes together, thousandths of a request per second; 0 means no limit.
    pub rate_milli: u64,
    /// Number of requests that it may send in a burst on top of its rate.
    pub burst: u64,
    keys: Box<[KeyDigest]>,
    /// Digest of the configuration object that it was compiled from.
    source: Digest,
}

impl CompiledTenant {
    fn compile(tenant: &Tenant, source: Digest, digester: &KeyDigester) -> Self {
        Self {
            name: tenant.name.as_str().into(),
            rank: tenant.rank,
            rate_milli: tenant.rate_milli,
            burst: tenant.burst,
            keys: tenant.keys.iter().map(|key| digester.digest(key.as_bytes())).collect(),
            source,
        }
    }
}

/// The tenant of a call and the key that identified it.
#[derive(Clone, Debug)]
pub struct KeyHolder {
    /// The tenant.
    pub tenant: Rc<CompiledTenant>,
    /// The key.
    pub key: KeyDigest,
}

/// Why a caller's API keys identify no tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyProblem {
    /// The call has no key.
    Missing,
    /// The call has several different keys.
    Several,
    /// The key belongs to no tenant.
    Unknown,
}

impl fmt::Display for KeyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "key_missing",
            Self::Several => "several_keys",
            Self::Unknown => "key_unknown",
        })
    }
}

/// The tenants of one configuration generation.
#[derive(Debug, Default)]
pub struct Tenants {
    /// Sorted by name.
    tenants: Vec<Rc<CompiledTenant>>,
    /// Sorted keys with the indices of their tenants.
    by_key: Vec<(KeyDigest, u32)>,
}

impl Tenants {
    /// Compiles the tenants of a bundle. Unchanged tenants are reused from the previous generation,
    /// because computing the digests of their keys is the most expensive part.
    pub fn compile(bundle: &Bundle, digester: &KeyDigester, previous: &Rc<Self>) -> Rc<Self> {
        let mut compiled = Vec::new();
        for hashed in bundle.objects().values() {
            let Object::Tenant(tenant) = &hashed.object else {
                continue;
            };
            let unchanged = previous.get(&tenant.name).filter(|old| old.source == hashed.digest);
            let compile = || Rc::new(CompiledTenant::compile(tenant, hashed.digest, digester));
            compiled.push(unchanged.cloned().unwrap_or_else(compile));
        }
        if compiled.len() == previous.tenants.len()
            && compiled.iter().zip(&previous.tenants).all(|(new, old)| Rc::ptr_eq(new, old))
        {
            return previous.clone();
        }
        Rc::new(Self::from_sorted(compiled))
    }

    /// Indexes tenants that are sorted by name.
    fn from_sorted(tenants: Vec<Rc<CompiledTenant>>) -> Self {
        let mut by_key = Vec::with_capacity(tenants.iter().map(|tenant| tenant.keys.len()).sum());
        for (index, tenant) in (0..).zip(&tenants) {
            by_key.extend(tenant.keys.iter().map(|key| (*key, index)));
        }
        by_key.sort_unstable();
        Self { tenants, by_key }
    }

    /// Whether there are no tenants, so that calls need no keys.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// All tenants, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<CompiledTenant>> {
        self.tenants.iter()
    }

    /// Whether any tenant has a rate limit.
    pub fn any_limit(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.rate_milli > 0)
    }

    /// Finds a tenant by name.
    pub fn get(&self, name: &str) -> Option<&Rc<CompiledTenant>> {
        let index = self.tenants.binary_search_by(|tenant| (*tenant.name).cmp(name)).ok()?;
        self.tenants.get(index)
    }

    /// The tenant that a key belongs to.
    pub fn holder(&self, key: KeyDigest) -> Option<&Rc<CompiledTenant>> {
        let index = self.by_key.binary_search_by_key(&key, |(digest, _)| *digest).ok()?;
        self.tenants.get(self.by_key[index].1 as usize)
    }

    /// Identifies the tenant by the keys that a caller presents: the values of its API key header,
    /// with surrounding whitespace ignored.
    pub fn identify<'a>(
        &self,
        mut presented: impl Iterator<Item = &'a [u8]>,
        digester: &KeyDigester,
    ) -> Result<KeyHolder, KeyProblem> {
        let first = presented.next().ok_or(KeyProblem::Missing)?.trim_ascii();
        if presented.any(|other| other.trim_ascii() != first) {
            return Err(KeyProblem::Several);
        }
        let key = digester.digest(first);
        let tenant = self.holder(key).ok_or(KeyProblem::Unknown)?.clone();
        Ok(KeyHolder { tenant, key })
    }
}

/// Combined rank of a call for all queues and for load shedding: ordered by the tenant's rank, then
/// by the route's; 0 goes first. Ranks above 65,535 count as 65,535. A call without a tenant, or of
/// a tenant without a rank, counts as one of tenant rank 0: most such calls are made by running
/// requests that occupy a slot until they are answered.
pub fn combined_rank(tenant: Option<u32>, route: u32) -> u32 {
    let tenant = tenant.unwrap_or_default().min(MAX_RANK);
    tenant << ROUTE_RANK_BITS | route.min(MAX_RANK)
}
