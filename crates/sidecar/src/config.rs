//! The configuration in force on this node.

use crate::currency::ConfigFreshness;
use crate::tenants::{KeyDigester, KeyHolder, KeyProblem, Tenants};
use crate::Millis;
use bundle::{Bundle, BundleUpdate, CallLimits, ColdStart, Digest, SealKeys, Service};
use forward::RoutingTable;
use mesh::InstanceRecord;
use std::rc::Rc;
use tracing::{info, warn};

/// Thousandths in one unit.
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// A configuration that is ready to be put in force.
struct Prepared {
    bundle: Bundle,
    routing: RoutingTable,
    tenants: Rc<Tenants>,
}

/// The newest applied configuration. It is always replaced as a whole, and never by an older one. A
/// configuration received from a coordinator without a leader is only prepared, and put in force
/// once it is announced.
#[derive(Default)]
pub struct Config {
    bundle: Bundle,
    routing: Option<RoutingTable>,
    tenants: Rc<Tenants>,
    digester: KeyDigester,
    prepared: Option<Prepared>,
    limits: CallLimits,
    /// The newest generation known to the coordinators.
    pub freshness: ConfigFreshness,
}

impl Config {
    /// The routing table; `None` before the first configuration.
    pub fn routing(&self) -> Option<&RoutingTable> {
        self.routing.as_ref()
    }

    /// The tenants.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// Identifies the tenant of a call by the keys that the caller presents; `None` if no tenant is
    /// required.
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

    /// The limits on calls.
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// The limits of a service's upstreams while they are cold.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.bundle.services().find(|held| held.name == service)?.cold_start
    }

    /// The state reported by an upstream, with its cold time capped at the configured one of its
    /// service.
    pub fn with_capped_cold_time(&self, record: &InstanceRecord, service: &str) -> InstanceRecord {
        let longest_ms =
            self.cold_start(service).map_or(u32::MAX, |cold_start| cold_start.lasts_ms);
        let cold_remaining_ms = record.cold_remaining_ms.min(longest_ms);
        InstanceRecord { cold_remaining_ms, ..record.clone() }
    }

    /// The services that limit their cold upstreams, with the allowed calls per second.
    pub fn cold_rates(&self) -> impl Iterator<Item = (&str, f64)> {
        let rated = |service: &'_ Service| service.cold_start.map(|cold| cold.rate_milli);
        self.bundle.services().filter_map(move |service| {
            Some((service.name.as_str(), f64::from(rated(service)?) / MILLIS_PER_UNIT))
        })
    }

    /// Digest of the newest content held, whether in force or prepared.
    pub fn digest(&self) -> Digest {
        self.newest_held().digest()
    }

    fn newest_held(&self) -> &Bundle {
        self.prepared.as_ref().map_or(&self.bundle, |prepared| &prepared.bundle)
    }

    /// Generation in force; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.generation)
    }

    /// Whether the generation in force was recently confirmed to be the newest.
    pub fn is_current(&self, now: Millis) -> bool {
        self.freshness.confirms(self.generation(), now)
    }

    /// Applies a generation; returns true if it is now in force.
    pub fn apply(&mut self, generation: u64, update: &BundleUpdate) -> bool {
        if !self.prepare(generation, update) {
            return false;
        }
        self.put_in_force(generation)
    }

    /// Prepares a generation without putting it in force; returns true if it is ready.
    pub fn prepare(&mut self, generation: u64, update: &BundleUpdate) -> bool {
        if generation <= self.generation() {
            return false;
        }
        let current = self.newest_held();
        let bundle = match update.apply(current) {
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

    /// Puts the prepared configuration in force if it has this generation and is newer than the one
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
