//! Admission of incoming calls: whether a call is meant for this upstream, whether there is
//! capacity for it, and the reason for each refusal.

use super::{Job, JobAction, Jobs, Refusal, Source};
use crate::Millis;
use admission::{
    Decision, EgressClass, EgressTimeLimits, GateState, SlotRequest, TenantKey, Throttling,
};
use http1::Request;
use mesh::{CallClass, HopRequest};
use quarantine::RequestStatus;
use std::rc::Rc;

/// Calls that took longer than this to arrive are refused, in milliseconds: the caller may have
/// left in the meantime, and its cancellation would be waiting in the same queues. A caller's
/// departure takes effect within 500 ms; the difference is reserved for the delivery to the
/// upstream.
const MAX_TRANSIT_MS: u64 = 400;

/// Time that a call spent before it had arrived completely, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransitDelay {
    /// Time in link queues.
    pub waited_ms: u64,
    /// Time from the offer of its body until the body had arrived.
    pub offered_ms: u64,
}

impl TransitDelay {
    /// The reason to refuse the call if it arrived so late that its caller may no longer be
    /// waiting.
    pub fn late_reason(self, hop: &HopRequest) -> Option<&'static str> {
        if self.waited_ms + self.offered_ms >= hop.deadline_ms {
            return Some("deadline_passed");
        }
        (self.waited_ms > MAX_TRANSIT_MS).then_some("late_on_the_way")
    }
}

impl Jobs {
    /// Handles a call for the upstream that has arrived completely.
    pub fn begin(
        &mut self,
        source: Source,
        request: Rc<Request>,
        hop: &HopRequest,
        now: Millis,
    ) -> Vec<JobAction> {
        let offered_ms = self.offers.end(source, now).unwrap_or(0);
        let since_departure_ms = self.since_departure_ms(hop, now).max(offered_ms);
        let delay = TransitDelay { waited_ms: since_departure_ms - offered_ms, offered_ms };
        let mut actions = self.admit(source, request, hop, delay, now);
        actions.extend(self.grant_transfers(now));
        actions
    }

    /// Time since the call left its sender, in milliseconds, estimated from the sender's clock; 0
    /// if the sender did not state its departure.
    pub(super) fn since_departure_ms(&mut self, hop: &HopRequest, now: Millis) -> u64 {
        hop.departure.map_or(0, |departure| self.transits.waited_ms(departure, now))
    }

    /// Admits or refuses a call that has arrived completely.
    fn admit(
        &mut self,
        source: Source,
        request: Rc<Request>,
        hop: &HopRequest,
        delay: TransitDelay,
        now: Millis,
    ) -> Vec<JobAction> {
        let attempt_id = request.headers.text(self.names.attempt_id).unwrap_or("-").to_owned();
        let TransitDelay { waited_ms, offered_ms } = delay;
        let status = self.poison.request_status(&self.service, &request, now);
        let suspect = hop.suspect || status == RequestStatus::Suspect;
        let ineligible = self.ineligible_reason(hop, now).or(delay.late_reason(hop));
        if let Some(reason) = ineligible.or_else(|| self.quarantine_reason(status, suspect)) {
            let refusal = self.early_refusal(&attempt_id, reason, delay, status, &request);
            return vec![self.refuse(source, refusal, now)];
        }
        let deadline = now + hop.deadline_ms.saturating_sub(waited_ms + offered_ms);
        if let Some(reason) = self.outlasts_stop(source, deadline) {
            let refusal = self.stop_refusal(&attempt_id, reason, offered_ms);
            return vec![self.refuse(source, refusal, now)];
        }
        self.adopt_rate(hop, now);
        let kind = EgressClass { rank: hop.rank, target_ms: hop.target_ms };
        let leaves = matches!(source, Source::Peer { .. });
        let time = EgressTimeLimits {
            patience_ms: hop.patience_ms.saturating_sub(waited_ms),
            deadline_ms: hop.deadline_ms.saturating_sub(waited_ms + offered_ms),
        };
        if let Some(retry_after_ms) = self.link_refusal(leaves && !hop.nested, kind, time, now) {
            let refusal = Refusal {
                link_full: true,
                ..no_room(&attempt_id, "link_full", offered_ms, retry_after_ms)
            };
            return vec![self.refuse(source, refusal, now)];
        }
        let job = self.next_job;
        self.next_job += 1;
        let HopRequest { nested, rank, target_ms, .. } = *hop;
        let patience_ms = hop.patience_ms.saturating_sub(waited_ms);
        let tenant = request.headers.get(self.names.tenant).map(TenantKey::of);
        let slot_request =
            SlotRequest { job, nested, rank, tenant, target_ms, patience_ms, deadline };
        let decision = self.admission.submit(slot_request, now);
        if let Decision::Refuse { retry_after_ms } = decision {
            let reason = self.no_room_reason(now);
            let refusal = no_room(&attempt_id, reason, offered_ms, retry_after_ms);
            return vec![self.refuse(source, refusal, now)];
        }
        let class = CallClass { rank, target_ms: target_ms as u32 };
        let entry = Job {
            source,
            request,
            attempt_id,
            class,
            suspect,
            given_to: None,
            deadline,
            arrived: now,
            started: None,
            usual_ms: hop.usual_ms,
            repeat: hop.repeat,
            told_limit: hop.rate_limit.is_some(),
            upstream_leaving: false,
        };
        self.jobs.insert(job, entry);
        self.by_source.insert(source, job);
        if leaves {
            self.egress.reserve(job, kind);
        }
        match decision {
            Decision::Run => self.start(job, now).into_iter().collect(),
            _ => Vec::new(),
        }
    }

    /// Builds the refusal of a call that would outlast this process.
    pub(super) fn stop_refusal<'a>(
        &self,
        id: &'a str,
        reason: &'a str,
        held_ms: u64,
    ) -> Refusal<'a> {
        let retry_after_ms = self.stop_bound.map_or(0, |bound| bound.retry_after_ms);
        no_room(id, reason, held_ms, retry_after_ms)
    }

    /// Builds the refusal of a call that is not eligible for this upstream or is quarantined.
    fn early_refusal<'a>(
        &self,
        id: &'a str,
        reason: &'a str,
        delay: TransitDelay,
        status: RequestStatus,
        request: &Request,
    ) -> Refusal<'a> {
        let (quarantine_left_ms, quarantine_crashes) = match status {
            RequestStatus::Quarantined { left_ms } => {
                (left_ms, self.poison.newest_crashes(&self.service, request))
            }
            RequestStatus::Suspect | RequestStatus::Clear => Default::default(),
        };
        Refusal {
            id,
            reason,
            held_ms: delay.offered_ms,
            retry_after_ms: delay.waited_ms,
            quarantine_left_ms,
            quarantine_crashes,
            link_full: false,
        }
    }

    /// If the answer must leave over a link that has no room for it, the time after which the call
    /// may be retried, in milliseconds; `None` if the call may run now. Calls made by a job that is
    /// already running are never refused for this reason.
    fn link_refusal(
        &mut self,
        needs_link: bool,
        kind: EgressClass,
        time: EgressTimeLimits,
        now: Millis,
    ) -> Option<u64> {
        let refused = match needs_link {
            true => self.egress.check_room(kind, time, now).err(),
            false => None,
        };
        self.link_refusals += u64::from(refused.is_some());
        refused
    }

    /// The reason why the queue has no room for a call. Counts the refusals that are due to a rate
    /// limit.
    pub(super) fn no_room_reason(&mut self, now: Millis) -> &'static str {
        match self.admission.throttling(now) {
            None => "no_room",
            Some(Throttling::ColdStart) => {
                self.cold_refusals += 1;
                "cold"
            }
            Some(Throttling::StatedLimit) => {
                self.rate_refusals += 1;
                "rate_limit"
            }
        }
    }

    /// The reason to keep a call from the upstream because its request may crash it. Only one
    /// suspect runs at a time: if the upstream crashes, the culprit is known, and the other
    /// suspects have not been run for nothing.
    fn quarantine_reason(&self, status: RequestStatus, suspect: bool) -> Option<&'static str> {
        if matches!(status, RequestStatus::Quarantined { .. }) {
            return Some("quarantined");
        }
        let another = suspect && self.jobs.values().any(|job| job.suspect);
        another.then_some("another_suspect_runs")
    }

    /// The reason why a call is not eligible for this upstream at the moment, if there is one.
    pub(super) fn ineligible_reason(&self, hop: &HopRequest, now: Millis) -> Option<&'static str> {
        if self.closed {
            return Some("stopping");
        }
        if hop.service != self.service {
            return Some("other_service");
        }
        if hop.instance.as_deref().is_some_and(|id| Some(id) != self.gate.id()) {
            return Some("other_instance");
        }
        if self.gate.version().is_some_and(|version| self.trial.is_barred(version)) {
            return Some("version_barred");
        }
        if self.evacuated {
            return Some("zone_evacuated");
        }
        if hop.hedge && now < self.hedges_barred_until {
            return Some("retry_budget_spent");
        }
        match self.gate.state(now) {
            GateState::Open | GateState::Closing => None,
            GateState::Absent => Some("no_upstream"),
            GateState::Closed => Some("upstream_leaves"),
        }
    }
}

fn no_room<'a>(id: &'a str, reason: &'a str, held_ms: u64, retry_after_ms: u64) -> Refusal<'a> {
    Refusal { id, reason, held_ms, retry_after_ms, ..Refusal::default() }
}
