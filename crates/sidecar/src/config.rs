//! The configuration in force on this node.

use crate::currency::ConfigFreshness;
use crate::tenants::{KeyDigester, KeyHolder, KeyProblem, Tenants};
use crate::Millis;
use bundle::{Bundle, BundleUpdate, CallLimits, ColdStart, Digest, SealKeys, Service};
use forward::RoutingTable;
use mesh::InstanceRecord;
use std::rc::Rc;
use tracing::{info, warn};

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// A configuration that is ready to be put in force.
struct Prepared {
    bundle: Bundle,
    routing: RoutingTable,
    tenants: Rc<Tenants>,
}

/// The newest configuration applied; it is replaced whole and never goes back. One that a
/// coordinator without a leader told is only prepared: it is put in force once it is announced.
#[derive(Default)]
pub struct Config {
    bundle: Bundle,
    routing: Option<RoutingTable>,
    tenants: Rc<Tenants>,
    digester: KeyDigester,
    prepared: Option<Prepared>,
    limits: CallLimits,
    /// What coordinators say of the newest generation.
    pub freshness: ConfigFreshness,
}

impl Config {
    /// The routes; `None` before the first configuration.
    pub fn routing(&self) -> Option<&RoutingTable> {
        self.routing.as_ref()
    }

    /// The tenants.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// Which tenant a call is of, by the keys that its caller shows; `None` if it needs none.
    pub fn tenant_of_call<'a>(
        &self,
        keyless: bool,
        mut shown: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<KeyHolder>, KeyProblem> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        match self.tenants.identify(&mut shown, &self.digester) {
            Err(KeyProblem::Missing) if keyless => Ok(None),
            found => found.map(Some),
        }
    }

    /// The bounds on calls.
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// What upstreams of a service bear while they are cold.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.bundle.services().find(|held| held.name == service)?.cold_start
    }

    /// What an upstream told of itself, cold for no longer than upstreams of its service are.
    pub fn bounded_cold(&self, record: &InstanceRecord, service: &str) -> InstanceRecord {
        let longest_ms =
            self.cold_start(service).map_or(u32::MAX, |cold_start| cold_start.lasts_ms);
        let cold_remaining_ms = record.cold_remaining_ms.min(longest_ms);
        InstanceRecord { cold_remaining_ms, ..record.clone() }
    }

    /// The services whose cold upstreams bear less, with what they bear, calls a second.
    pub fn cold_rates(&self) -> impl Iterator<Item = (&str, f64)> {
        let rated = |service: &'_ Service| service.cold_start.map(|cold| cold.rate_milli);
        self.bundle.services().filter_map(move |service| {
            Some((service.name.as_str(), f64::from(rated(service)?) / MILLI))
        })
    }

    /// Digest of the newest content held, in force or prepared.
    pub fn digest(&self) -> Digest {
        self.newest_held().digest()
    }

    fn newest_held(&self) -> &Bundle {
        self.prepared.as_ref().map_or(&self.bundle, |prepared| &prepared.bundle)
    }

    /// Generation applied; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.generation)
    }

    /// Whether what is held is known to be the newest, or was a moment ago.
    pub fn is_current(&self, now: Millis) -> bool {
        self.freshness.confirms(self.generation(), now)
    }

    /// Applies a generation; true if it is in force now.
    pub fn apply(&mut self, generation: u64, update: &BundleUpdate) -> bool {
        if !self.prepare(generation, update) {
            return false;
        }
        self.put_in_force(generation)
    }

    /// Makes a generation ready without putting it in force; true if it is ready.
    pub fn prepare(&mut self, generation: u64, update: &BundleUpdate) -> bool {
        if generation <= self.generation() {
            return false;
        }
        let held = self.newest_held();
        let bundle = match update.apply(held) {
            Ok(bundle) => bundle,
            Err(error) => {
                warn!(generation, %error, "generation_not_applied");
                return false;
            }
        };
        let routing = match RoutingTable::compile(generation, &bundle, &SealKeys::default()) {
            Ok(routing) => routing,
            Err(error) => {
                warn!(generation, %error, "generation_not_applied");
                return false;
            }
        };
        let before = self.prepared.as_ref().map_or(&self.tenants, |prepared| &prepared.tenants);
        let tenants = Tenants::compile(&bundle, &self.digester, before);
        self.prepared = Some(Prepared { bundle, routing, tenants });
        true
    }

    /// Puts the generation that was made ready in force, if it is this one and newer than what is
    /// in force.
    pub fn put_in_force(&mut self, generation: u64) -> bool {
        let fits = |prepared: &mut Prepared| prepared.routing.generation == generation;
        let newer = generation > self.generation();
        let Some(Prepared { bundle, routing, tenants }) =
            self.prepared.take_if(|held| newer && fits(held))
        else {
            return false;
        };
        let routes = bundle.routes().count();
        let tenant_count = tenants.iter().count();
        info!(
            generation, digest = ?bundle.digest(), routes, tenants = tenant_count,
            "generation_in_force"
        );
        self.limits = bundle.limits();
        self.bundle = bundle;
        self.routing = Some(routing);
        self.tenants = tenants;
        true
    }
}
