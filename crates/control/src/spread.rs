//! The spread of generations as relays report it, shared by those who record and those who read.

use rollout::FleetSpread;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One record; clones share it.
#[derive(Clone, Default)]
pub(crate) struct SpreadRecord(Arc<Mutex<FleetSpread>>);

impl SpreadRecord {
    pub fn lock(&self) -> MutexGuard<'_, FleetSpread> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
