//! The configuration in force on this node.

use crate::currency::Currency;
use crate::Millis;
use bundle::{Bundle, BundleUpdate, CallLimits, Digest, SealKeys};
use forward::RoutingTable;
use tracing::{info, warn};

/// The newest configuration applied; it is replaced whole and never goes back.
#[derive(Default)]
pub struct Config {
    bundle: Bundle,
    routing: Option<RoutingTable>,
    limits: CallLimits,
    /// What coordinators say of the newest generation.
    pub currency: Currency,
}

impl Config {
    /// The routes; `None` before the first configuration.
    pub fn routing(&self) -> Option<&RoutingTable> {
        self.routing.as_ref()
    }

    /// The bounds on calls.
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// Digest of the content held.
    pub fn digest(&self) -> Digest {
        self.bundle.digest()
    }

    /// Generation applied; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.generation)
    }

    /// Whether what is held is known to be the newest, or was a moment ago.
    pub fn is_current(&self, now: Millis) -> bool {
        self.currency.confirms(self.generation(), now)
    }

    /// Applies a generation; true if it is in force now.
    pub fn apply(&mut self, generation: u64, update: &BundleUpdate) -> bool {
        if generation <= self.generation() {
            return false;
        }
        let bundle = match update.apply(&self.bundle) {
            Ok(bundle) => bundle.sharing_with(&self.bundle),
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
        let routes = bundle.routes().count();
        info!(generation, digest = ?bundle.digest(), routes, "generation_in_force");
        self.limits = bundle.limits();
        self.bundle = bundle;
        self.routing = Some(routing);
        true
    }
}
