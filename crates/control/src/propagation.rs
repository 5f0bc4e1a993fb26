//! Propagation of configuration generations as reported by relays, shared between threads.

use rollout::FleetSpread;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Shared handle to the fleet's propagation state; clones refer to the same state.
#[derive(Clone, Default)]
pub(crate) struct SharedSpread(Arc<Mutex<FleetSpread>>);

impl SharedSpread {
    pub fn lock(&self) -> MutexGuard<'_, FleetSpread> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
