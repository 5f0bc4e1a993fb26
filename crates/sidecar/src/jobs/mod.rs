//! The inbound side: the only sender to the upstream beside this sidecar.
//!
//! Pure: events come in with the time, actions go out. Only this side knows for certain whether a
//! call was given to the upstream, so it alone says that one was not.

mod arrival;
mod at_work;
mod crash;
mod endings;
mod offers;
mod trial;

use self::at_work::AtWork;
use self::crash::CrashWatch;
use self::offers::Offers;
use self::trial::Trial;
use crate::call_metrics::JobMetrics;
use crate::calls::Attempt;
use crate::dialect::{HeaderNames, ReportedLoad};
use crate::net::ConnectionId;
use crate::poison::{self, PoisonWatch};
use crate::sample::LogSample;
use crate::transit::TransitTimes;
use crate::Millis;
use admission::{
    Admission, ColdRate, DrainGate, EgressClass, EgressReservations, FailureRate, GateState, JobId,
    LinkState, Pace, UntrackedSlots,
};
use http1::{Answer, ExchangeError, Request, Response, Slot};
use mesh::{
    CallClass, CrashId, Fingerprint, HopOutcome, HopReply, Incarnation, InstanceState, NodeAddress,
    UpstreamLoad, VersionEvidence, VersionPolicy, HOP_HEADER,
};
use placement::PRESUMED_COLD_MS;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, warn};

/// Slots of an upstream that did not tell any.
const UNKNOWN_SLOTS: u32 = 4;
/// Part of the slots that is used: some upstreams slow down or reset when they are full.
const USED_PART_OF_SLOTS: f64 = 1.0;
const REFUSED_STATUS: u16 = 503;
/// The node of an inbound side that was not told which it is.
const NOBODY: NodeAddress = NodeAddress { ip: std::net::Ipv4Addr::UNSPECIFIED, port: 0 };
/// Of an upstream that is not the incarnation that a call is meant for; it has not run the call.
const WRONG_INSTANCE_STATUS: u16 = 421;
/// Who waits for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A call of a caller on this machine.
    Local(Attempt),
    /// A peer.
    Peer {
        /// Its connection.
        connection: ConnectionId,
        /// Place on it.
        slot: Slot,
    },
}

/// How a try at the upstream ended.
#[derive(Debug)]
pub enum UpstreamEnd {
    /// The request was not sent whole, so it cannot have run.
    NotSent,
    /// A whole answer came.
    Answered(Answer),
    /// It was sent, and no proper answer came.
    Failed(ExchangeError),
}

/// What the runtime must do.
#[derive(Debug)]
pub enum JobAction {
    /// Send a request to the upstream.
    Run {
        /// Which job.
        job: JobId,
        /// The request as the upstream gets it.
        request: Request,
    },
    /// Stop what the upstream does for a job.
    Abort(JobId),
    /// Try whether the upstream still takes connections.
    Probe {
        /// Whether one that was just taken, and has not ended since, will do.
        again: bool,
    },
    /// Let a peer send more of the body that it offered.
    Grant {
        /// Who offered it.
        source: Source,
        /// How many bytes more.
        bytes: u64,
    },
    /// Tell what became of a job.
    Reply {
        /// Who waits for it.
        source: Source,
        /// What became of it.
        reply: HopReply,
        /// The answer, empty unless it is the upstream's own.
        response: Response,
    },
}

/// Why a call is not given to the upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Refusal<'a> {
    /// Id of the call.
    id: &'a str,
    reason: &'a str,
    /// How long it was held before, milliseconds.
    held_ms: u64,
    retry_after_ms: u64,
    /// How much longer the call is kept from all upstreams; 0 if it is not.
    quarantine_left_ms: u64,
    /// Ends of upstreams that this rests on.
    quarantine_crashes: [CrashId; 2],
    /// Whether it is for want of room on the link.
    link_full: bool,
}

#[derive(Debug)]
struct Job {
    source: Source,
    request: Rc<Request>,
    attempt_id: String,
    class: CallClass,
    /// Whether an upstream may have ended because of a request like it.
    suspect: bool,
    /// Incarnation that it was given to.
    given_to: Option<Incarnation>,
    deadline: Millis,
    arrived: Millis,
    started: Option<Millis>,
    /// What it takes at an upstream of usual pace, as its sender told, milliseconds; 0 if it did not.
    usual_ms: u32,
    /// Whether another upstream had the call before.
    repeat: bool,
}

impl Job {
    /// What tells the answers of its like apart.
    fn egress_kind(&self) -> EgressClass {
        EgressClass { rank: self.class.rank, target_ms: u64::from(self.class.target_ms) }
    }

    fn spent_ms(&self, now: Millis) -> u64 {
        now.saturating_sub(self.started.unwrap_or(now))
    }
}

/// All calls for the upstream beside this sidecar.
pub struct Jobs {
    names: HeaderNames,
    sample: LogSample,
    metrics: JobMetrics,
    service: String,
    /// The upstream and whether calls pass.
    pub gate: DrainGate,
    admission: Admission,
    offers: Offers,
    egress: EgressReservations,
    link_refusals: u64,
    cold_refusals: u64,
    transits: TransitTimes,
    trial: Trial,
    crash: CrashWatch,
    poison: PoisonWatch,
    failures: FailureRate,
    failures_of: Option<Incarnation>,
    pace: Pace,
    /// Most calls that the upstream is given at once.
    slots_used: u32,
    taken: UntrackedSlots,
    /// Whether the incarnation that was registered last is found not to be there, and nobody was
    /// told.
    instance_changed: bool,
    /// Whether the zone is evacuated: nothing is given to the upstream.
    evacuated: bool,
    /// Part of this machine's link that is in use, percent.
    pub link_percent: u32,
    jobs: BTreeMap<JobId, Job>,
    by_source: BTreeMap<Source, JobId>,
    /// Ids of the calls that the upstream works on.
    at_work: BTreeMap<String, AtWork>,
    /// Until when no second tries are taken in, since what their runs ask for is beyond the bound on
    /// repeats.
    pub hedges_barred_until: Millis,
    next_job: JobId,
    closed: bool,
}

impl Jobs {
    /// The inbound side of a sidecar whose upstream belongs to `service`.
    pub fn new(
        names: HeaderNames,
        service: &str,
        drain_ms: u64,
        link_bytes_per_ms: Option<f64>,
        sample: LogSample,
        metrics: JobMetrics,
    ) -> Self {
        Jobs {
            names,
            sample,
            metrics,
            service: service.to_owned(),
            gate: DrainGate::new(drain_ms),
            admission: Admission::new(UNKNOWN_SLOTS),
            offers: Offers::new(link_bytes_per_ms),
            egress: EgressReservations::default(),
            link_refusals: 0,
            cold_refusals: 0,
            transits: TransitTimes::default(),
            trial: Trial::default(),
            crash: CrashWatch::default(),
            poison: PoisonWatch::new(NOBODY),
            failures: FailureRate::default(),
            failures_of: None,
            pace: Pace::default(),
            slots_used: UNKNOWN_SLOTS,
            taken: UntrackedSlots::default(),
            instance_changed: false,
            evacuated: false,
            link_percent: 0,
            jobs: BTreeMap::new(),
            by_source: BTreeMap::new(),
            at_work: BTreeMap::new(),
            hedges_barred_until: 0,
            next_job: 1,
            closed: false,
        }
    }

    /// The same with what the outbound side knows of requests that may crash upstreams.
    pub fn with_poison_watch(self, poison: PoisonWatch) -> Self {
        Jobs { poison, ..self }
    }

    /// Jobs without an end, bodies on their way included.
    pub fn in_flight(&self) -> usize {
        self.jobs.len() + self.offers.len()
    }

    /// Whether a call was given to the upstream, and has no end yet.
    pub fn has_started(&self, source: Source) -> bool {
        let job = self.by_source.get(&source).and_then(|id| self.jobs.get(id));
        job.is_some_and(|job| job.started.is_some())
    }

    /// Share of recent calls that the upstream failed, percent.
    pub fn failing_percent(&self, now: Millis) -> u32 {
        self.failures.percent(now)
    }

    /// Calls the upstream works on, and calls that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.admission.running(), self.admission.queued())
    }

    /// What others are told of that.
    pub fn told_load(&self, now: Millis) -> UpstreamLoad {
        let (running, queued) = self.load();
        UpstreamLoad::new(running, queued, self.admission.service_ms() as u32)
            .with_link(self.link_percent)
            .with_egress_wait(self.egress.wait_ms())
            .with_pace(self.pace.percent(now))
    }

    /// Takes in the room of this machine's outgoing link.
    pub fn set_link_room(&mut self, room: LinkState) {
        self.egress.set_link_state(room);
    }

    /// Takes in what the upstream told of its load with an answer.
    pub fn note_told(&mut self, told: ReportedLoad, now: Millis) {
        if let Some(percent) = told.pace_percent {
            self.pace.note_reported(percent, now);
        }
        let all = told.running.saturating_add(told.waiting);
        self.taken.note(all, self.admission.running(), now);
        self.mind_taken(now);
    }

    /// Gives the upstream no more than it has slots for beside what it works on unknown to this side.
    fn mind_taken(&mut self, now: Millis) {
        let limit = self.taken.available_of(self.slots_used, now);
        if limit != self.admission.limit() {
            info!(
                limit,
                slots = self.slots_used,
                running = self.admission.running(),
                "slots_taken"
            );
            self.admission.set_limit(limit);
        }
    }

    /// Takes in which versions of this service may be given calls; `None` if nothing sets them
    /// apart.
    pub fn set_policy(&mut self, policy: Option<VersionPolicy>) {
        self.trial.set_policy(policy);
    }

    /// Takes in whether the zone of this sidecar is evacuated; calls that wait then are refused. A
    /// zone that is restored has upstreams that may have become cold meanwhile, and told nobody yet:
    /// until they tell, they are taken for cold.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Millis) -> Vec<JobAction> {
        let restored = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if restored {
            self.gate.presume_cold(now + PRESUMED_COLD_MS);
            self.refresh_cold();
        }
        self.start_waiting(now)
    }

    /// What coordinators should be told of a canary now.
    pub fn evidence_due(&mut self, now: Millis) -> Option<VersionEvidence> {
        let version = self.gate.version()?;
        self.trial.due(&self.service, version, now)
    }

    /// Takes in what an answer says of the incarnation that the call was given to.
    fn note_instance(&mut self, given_to: Option<&Incarnation>, outcome: HopOutcome, status: u16) {
        let Some(Incarnation { id, .. }) = given_to else {
            return;
        };
        match outcome {
            HopOutcome::Answered => self.gate.on_confirmed(id),
            HopOutcome::Rejected
                if status == WRONG_INSTANCE_STATUS && self.gate.on_wrong_instance(id) =>
            {
                warn!(instance = %id, now = ?self.gate.id(), "instance_denied");
                self.instance_changed = true;
            }
            _ => {}
        }
    }

    /// Whether others must be told which incarnation is there, since it is not the one that was
    /// registered last; once.
    pub fn take_instance_changed(&mut self) -> bool {
        std::mem::take(&mut self.instance_changed)
    }

    /// Takes in what cold upstreams of this service bear.
    pub fn set_cold_rate(&mut self, rate: Option<ColdRate>, now: Millis) {
        self.admission.set_cold_rate(rate, now);
    }

    /// Takes over for how long the upstream is cold.
    pub fn refresh_cold(&mut self) {
        self.admission.set_cold_until(self.gate.cold_until());
    }

    /// Takes over what the upstream told of its slots, and for how long it is cold.
    pub fn refresh_limit(&mut self, now: Millis) {
        let slots = self.gate.slots().unwrap_or(UNKNOWN_SLOTS).max(1);
        let used = (f64::from(slots) * USED_PART_OF_SLOTS).floor() as u32;
        self.slots_used = used.max(1);
        self.admission.set_limit(self.slots_used);
        self.crash.note_registered(self.gate.incarnation());
        self.refresh_cold();
        if self.failures_of.as_ref() != self.gate.incarnation() {
            self.failures_of = self.gate.incarnation().cloned();
            self.admission.restarted(now);
            self.failures.clear();
            self.pace = Pace::default();
        }
    }

    fn reply(
        &self,
        outcome: HopOutcome,
        spent_ms: u64,
        retry_after_ms: u64,
        now: Millis,
    ) -> HopReply {
        let state = match self.gate.state(now) {
            _ if self.closed => InstanceState::Left,
            GateState::Open => InstanceState::Ready,
            GateState::Closing => InstanceState::Draining,
            GateState::Absent | GateState::Closed => InstanceState::Left,
        };
        HopReply {
            outcome,
            running: self.admission.running(),
            queued: self.admission.queued(),
            limit: self.admission.limit(),
            service_ms: self.admission.service_ms() as u32,
            spent_ms: spent_ms as u32,
            retry_after_ms: retry_after_ms as u32,
            state,
            failing_percent: self.failures.percent(now),
            link_percent: self.link_percent,
            transfer_wait_ms: self.offers.wait_ms() as u32,
            transfer_bytes_per_ms: self.offers.bytes_per_ms() as u32,
            upstream_ended: false,
            quarantine_left_ms: 0,
            quarantine_crashes: Default::default(),
            egress_wait_ms: u32::try_from(self.egress.wait_ms()).unwrap_or(u32::MAX),
            egress_bytes_per_ms: self.egress.bytes_per_ms() as u32,
            link_full: false,
            pace_percent: self.pace.percent(now),
            told_pace_percent: self.pace.reported_percent(now),
        }
    }

    fn refuse(&self, source: Source, refusal: Refusal<'_>, now: Millis) -> JobAction {
        let Refusal { id, reason, held_ms, retry_after_ms, quarantine_crashes, link_full, .. } =
            refusal;
        let reply = self.reply(HopOutcome::Refused, 0, retry_after_ms, now);
        let quarantine_left_ms = u32::try_from(refusal.quarantine_left_ms).unwrap_or(u32::MAX);
        let reply = HopReply { quarantine_left_ms, quarantine_crashes, link_full, ..reply };
        info!(
            %id, reason, running = reply.running, queued = reply.queued, limit = reply.limit,
            held_ms, retry_after_ms, verdict = "not-run", "job_refused"
        );
        JobAction::Reply { source, reply, response: Response::empty(REFUSED_STATUS) }
    }

    /// Calls refused so far since the upstream was cold.
    pub fn cold_refusals(&self) -> u64 {
        self.cold_refusals
    }

    /// How long a large answer would wait for the link, milliseconds.
    pub fn link_wait_ms(&self) -> u64 {
        self.egress.wait_ms()
    }

    /// Calls refused so far since their answers would have waited too long for the link.
    pub fn link_refusals(&self) -> u64 {
        self.link_refusals
    }

    /// Takes in no more calls, because the process stops; those that wait are refused.
    pub fn close(&mut self, now: Millis) -> Vec<JobAction> {
        self.closed = true;
        let waiting = self.admission.clear();
        let mut actions: Vec<JobAction> =
            waiting.into_iter().filter_map(|id| self.refuse_waiting(id, "stopping", now)).collect();
        actions.extend(self.refuse_offers("stopping", now));
        actions
    }

    /// Gives a job, which holds a slot, to the upstream.
    fn start(&mut self, id: JobId, now: Millis) -> Option<JobAction> {
        let instance = self.gate.incarnation().cloned();
        let job = self.jobs.get_mut(&id)?;
        if job.started.is_none() {
            self.at_work.entry(job.attempt_id.clone()).or_default().note_start(job.repeat);
        }
        job.started = Some(now);
        job.given_to = instance.clone();
        let left = job.deadline.saturating_sub(now).max(1);
        let mut request = (*job.request).clone();
        request.headers.remove(HOP_HEADER);
        request.headers.remove(self.names.api_key);
        // What it asks for was answered between the two sidecars.
        request.headers.remove("expect");
        request.headers.set(self.names.deadline_ms, left.to_string());
        if let Some(instance) = instance {
            request.headers.set(self.names.expect_instance, instance.id);
        }
        let waited_ms = now.saturating_sub(job.arrived);
        self.metrics.note_start(waited_ms);
        if self.sample.includes(&job.attempt_id) {
            info!(
                id = %job.attempt_id, instance = ?self.gate.id(), waited_ms, left_ms = left,
                running = self.admission.running(), limit = self.admission.limit(), "job_started"
            );
        }
        Some(JobAction::Run { job: id, request })
    }

    fn fingerprint(&self, request: &Request) -> Fingerprint {
        poison::fingerprint(&self.service, request)
    }

    fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.egress.release(id);
        self.by_source.remove(&job.source);
        if job.started.is_some() {
            self.forget_work(&job.attempt_id);
        }
        Some(job)
    }
}
