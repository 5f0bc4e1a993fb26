//! Tenants of one generation, found by the keys that callers show.
//!
//! Keys are looked up by a keyed digest: how long that takes depends on what no caller can compute,
//! so it tells nothing of how near a wrong key is to a true one.

use bundle::{Bundle, Digest, Object, Tenant};
use ring::hmac;
use ring::rand::SystemRandom;
use std::fmt;
use std::rc::Rc;

/// Bytes of the keyed digest that are kept: enough that no two keys ever meet.
const DIGEST_BYTES: usize = 16;
/// Bits of the combined rank that the route's takes.
const ROUTE_RANK_BITS: u32 = 16;
/// Largest rank of a tenant or a route that is told from larger ones.
const LARGEST_RANK: u32 = (1 << ROUTE_RANK_BITS) - 1;

/// What stands for a key in memory: a digest under a key of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Makes digests of keys; another one in each process.
pub struct KeyDigester(hmac::Key);

impl Default for KeyDigester {
    fn default() -> Self {
        let key = hmac::Key::generate(hmac::HMAC_SHA256, &SystemRandom::new());
        Self(key.expect("the system gives random bytes"))
    }
}

impl KeyDigester {
    fn digest(&self, key: &[u8]) -> KeyDigest {
        let tag = hmac::sign(&self.0, key);
        let first = tag.as_ref().first_chunk();
        KeyDigest(*first.expect("a tag of SHA-256 is longer than what is kept of it"))
    }
}

/// A tenant as calls need it.
#[derive(Debug, PartialEq, Eq)]
pub struct CompiledTenant {
    /// Its name.
    pub name: Rc<str>,
    /// Its order among tenants, 0 first.
    pub rank: Option<u32>,
    /// Requests that it may send to all nodes together, thousandths a second; 0 means no limit.
    pub rate_milli: u64,
    /// Requests that it may send at once on top of its rate.
    pub burst: u64,
    keys: Box<[KeyDigest]>,
    /// Digest of the object that it was made from.
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

/// The tenant of a call, and by which key it is known.
#[derive(Clone, Debug)]
pub struct KeyHolder {
    /// The tenant.
    pub tenant: Rc<CompiledTenant>,
    /// The key.
    pub key: KeyDigest,
}

/// Why no tenant is known by what a caller shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyProblem {
    /// It shows no key.
    Missing,
    /// It shows keys that differ.
    Several,
    /// No tenant has it.
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

/// The tenants of one generation.
#[derive(Debug, Default)]
pub struct Tenants {
    tenants: Vec<Rc<CompiledTenant>>,
    /// Keys, in order, with the places of their tenants.
    by_key: Vec<(KeyDigest, u32)>,
}

impl Tenants {
    /// Takes the tenants out of a bundle. Those that are in the generation before it as they are, are
    /// taken from there: digests of their keys are what costs most.
    pub fn compile(bundle: &Bundle, digester: &KeyDigester, before: &Rc<Self>) -> Rc<Self> {
        let mut compiled = Vec::new();
        for hashed in bundle.objects().values() {
            let Object::Tenant(tenant) = &hashed.object else {
                continue;
            };
            let same = before.get(&tenant.name).filter(|held| held.source == hashed.digest);
            let made = || Rc::new(CompiledTenant::compile(tenant, hashed.digest, digester));
            compiled.push(same.cloned().unwrap_or_else(made));
        }
        if compiled.len() == before.tenants.len()
            && compiled.iter().zip(&before.tenants).all(|(new, held)| Rc::ptr_eq(new, held))
        {
            return before.clone();
        }
        Rc::new(Self::of(compiled))
    }

    /// Tenants in order of their names.
    fn of(tenants: Vec<Rc<CompiledTenant>>) -> Self {
        let mut by_key = Vec::with_capacity(tenants.iter().map(|tenant| tenant.keys.len()).sum());
        for (place, tenant) in (0..).zip(&tenants) {
            by_key.extend(tenant.keys.iter().map(|key| (*key, place)));
        }
        by_key.sort_unstable();
        Self { tenants, by_key }
    }

    /// Whether calls need no keys, because there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// All tenants, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<CompiledTenant>> {
        self.tenants.iter()
    }

    /// Whether any of them has a limit.
    pub fn any_limit(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.rate_milli > 0)
    }

    /// A tenant by its name.
    pub fn get(&self, name: &str) -> Option<&Rc<CompiledTenant>> {
        let place = self.tenants.binary_search_by(|tenant| (*tenant.name).cmp(name)).ok()?;
        self.tenants.get(place)
    }

    /// Who holds a key now.
    pub fn holder(&self, key: KeyDigest) -> Option<&Rc<CompiledTenant>> {
        let place = self.by_key.binary_search_by_key(&key, |(digest, _)| *digest).ok()?;
        self.tenants.get(self.by_key[place].1 as usize)
    }

    /// Who is known by the keys that a caller shows: the values of its header, blanks around them
    /// aside.
    pub fn identify<'a>(
        &self,
        mut shown: impl Iterator<Item = &'a [u8]>,
        digester: &KeyDigester,
    ) -> Result<KeyHolder, KeyProblem> {
        let first = shown.next().ok_or(KeyProblem::Missing)?.trim_ascii();
        if shown.any(|other| other.trim_ascii() != first) {
            return Err(KeyProblem::Several);
        }
        let key = digester.digest(first);
        let tenant = self.holder(key).ok_or(KeyProblem::Unknown)?.clone();
        Ok(KeyHolder { tenant, key })
    }
}

/// The one rank of a call in all queues and refusals: its tenant's goes before its route's, and 0
/// goes first. Ranks above 65,535 count as that. A call without a tenant, and one of a tenant
/// without a rank, stand as the first tenants do: most are calls that a run waits for with a slot
/// in its hands.
pub fn combined_rank(tenant: Option<u32>, route: u32) -> u32 {
    let tenant = tenant.unwrap_or_default().min(LARGEST_RANK);
    tenant << ROUTE_RANK_BITS | route.min(LARGEST_RANK)
}
