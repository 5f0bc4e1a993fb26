//! Knowledge of requests that may crash upstreams, shared by the two sides of this sidecar.
//!
//! The outbound side refuses quarantined calls on arrival and marks suspect ones. The inbound side
//! notices when the local upstream ends and what it was running, and reports that to coordinators.

use crate::Millis;
use http1::Request;
use mesh::{
    CrashId, CrashReport, Fingerprint, HopReply, NodeAddress, PoisonEvent, PoisonNotice,
    QuarantineEntry,
};
use quarantine::{
    Quarantine, RecentSuccesses, RequestIdentity, RequestStatus, Verdict, CRASH_RETENTION_MS,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{info, warn};

/// Identifies a request and its repetitions, on this node and on others.
pub(crate) fn fingerprint(service: &str, request: &Request) -> Fingerprint {
    let identity = RequestIdentity {
        service,
        method: &request.method,
        target: &request.target,
        host: request.headers.text("host").unwrap_or_default(),
        body: &request.body,
    };
    identity.fingerprint()
}

/// Maximum number of crash reports of the local upstream kept for coordinators. No orchestrator
/// keeps restarting an upstream that ends more often than that.
const MAX_OWN_REPORTS: usize = 64;

#[derive(Debug)]
struct State {
    /// Address of this sidecar.
    own: NodeAddress,
    quarantine: Quarantine,
    recent: RecentSuccesses,
    /// Crash reports of the local upstream with their times, for coordinators that missed or lost
    /// them.
    own_reports: VecDeque<(Millis, CrashReport)>,
    /// News not yet sent to coordinators.
    unsent: Vec<PoisonEvent>,
}

/// Shared handle to the suspects and quarantines known at this sidecar.
#[derive(Clone, Debug)]
pub struct PoisonWatch(Rc<RefCell<State>>);

impl PoisonWatch {
    /// Creates an empty watch for the sidecar at `own`.
    pub fn new(own: NodeAddress) -> Self {
        let (quarantine, recent) = (Quarantine::default(), RecentSuccesses::default());
        let own_reports = VecDeque::new();
        let unsent = Vec::new();
        let state = State { own, quarantine, recent, own_reports, unsent };
        PoisonWatch(Rc::new(RefCell::new(state)))
    }

    /// Status of a request. Its fingerprint is computed only while there are suspects or
    /// quarantines.
    pub fn request_status(&self, service: &str, request: &Request, now: Millis) -> RequestStatus {
        let state = self.0.borrow();
        match state.quarantine.is_empty() {
            true => RequestStatus::Clear,
            false => state.quarantine.status(fingerprint(service, request), now),
        }
    }

    /// Records that the local upstream ended, with the requests it was running.
    pub fn upstream_ended(&self, instance: &str, running: &[Fingerprint], now: Millis) {
        let mut state = self.0.borrow_mut();
        let ran_recently = |fingerprint: &Fingerprint| state.recent.contains(*fingerprint, now);
        let suspects = running.iter().copied().filter(|fingerprint| !ran_recently(fingerprint));
        let report = CrashReport {
            node: state.own,
            instance: instance.to_owned(),
            running: suspects.collect(),
        };
        warn!(%instance, running = running.len(), suspects = report.running.len(), "upstream_ended");
        if report.running.is_empty() {
            return;
        }
        let verdict = state.quarantine.note_crash(&report, now);
        log_verdict(&verdict, instance);
        state.own_reports.push_back((now, report.clone()));
        if state.own_reports.len() > MAX_OWN_REPORTS {
            state.own_reports.pop_front();
        }
        state.unsent.push(PoisonEvent::Crash(report));
    }

    /// Records that the local upstream completed a request without crashing.
    pub fn note_completed(&self, fingerprint: Fingerprint, now: Millis) {
        let mut state = self.0.borrow_mut();
        state.recent.note(fingerprint, now);
        state.clear(fingerprint, now);
    }

    /// Applies notices passed on by a coordinator.
    pub fn apply_notices(&self, notices: Vec<PoisonNotice>, now: Millis) {
        let mut state = self.0.borrow_mut();
        for PoisonNotice { age_ms, event } in notices {
            let at = now.saturating_sub(age_ms);
            match event {
                PoisonEvent::Crash(report) => {
                    log_verdict(&state.quarantine.note_crash(&report, at), &report.instance);
                    state.clear_recently_completed(&report.running, now);
                }
                PoisonEvent::Cleared(clearing) => {
                    let taken = state.quarantine.note_cleared(&clearing, at);
                    let (fingerprint, crashes) = (clearing.fingerprint, clearing.crashes.len());
                    info!(%fingerprint, crashes, age_ms, taken, "clearing_learned");
                }
                PoisonEvent::Quarantined(entry) => {
                    let taken = state.quarantine.note_quarantined(&entry, at);
                    let QuarantineEntry { fingerprint, left_ms, .. } = entry;
                    info!(%fingerprint, left_ms, age_ms, taken, "quarantine_told");
                }
            }
        }
    }

    /// The two newest crashes for which a request is in quarantine; zeros if there are none.
    pub fn newest_crashes(&self, service: &str, request: &Request) -> [CrashId; 2] {
        self.0.borrow().quarantine.newest_crashes(fingerprint(service, request))
    }

    /// Records that the sidecar of an upstream refused a call because its request is in quarantine.
    /// Returns whether the request is in quarantine here as well. It is not if it was cleared and
    /// the other sidecar has not been notified yet.
    pub fn note_quarantine_refusal(
        &self,
        service: &str,
        request: &Request,
        reply: &HopReply,
        now: Millis,
    ) -> bool {
        let fingerprint = fingerprint(service, request);
        let left_ms = u64::from(reply.quarantine_left_ms);
        let crashes = reply.quarantine_crashes.into_iter().filter(|crash| *crash != CrashId(0));
        let entry = QuarantineEntry { fingerprint, crashes: crashes.collect(), left_ms };
        let mut state = self.0.borrow_mut();
        let taken = state.quarantine.note_quarantined(&entry, now);
        info!(%fingerprint, left_ms, taken, "quarantine_learned");
        matches!(state.quarantine.status(fingerprint, now), RequestStatus::Quarantined { .. })
    }

    /// Takes the notices to send to coordinators now.
    pub fn take_unsent(&self) -> Vec<PoisonNotice> {
        let events = std::mem::take(&mut self.0.borrow_mut().unsent);
        events.into_iter().map(|event| PoisonNotice { age_ms: 0, event }).collect()
    }

    /// Everything to send to a coordinator that may have lost its state or missed earlier notices:
    /// clearings of quarantined requests, crashes of the local upstream with the requests that are
    /// still suspected, and current quarantines.
    pub fn full_report(&self, now: Millis) -> Vec<PoisonNotice> {
        let state = self.0.borrow();
        let reports = state.own_reports.iter().filter_map(|(at, report)| {
            let event = PoisonEvent::Crash(state.still_suspected(report, now)?);
            Some(PoisonNotice { age_ms: now.saturating_sub(*at), event })
        });
        let entries = state.quarantine.entries(now).into_iter();
        // Leaves out entries without crash ids: a clearing names the crashes and could not end
        // them.
        let with_crashes = entries.filter(|entry| !entry.crashes.is_empty());
        let entries = with_crashes
            .map(|entry| PoisonNotice { age_ms: 0, event: PoisonEvent::Quarantined(entry) });
        state.quarantines_cleared(now).chain(reports).chain(entries).collect()
    }

    /// Discards expired entries and reports.
    pub fn expire(&self, now: Millis) {
        let mut state = self.0.borrow_mut();
        state.quarantine.expire(now);
        let expired = |(at, _): &(Millis, CrashReport)| at + CRASH_RETENTION_MS <= now;
        while state.own_reports.front().is_some_and(expired) {
            state.own_reports.pop_front();
        }
    }

    /// Numbers of quarantined requests and of suspects.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let state = self.0.borrow();
        (state.quarantine.entries(now).len(), state.quarantine.suspects(now))
    }
}

impl State {
    /// Clearings of quarantined requests. Without them, a coordinator that missed a clearing would
    /// take the quarantine over from a node that missed it too, and reinstate it on all nodes.
    fn quarantines_cleared(&self, now: Millis) -> impl Iterator<Item = PoisonNotice> + '_ {
        let clearings =
            self.quarantine.clearings().filter(|(_, clearing)| clearing.ends_quarantine());
        clearings.map(move |(at, clearing)| PoisonNotice {
            age_ms: now.saturating_sub(at),
            event: PoisonEvent::Cleared(clearing),
        })
    }

    /// The report reduced to requests that are still suspects or in quarantine, if there are any.
    fn still_suspected(&self, report: &CrashReport, now: Millis) -> Option<CrashReport> {
        let suspected = |fingerprint: &Fingerprint| {
            self.quarantine.status(*fingerprint, now) != RequestStatus::Clear
        };
        let running: Vec<Fingerprint> = report.running.iter().copied().filter(suspected).collect();
        (!running.is_empty()).then(|| CrashReport { running, ..report.clone() })
    }

    /// Clears the requests that the local upstream recently completed without crashing.
    fn clear_recently_completed(&mut self, running: &[Fingerprint], now: Millis) {
        for fingerprint in running {
            if self.recent.contains(*fingerprint, now) {
                self.clear(*fingerprint, now);
            }
        }
    }

    /// Clears a request if it is a suspect or in quarantine, and queues a notice for coordinators.
    fn clear(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(clearing) = self.quarantine.clear(fingerprint, now) {
            info!(%fingerprint, "suspect_cleared");
            self.unsent.push(PoisonEvent::Cleared(clearing));
        }
    }
}

fn log_verdict(verdict: &Verdict, instance: &str) {
    match verdict {
        Verdict::Known => {}
        Verdict::Suspects(count) => info!(%instance, count, "requests_suspected"),
        Verdict::Explained(fingerprint) => info!(%instance, %fingerprint, "crash_explained"),
        Verdict::Quarantined(entries) => {
            for entry in entries {
                let (fingerprint, crashes, for_ms) =
                    (entry.fingerprint, entry.crashes.len(), entry.left_ms);
                warn!(%instance, %fingerprint, crashes, for_ms, "request_quarantined");
            }
        }
    }
}
