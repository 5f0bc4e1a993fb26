//! What the coordinator knows of its sidecars, and what wakes the thread that serves their links.

use crate::{LoadBoard, Millis, Registry};
use canary::Evidence;
use mesh::{Fingerprint, PoisonEvent, PoisonNotice, QuarantineEntry};
use mio::Waker;
use quarantine::{NoticeLog, Verdict};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use tracing::{info, warn};

/// What is known, shared by the loops of a coordinator.
pub(crate) struct Hub {
    state: Mutex<HubState>,
    waker: OnceLock<Waker>,
    /// Whether the thread of the links was woken and has not seen it yet.
    waking: AtomicBool,
}

/// What links look at.
pub(crate) struct HubState {
    pub registry: Registry,
    pub loads: LoadBoard,
    /// What was told of requests that may crash upstreams.
    pub poison: NoticeLog,
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
            poison: NoticeLog::default(),
            evidence: BTreeMap::new(),
            revision: 0,
        };
        Hub { state: Mutex::new(state), waker: OnceLock::new(), waking: AtomicBool::new(false) }
    }

    pub fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names what wakes the thread that serves the links; once.
    pub fn set_waker(&self, waker: Waker) {
        if self.waker.set(waker).is_err() {
            warn!("the links are served by one thread");
        }
    }

    /// Wakes the thread that serves the links: something may be to be told.
    pub fn wake(&self) {
        if self.waking.swap(true, Ordering::AcqRel) {
            return;
        }
        if let Some(Err(error)) = self.waker.get().map(Waker::wake) {
            // It looks by itself several times a second.
            warn!(%error, "links_not_woken");
        }
    }

    /// Notes that the thread of the links is awake.
    pub fn woken(&self) {
        self.waking.store(false, Ordering::Release);
    }

    /// Notes that the configuration or the members may have changed.
    pub fn bump(&self) {
        self.lock().revision += 1;
        self.wake();
    }

    /// Takes in what was told of requests that may crash upstreams, by a sidecar here (`here`) or by
    /// another coordinator.
    pub fn take_poison(&self, notices: Vec<PoisonNotice>, here: bool, now: Millis) {
        let mut state = self.lock();
        let former = state.poison.position();
        for notice in notices {
            let told = ToldPoison::of(&notice);
            let verdict = state.poison.apply(notice, here, now);
            told.log(here, verdict.is_some());
            if let Some(Verdict::Quarantined(entries)) = verdict {
                for QuarantineEntry { fingerprint, crashes, left_ms } in entries {
                    let crashes = crashes.len();
                    info!(%fingerprint, crashes, for_ms = left_ms, "request_quarantined");
                }
            }
        }
        if state.poison.position() != former {
            drop(state);
            self.wake();
        }
    }

    /// Lets upstreams have a request again, as an operator asks; false if it was not kept from them.
    pub fn clear_poison(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let cleared = self.lock().poison.clear(fingerprint, now);
        if cleared {
            self.wake();
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
        self.wake();
    }
}

/// What a notice tells that may end or bring back a quarantine, for the log.
enum ToldPoison {
    Crash,
    Cleared { fingerprint: Fingerprint, age_ms: u64 },
    Quarantined { fingerprint: Fingerprint, left_ms: u64, age_ms: u64 },
}

impl ToldPoison {
    fn of(notice: &PoisonNotice) -> Self {
        let age_ms = notice.age_ms;
        match &notice.event {
            PoisonEvent::Crash(_) => Self::Crash,
            PoisonEvent::Cleared(clearing) => {
                Self::Cleared { fingerprint: clearing.fingerprint, age_ms }
            }
            PoisonEvent::Quarantined(QuarantineEntry { fingerprint, left_ms, .. }) => {
                Self::Quarantined { fingerprint: *fingerprint, left_ms: *left_ms, age_ms }
            }
        }
    }

    fn log(self, here: bool, taken: bool) {
        match self {
            Self::Crash => {}
            Self::Cleared { fingerprint, age_ms } => {
                info!(%fingerprint, age_ms, here, taken, "clearing_told");
            }
            Self::Quarantined { fingerprint, left_ms, age_ms } => {
                info!(%fingerprint, left_ms, age_ms, here, taken, "quarantine_told");
            }
        }
    }
}
