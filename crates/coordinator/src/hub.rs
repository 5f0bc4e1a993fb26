//! What wakes the links: the registry, and that something changed.

use crate::{Millis, Registry};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The registry with its readers.
pub(crate) struct Hub {
    state: Mutex<HubState>,
    changed: Condvar,
}

/// What links look at.
pub(crate) struct HubState {
    pub registry: Registry,
    /// Rises with each change of the configuration or the members.
    pub revision: u64,
}

impl Hub {
    pub fn new(lease_ms: u64) -> Self {
        let state = HubState { registry: Registry::new(lease_ms), revision: 0 };
        Hub { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every link.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    /// Notes that the configuration or the members may have changed.
    pub fn bump(&self) {
        self.lock().revision += 1;
        self.notify();
    }

    /// Waits until the registry or the revision is not as given any more.
    pub fn wait(&self, position: u64, revision: u64, longest: Duration) {
        let state = self.lock();
        let same = |state: &mut HubState| {
            state.registry.position() == position && state.revision == revision
        };
        let waited = self.changed.wait_timeout_while(state, longest, same);
        drop(waited);
    }

    /// Removes the sidecars whose lease ended.
    pub fn expire(&self, now: Millis) {
        if self.lock().registry.expire(now) {
            self.notify();
        }
    }
}
