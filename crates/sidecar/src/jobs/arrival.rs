//! Calls that arrive: which are for the upstream, which it has room for, and why the others are refused.

use super::{Job, JobAction, Jobs, Refusal, Source};
use crate::Millis;
use admission::{Decision, EgressClass, EgressTimeLimits, GateState, SlotRequest, TenantKey};
use http1::Request;
use mesh::{CallClass, HopRequest};
use quarantine::RequestStatus;
use std::rc::Rc;

/// A call that waited longer than this on its way is not run, milliseconds: its caller may have left
/// meanwhile, and word of that waits in the same queues. A caller's leave takes effect within 500 ms;
/// the rest is for the way to the upstream.
const LONGEST_WAY_MS: u64 = 400;

/// Where a call's time went before it was here whole, milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    /// In queues of links.
    pub waited_ms: u64,
    /// From its offer, until its body was here.
    pub offered_ms: u64,
}

impl Way {
    /// Why nobody may wait for the call any more.
    pub fn too_late(self, hop: &HopRequest) -> Option<&'static str> {
        if self.waited_ms + self.offered_ms >= hop.deadline_ms {
            return Some("deadline_passed");
        }
        (self.waited_ms > LONGEST_WAY_MS).then_some("late_on_the_way")
    }
}

impl Jobs {
    /// Takes in a call for the upstream.
    pub fn begin(
        &mut self,
        source: Source,
        request: Rc<Request>,
        hop: &HopRequest,
        now: Millis,
    ) -> Vec<JobAction> {
        let offered_ms = self.offers.end(source, now).unwrap_or(0);
        let since_departure_ms = self.since_departure_ms(hop, now).max(offered_ms);
        let way = Way { waited_ms: since_departure_ms - offered_ms, offered_ms };
        let mut actions = self.admit(source, request, hop, way, now);
        actions.extend(self.grant(now));
        actions
    }

    /// How long a call waited since it left its sender, as far as clocks tell, milliseconds.
    pub(super) fn since_departure_ms(&mut self, hop: &HopRequest, now: Millis) -> u64 {
        hop.departure.map_or(0, |departure| self.transits.waited_ms(departure, now))
    }

    /// Takes in a call that is here whole.
    fn admit(
        &mut self,
        source: Source,
        request: Rc<Request>,
        hop: &HopRequest,
        way: Way,
        now: Millis,
    ) -> Vec<JobAction> {
        let attempt_id = request.headers.text(self.names.attempt_id).unwrap_or("-").to_owned();
        let Way { waited_ms, offered_ms } = way;
        let standing = self.poison.standing(&self.service, &request, now);
        let suspect = hop.suspect || standing == RequestStatus::Suspect;
        let barred = self.mismatch(hop, now).or(way.too_late(hop));
        if let Some(reason) = barred.or_else(|| self.keeps_away(standing, suspect)) {
            let refusal = self.kept_away(&attempt_id, reason, way, standing, &request);
            return vec![self.refuse(source, refusal, now)];
        }
        let kind = EgressClass { rank: hop.rank, target_ms: hop.target_ms };
        let leaves = matches!(source, Source::Peer { .. });
        let time = EgressTimeLimits {
            patience_ms: hop.patience_ms.saturating_sub(waited_ms),
            deadline_ms: hop.deadline_ms.saturating_sub(waited_ms + offered_ms),
        };
        if let Some(retry_after_ms) = self.link_refusal(leaves && !hop.begun, kind, time, now) {
            let refusal = Refusal {
                link_full: true,
                ..no_room(&attempt_id, "link_full", offered_ms, retry_after_ms)
            };
            return vec![self.refuse(source, refusal, now)];
        }
        let job = self.next_job;
        self.next_job += 1;
        let deadline = now + hop.deadline_ms.saturating_sub(waited_ms + offered_ms);
        let HopRequest { begun, rank, target_ms, .. } = *hop;
        let patience_ms = hop.patience_ms.saturating_sub(waited_ms);
        let tenant = request.headers.get(self.names.tenant).map(TenantKey::of);
        let ticket = SlotRequest { job, begun, rank, tenant, target_ms, patience_ms, deadline };
        let decision = self.admission.submit(ticket, now);
        if let Decision::Refuse { retry_after_ms } = decision {
            let reason = self.why_no_room(now);
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

    /// The refusal of a call that is not for the upstream, or is kept from it.
    fn kept_away<'a>(
        &self,
        id: &'a str,
        reason: &'a str,
        way: Way,
        standing: RequestStatus,
        request: &Request,
    ) -> Refusal<'a> {
        let (quarantine_left_ms, quarantine_crashes) = match standing {
            RequestStatus::Quarantined { left_ms } => {
                (left_ms, self.poison.newest_crashes(&self.service, request))
            }
            RequestStatus::Suspect | RequestStatus::Clear => Default::default(),
        };
        Refusal {
            id,
            reason,
            held_ms: way.offered_ms,
            retry_after_ms: way.waited_ms,
            quarantine_left_ms,
            quarantine_crashes,
            link_full: false,
        }
    }

    /// When a call whose answer must leave over a link without room for it may come back,
    /// milliseconds; `None` if it may run now. What a begun run waits for is never refused for that.
    fn link_refusal(
        &mut self,
        bound: bool,
        kind: EgressClass,
        time: EgressTimeLimits,
        now: Millis,
    ) -> Option<u64> {
        let refused = match bound {
            true => self.egress.check_room(kind, time, now).err(),
            false => None,
        };
        self.link_refusals += u64::from(refused.is_some());
        refused
    }

    /// Why a call has no room in the queue; counts those that a cold upstream does not bear.
    fn why_no_room(&mut self, now: Millis) -> &'static str {
        if !self.admission.is_throttled_by_cold_start(now) {
            return "no_room";
        }
        self.cold_refusals += 1;
        "cold"
    }

    /// Why a request is kept from the upstream for what it may do to it. Of suspects, one runs at a
    /// time: should it end the upstream, it is known which did, and the others are not run in vain.
    fn keeps_away(&self, standing: RequestStatus, suspect: bool) -> Option<&'static str> {
        if matches!(standing, RequestStatus::Quarantined { .. }) {
            return Some("quarantined");
        }
        let another = suspect && self.jobs.values().any(|job| job.suspect);
        another.then_some("another_suspect_runs")
    }

    /// Why a call is not for the upstream beside this sidecar, or not now.
    pub(super) fn mismatch(&self, hop: &HopRequest, now: Millis) -> Option<&'static str> {
        if self.closed {
            return Some("stopping");
        }
        if hop.service != self.service {
            return Some("other_service");
        }
        if hop.instance.as_deref().is_some_and(|id| Some(id) != self.gate.id()) {
            return Some("other_instance");
        }
        if self.gate.version().is_some_and(|version| self.trial.bars(version)) {
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
