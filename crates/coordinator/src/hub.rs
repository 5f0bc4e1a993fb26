//! What wakes the links: the registry, and that something changed.
//!
//! Only links that subscribed to the registry wake for its changes; with a thread a link, waking
//! all for each sidecar's change would cost a coordinator the square of the fleet.

use crate::{LoadBoard, Millis, Registry};
use canary::Evidence;
use mesh::{Fingerprint, PoisonNotice, QuarantineEntry};
use quarantine::{NoticeBoard, Verdict};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::info;

/// The registry with its readers.
pub(crate) struct Hub {
    state: Mutex<HubState>,
    registry_changed: Condvar,
    revised: Condvar,
}

/// What links look at.
pub(crate) struct HubState {
    pub registry: Registry,
    pub loads: LoadBoard,
    /// What was told of requests that may crash upstreams.
    pub poison: NoticeBoard,
    /// What was told of the canary of each service that has one under way.
    pub evidence: BTreeMap<String, Evidence>,
    /// Rises with each change of the configuration or the members.
    pub revision: u64,
}

impl Hub {
    pub fn new(lease_ms: u64) -> Self {
        let registry = Registry::new(lease_ms);
        let loads = LoadBoard::default();
        let state = HubState {
            registry,
            loads,
            poison: NoticeBoard::default(),
            evidence: BTreeMap::new(),
            revision: 0,
        };
        let (registry_changed, revised) = (Condvar::new(), Condvar::new());
        Hub { state: Mutex::new(state), registry_changed, revised }
    }

    pub fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the subscribers of the registry.
    pub fn notify(&self) {
        self.registry_changed.notify_all();
    }

    /// Notes that the configuration or the members may have changed.
    pub fn bump(&self) {
        self.lock().revision += 1;
        self.revised.notify_all();
    }

    /// Waits until the revision is not as given any more.
    pub fn wait_revised(&self, revision: u64, longest: Duration) {
        let same = |state: &mut HubState| state.revision == revision;
        drop(self.revised.wait_timeout_while(self.lock(), longest, same));
    }

    /// Waits until the registry or what is known of poison requests has moved on from a position;
    /// false if neither did.
    pub fn wait_news(&self, registry: u64, poison: u64, longest: Duration) -> bool {
        let same = |state: &mut HubState| {
            state.registry.position() == registry && state.poison.position() == poison
        };
        let waited = self.registry_changed.wait_timeout_while(self.lock(), longest, same);
        let (_state, result) = waited.unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }

    /// Takes in what was told of requests that may crash upstreams, by a sidecar here (`here`) or by
    /// another coordinator.
    pub fn take_poison(&self, notices: Vec<PoisonNotice>, here: bool, now: Millis) {
        let mut state = self.lock();
        let former = state.poison.position();
        for notice in notices {
            let verdict = state.poison.take(notice, here, now);
            if let Some(Verdict::Quarantined(entries)) = verdict {
                for QuarantineEntry { fingerprint, crashes, left_ms } in entries {
                    info!(%fingerprint, crashes, for_ms = left_ms, "request_quarantined");
                }
            }
        }
        if state.poison.position() != former {
            drop(state);
            self.notify();
        }
    }

    /// Lets upstreams have a request again, as an operator asks; false if it was not kept from them.
    pub fn clear_poison(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let cleared = self.lock().poison.clear(fingerprint, now);
        if cleared {
            self.notify();
        }
        cleared
    }

    /// Removes the sidecars whose lease ended, and what is too old of poison requests.
    pub fn expire(&self, now: Millis) {
        let mut state = self.lock();
        state.poison.expire(now);
        if !state.registry.expire(now) {
            return;
        }
        let HubState { registry, loads, .. } = &mut *state;
        loads.retain(|address| registry.lists(address));
        drop(state);
        self.notify();
    }
}
