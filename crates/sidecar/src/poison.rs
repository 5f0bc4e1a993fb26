//! What this sidecar knows of requests that may crash upstreams; its two sides share it.
//!
//! The outbound side refuses calls in quarantine where they come in, and marks suspects. The inbound
//! side, which alone sees an upstream end and knows what ran there, tells the others.

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

/// Names a request for its repeats, here and on other nodes.
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

/// Most ends of the own upstream kept for coordinators; one that ends more often is not kept running
/// by anybody.
const MOST_OWN_REPORTS: usize = 64;

#[derive(Debug)]
struct Known {
    /// This sidecar.
    own: NodeAddress,
    quarantine: Quarantine,
    recent: RecentSuccesses,
    /// Ends of the upstream beside this sidecar, and when; for coordinators that did not hear of
    /// them or forgot.
    own_reports: VecDeque<(Millis, CrashReport)>,
    /// What coordinators are to be told.
    untold: Vec<PoisonEvent>,
}

/// A handle to it.
#[derive(Clone, Debug)]
pub struct PoisonWatch(Rc<RefCell<Known>>);

impl PoisonWatch {
    /// Nothing known yet, at this sidecar.
    pub fn new(own: NodeAddress) -> Self {
        let (quarantine, recent) = (Quarantine::default(), RecentSuccesses::default());
        let own_reports = VecDeque::new();
        let untold = Vec::new();
        let known = Known { own, quarantine, recent, own_reports, untold };
        PoisonWatch(Rc::new(RefCell::new(known)))
    }

    /// How a request stands; it is looked at only while anything is known against any.
    pub fn standing(&self, service: &str, request: &Request, now: Millis) -> RequestStatus {
        let known = self.0.borrow();
        match known.quarantine.is_empty() {
            true => RequestStatus::Clear,
            false => known.quarantine.status(fingerprint(service, request), now),
        }
    }

    /// Takes in that the upstream beside this sidecar ended, with what it worked on.
    pub fn upstream_ended(&self, instance: &str, running: &[Fingerprint], now: Millis) {
        let mut known = self.0.borrow_mut();
        let trusted = |fingerprint: &Fingerprint| known.recent.contains(*fingerprint, now);
        let suspects = running.iter().copied().filter(|fingerprint| !trusted(fingerprint));
        let report = CrashReport {
            node: known.own,
            instance: instance.to_owned(),
            running: suspects.collect(),
        };
        warn!(%instance, running = running.len(), suspects = report.running.len(), "upstream_ended");
        if report.running.is_empty() {
            return;
        }
        let verdict = known.quarantine.note_crash(&report, now);
        log_verdict(&verdict, instance);
        known.own_reports.push_back((now, report.clone()));
        if known.own_reports.len() > MOST_OWN_REPORTS {
            known.own_reports.pop_front();
        }
        known.untold.push(PoisonEvent::Crash(report));
    }

    /// Takes in that the upstream ran a request and did not end.
    pub fn note_completed(&self, fingerprint: Fingerprint, now: Millis) {
        let mut known = self.0.borrow_mut();
        known.recent.note(fingerprint, now);
        known.clear(fingerprint, now);
    }

    /// Takes in what a coordinator passed on.
    pub fn apply_notices(&self, notices: Vec<PoisonNotice>, now: Millis) {
        let mut known = self.0.borrow_mut();
        for PoisonNotice { age_ms, event } in notices {
            let at = now.saturating_sub(age_ms);
            match event {
                PoisonEvent::Crash(report) => {
                    log_verdict(&known.quarantine.note_crash(&report, at), &report.instance);
                    known.speak_for(&report.running, now);
                }
                PoisonEvent::Cleared(clearing) => {
                    let taken = known.quarantine.note_cleared(&clearing, at);
                    let (fingerprint, crashes) = (clearing.fingerprint, clearing.crashes.len());
                    info!(%fingerprint, crashes, age_ms, taken, "clearing_learned");
                }
                PoisonEvent::Quarantined(entry) => {
                    let taken = known.quarantine.note_quarantined(&entry, at);
                    let QuarantineEntry { fingerprint, left_ms, .. } = entry;
                    info!(%fingerprint, left_ms, age_ms, taken, "quarantine_told");
                }
            }
        }
    }

    /// The newest two ends of upstreams that keep a request from others; zeros if none do.
    pub fn newest_crashes(&self, service: &str, request: &Request) -> [CrashId; 2] {
        self.0.borrow().quarantine.newest_crashes(fingerprint(service, request))
    }

    /// Takes in that the sidecar beside an upstream keeps a call away from it, as it answered itself;
    /// returns whether it is right. It is not if it has yet to hear that the request was cleared.
    pub fn note_quarantine_refusal(
        &self,
        service: &str,
        request: &Request,
        reply: &HopReply,
        now: Millis,
    ) -> bool {
        let fingerprint = fingerprint(service, request);
        let left_ms = u64::from(reply.quarantine_left_ms);
        let named = reply.quarantine_crashes.into_iter().filter(|crash| *crash != CrashId(0));
        let entry = QuarantineEntry { fingerprint, crashes: named.collect(), left_ms };
        let mut known = self.0.borrow_mut();
        let taken = known.quarantine.note_quarantined(&entry, now);
        info!(%fingerprint, left_ms, taken, "quarantine_learned");
        matches!(known.quarantine.status(fingerprint, now), RequestStatus::Quarantined { .. })
    }

    /// What coordinators are to be told now.
    pub fn take_unsent(&self) -> Vec<PoisonNotice> {
        let events = std::mem::take(&mut self.0.borrow_mut().untold);
        events.into_iter().map(|event| PoisonNotice { age_ms: 0, event }).collect()
    }

    /// What a coordinator is told that may have forgotten all, or was not there when it happened:
    /// what was in quarantine and was cleared, the ends of the upstream here, with the requests that
    /// nothing speaks for by now, and what is in quarantine.
    pub fn full_report(&self, now: Millis) -> Vec<PoisonNotice> {
        let known = self.0.borrow();
        let reports = known.own_reports.iter().filter_map(|(at, report)| {
            let event = PoisonEvent::Crash(known.still_suspected(report, now)?);
            Some(PoisonNotice { age_ms: now.saturating_sub(*at), event })
        });
        let entries = known.quarantine.entries(now).into_iter();
        // One that does not say what it rests on could not be cleared by name.
        let named = entries.filter(|entry| !entry.crashes.is_empty());
        let entries =
            named.map(|entry| PoisonNotice { age_ms: 0, event: PoisonEvent::Quarantined(entry) });
        known.quarantines_cleared(now).chain(reports).chain(entries).collect()
    }

    /// Forgets what is too old to tell anything.
    pub fn expire(&self, now: Millis) {
        let mut known = self.0.borrow_mut();
        known.quarantine.expire(now);
        let old = |(at, _): &(Millis, CrashReport)| at + CRASH_RETENTION_MS <= now;
        while known.own_reports.front().is_some_and(old) {
            known.own_reports.pop_front();
        }
    }

    /// Requests that are kept from upstreams, and suspects.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let known = self.0.borrow();
        (known.quarantine.entries(now).len(), known.quarantine.suspects(now))
    }
}

impl Known {
    /// What was in quarantine and was cleared. A coordinator that was not there then would take its
    /// quarantine from a node that has not heard either, and bring it back everywhere.
    fn quarantines_cleared(&self, now: Millis) -> impl Iterator<Item = PoisonNotice> + '_ {
        let ended = self.quarantine.clearings().filter(|(_, clearing)| clearing.ends_quarantine());
        ended.map(move |(at, clearing)| PoisonNotice {
            age_ms: now.saturating_sub(at),
            event: PoisonEvent::Cleared(clearing),
        })
    }

    /// A report with the requests that are still suspects or in quarantine, if there are any.
    fn still_suspected(&self, report: &CrashReport, now: Millis) -> Option<CrashReport> {
        let held = |fingerprint: &Fingerprint| {
            self.quarantine.status(*fingerprint, now) != RequestStatus::Clear
        };
        let running: Vec<Fingerprint> = report.running.iter().copied().filter(held).collect();
        (!running.is_empty()).then(|| CrashReport { running, ..report.clone() })
    }

    /// Clears those that ran well at this node's upstream a moment ago.
    fn speak_for(&mut self, running: &[Fingerprint], now: Millis) {
        for fingerprint in running {
            if self.recent.contains(*fingerprint, now) {
                self.clear(*fingerprint, now);
            }
        }
    }

    /// Clears a request if anything is held against it, and has coordinators told.
    fn clear(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(clearing) = self.quarantine.clear(fingerprint, now) {
            info!(%fingerprint, "suspect_cleared");
            self.untold.push(PoisonEvent::Cleared(clearing));
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
