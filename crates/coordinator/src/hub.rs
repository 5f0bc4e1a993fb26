//! Shared state about sidecars, and the waker of the thread that serves their links.

use crate::departure_store::DepartureWriter;
use crate::{LoadTable, Millis, Registry, Source};
use canary::Evidence;
use mesh::{Fingerprint, KnownDeparture, PoisonEvent, PoisonNotice, QuarantineEntry};
use mio::Waker;
use quarantine::{NoticeLog, Verdict};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use tracing::{info, warn};

/// State shared by the threads of a coordinator.
pub(crate) struct Hub {
    state: Mutex<HubState>,
    waker: OnceLock<Waker>,
    /// Whether the link thread was woken and has not handled the wake-up yet.
    wake_pending: AtomicBool,
    /// Wakes the thread that writes departures.
    departure_writer: OnceLock<DepartureWriter>,
    /// Position up to which departures are on disk.
    durable_departures: AtomicU64,
    /// Whether all other coordinators have told the departures that they know.
    departures_complete: AtomicBool,
}

/// State that the links are served from.
pub(crate) struct HubState {
    pub registry: Registry,
    pub loads: LoadTable,
    /// Events of poison requests.
    pub poison: NoticeLog,
    /// Reported outcomes of the running canary of each service.
    pub evidence: BTreeMap<String, Evidence>,
    /// Incremented with each change of the configuration or the members.
    pub revision: u64,
}

impl Hub {
    pub fn new(lease_ms: u64) -> Self {
        let registry = Registry::new(lease_ms);
        let loads = LoadTable::default();
        let state = HubState {
            registry,
            loads,
            poison: NoticeLog::default(),
            evidence: BTreeMap::new(),
            revision: 0,
        };
        Hub {
            state: Mutex::new(state),
            waker: OnceLock::new(),
            wake_pending: AtomicBool::new(false),
            departure_writer: OnceLock::new(),
            durable_departures: AtomicU64::new(0),
            departures_complete: AtomicBool::new(false),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the waker of the link thread; called once.
    pub fn set_waker(&self, waker: Waker) {
        if self.waker.set(waker).is_err() {
            warn!("the waker of the link thread is already set");
        }
    }

    /// Wakes the link thread, which may have updates to send.
    pub fn wake(&self) {
        if self.wake_pending.swap(true, Ordering::AcqRel) {
            return;
        }
        if let Some(Err(error)) = self.waker.get().map(Waker::wake) {
            // The thread also wakes up by itself several times a second.
            warn!(%error, "links_not_woken");
        }
    }

    /// Sets what wakes the thread that writes departures; called once.
    pub fn set_departure_writer(&self, writer: DepartureWriter) {
        if self.departure_writer.set(writer).is_err() {
            warn!("the writer of departures is already set");
        }
    }

    /// Wakes the thread that writes departures. It also looks for new ones by itself twice a second.
    pub fn write_departures(&self) {
        if let Some(writer) = self.departure_writer.get() {
            // A full channel means that it is woken already.
            let _ = writer.try_send(());
        }
    }

    /// Notes that departures are on disk up to a position.
    pub fn set_durable_departures(&self, position: u64) {
        self.durable_departures.store(position, Ordering::Release);
    }

    /// Position up to which departures are on disk.
    pub fn durable_departures(&self) -> u64 {
        self.durable_departures.load(Ordering::Acquire)
    }

    /// Adds departures that another coordinator told, and wakes who writes them and tells them on.
    pub fn receive_departures(&self, departures: Vec<KnownDeparture>, now: Millis) {
        if self.lock().registry.add_departures(departures, Source::Peer, now) {
            self.write_departures();
            self.wake();
        }
    }

    /// Notes whether all other coordinators have told the departures that they know.
    pub fn set_departures_complete(&self, complete: bool) {
        if self.departures_complete.swap(complete, Ordering::AcqRel) != complete {
            self.wake();
        }
    }

    /// Whether all other coordinators have told the departures that they know.
    pub fn are_departures_complete(&self) -> bool {
        self.departures_complete.load(Ordering::Acquire)
    }

    /// Notes that the link thread handled the wake-up.
    pub fn clear_wake_pending(&self) {
        self.wake_pending.store(false, Ordering::Release);
    }

    /// Notes that the configuration or the members may have changed, and wakes the link thread.
    pub fn note_group_change(&self) {
        self.lock().revision += 1;
        self.wake();
    }

    /// Processes events of poison requests from a directly connected sidecar (`here`) or from
    /// another coordinator.
    pub fn receive_poison(&self, notices: Vec<PoisonNotice>, here: bool, now: Millis) {
        let mut state = self.lock();
        let previous_position = state.poison.position();
        for notice in notices {
            let log_entry = PoisonLogEntry::of(&notice);
            let verdict = state.poison.apply(notice, here, now);
            log_entry.log(here, verdict.is_some());
            if let Some(Verdict::Quarantined(entries)) = verdict {
                for QuarantineEntry { fingerprint, crashes, left_ms } in entries {
                    let crashes = crashes.len();
                    info!(%fingerprint, crashes, for_ms = left_ms, "request_quarantined");
                }
            }
        }
        if state.poison.position() != previous_position {
            drop(state);
            self.wake();
        }
    }

    /// Releases a request from quarantine for an operator; returns whether it was in quarantine.
    pub fn clear_quarantine(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let cleared = self.lock().poison.clear(fingerprint, now);
        if cleared {
            self.wake();
        }
        cleared
    }

    /// Removes sidecars whose lease expired and outdated events of poison requests.
    pub fn expire(&self, now: Millis) {
        let mut state = self.lock();
        state.poison.expire(now);
        if !state.registry.expire(now) {
            return;
        }
        let HubState { registry, loads, .. } = &mut *state;
        loads.retain(|address| registry.contains(address));
        drop(state);
        self.wake();
    }
}

/// The part of a notice that is logged: events that may end or restore a quarantine.
enum PoisonLogEntry {
    Crash,
    Cleared { fingerprint: Fingerprint, age_ms: u64 },
    Quarantined { fingerprint: Fingerprint, left_ms: u64, age_ms: u64 },
}

impl PoisonLogEntry {
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
