//! The inbound side of the sidecar: the only sender of requests to the local upstream.
//!
//! It performs no I/O: events come in with the current time, actions go out. Only this side knows
//! for certain whether a call was handed to the upstream, so only it may state that a call was not
//! run.

mod arrival;
mod at_work;
mod crash;
mod endings;
mod offers;
mod statements;
mod trial;

use self::at_work::ActiveRuns;
use self::crash::CrashDetector;
use self::offers::Offers;
use self::trial::CanaryTrial;
use crate::call_metrics::JobMetrics;
use crate::calls::Attempt;
use crate::dialect::{HeaderNames, ReportedLoad};
use crate::net::ConnectionId;
use crate::poison::{self, PoisonWatch};
use crate::sample::{LogRateLimit, LogSample};
use crate::transit::TransitTimes;
use crate::Millis;
use ::statements::StatedRate;
use admission::{
    Admission, DrainGate, EgressClass, EgressReservations, FailureRate, GateState, JobId,
    LinkState, Pace, RateLimit, UntrackedSlots,
};
use http1::{Answer, ExchangeError, Request, Response, Slot};
use mesh::{
    CallClass, CrashId, Fingerprint, HopOutcome, HopReply, Incarnation, InstanceState, LimitReport,
    NodeAddress, UpstreamLoad, VersionEvidence, VersionPolicy, HOP_HEADER,
};
use placement::PRESUMED_COLD_MS;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, warn};

/// Slots assumed for an upstream that has not reported any.
const DEFAULT_SLOTS: u32 = 4;
/// Fraction of the slots that is used; some upstreams slow down or reset connections when all slots
/// are in use.
const USABLE_SLOT_FRACTION: f64 = 1.0;
const REFUSED_STATUS: u16 = 503;
/// Logged statements of the upstream per second; one that changes its statement with every answer
/// must not crowd out other lines.
const MAX_STATEMENTS_LOGGED_PER_SECOND: u32 = 5;
/// Placeholder node address, used until `with_poison_watch` provides the real one.
const UNKNOWN_NODE: NodeAddress = NodeAddress { ip: std::net::Ipv4Addr::UNSPECIFIED, port: 0 };
/// Status with which an upstream rejects a call that is meant for another incarnation; the call has
/// not run.
const WRONG_INSTANCE_STATUS: u16 = 421;
/// Reason to refuse a call whose deadline is later than the end of this process.
const OUTLASTS_STOP: &str = "stopping_before_deadline";

/// Who is waiting for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A caller on this machine.
    Local(Attempt),
    /// A peer.
    Peer {
        /// Connection of the peer.
        connection: ConnectionId,
        /// Position of the request on the connection.
        slot: Slot,
    },
}

/// How an attempt at the upstream ended.
#[derive(Debug)]
pub enum UpstreamEnd {
    /// The request was not sent completely, so it cannot have run.
    NotSent,
    /// A complete answer was received.
    Answered(Answer),
    /// The request was sent, and no valid answer was received.
    Failed(ExchangeError),
}

/// An action for the runtime to perform.
#[derive(Debug)]
pub enum JobAction {
    /// Send a request to the upstream.
    Run {
        /// The job.
        job: JobId,
        /// The request as it is sent to the upstream.
        request: Request,
    },
    /// Abort a job at the upstream.
    Abort(JobId),
    /// Check whether the upstream still accepts connections.
    Probe {
        /// Whether an idle connection that has not ended since counts as a success.
        again: bool,
    },
    /// Allow a peer to send more of the body that it offered.
    Grant {
        /// Who offered it.
        source: Source,
        /// Number of additional bytes.
        bytes: u64,
    },
    /// Report the outcome of a job.
    Reply {
        /// Who is waiting for it.
        source: Source,
        /// The outcome.
        reply: HopReply,
        /// The response, empty unless it came from the upstream.
        response: Response,
    },
}

/// The refusal of a call that is not given to the upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Refusal<'a> {
    /// Id of the call.
    id: &'a str,
    reason: &'a str,
    /// How long the call was held before the refusal, in milliseconds.
    held_ms: u64,
    retry_after_ms: u64,
    /// Remaining quarantine of the request at all upstreams, in milliseconds; 0 if it is not
    /// quarantined.
    quarantine_left_ms: u64,
    /// The crashes that the quarantine is based on.
    quarantine_crashes: [CrashId; 2],
    /// Whether the call was refused because the link has no room for its answer.
    link_full: bool,
}

#[derive(Debug)]
struct Job {
    source: Source,
    request: Rc<Request>,
    attempt_id: String,
    class: CallClass,
    /// Whether a similar request may have crashed an upstream.
    suspect: bool,
    /// Incarnation that received it.
    given_to: Option<Incarnation>,
    deadline: Millis,
    arrived: Millis,
    started: Option<Millis>,
    /// Usual duration at an upstream of normal speed, as reported by the sender, in milliseconds; 0
    /// if unknown.
    usual_ms: u32,
    /// Whether another upstream received the call before.
    repeat: bool,
    /// Whether its sender believes that the upstream states a limit.
    told_limit: bool,
    /// Whether the upstream stated with its answer that it is leaving.
    upstream_leaving: bool,
}

impl Job {
    /// The kind of answer expected, by which answer sizes are estimated.
    fn egress_kind(&self) -> EgressClass {
        EgressClass { rank: self.class.rank, target_ms: u64::from(self.class.target_ms) }
    }

    fn spent_ms(&self, now: Millis) -> u64 {
        now.saturating_sub(self.started.unwrap_or(now))
    }
}

/// All calls for the local upstream.
pub struct Jobs {
    names: HeaderNames,
    sample: LogSample,
    metrics: JobMetrics,
    service: String,
    /// The registered upstream and whether calls are let through to it.
    pub gate: DrainGate,
    admission: Admission,
    offers: Offers,
    egress: EgressReservations,
    link_refusals: u64,
    cold_refusals: u64,
    rate_refusals: u64,
    transits: TransitTimes,
    trial: CanaryTrial,
    crash: CrashDetector,
    poison: PoisonWatch,
    failures: FailureRate,
    failures_instance: Option<Incarnation>,
    pace: Pace,
    /// Rate limit that the current incarnation states.
    stated_rate: StatedRate,
    /// The incarnation that it belongs to.
    stated_by: Option<Incarnation>,
    statements_logged: LogRateLimit,
    /// Number of slots of the upstream that may be used at once.
    slots_used: u32,
    taken_slots: UntrackedSlots,
    /// Whether it was learned from calls that the registered incarnation is absent or leaves, and
    /// this has not been reported yet.
    instance_changed: bool,
    /// Whether the zone is evacuated, so that the upstream gets no calls.
    evacuated: bool,
    /// Utilization of this machine's link, in percent.
    pub link_percent: u32,
    jobs: BTreeMap<JobId, Job>,
    by_source: BTreeMap<Source, JobId>,
    /// Running jobs by call id.
    active_runs: BTreeMap<String, ActiveRuns>,
    /// Until when hedged attempts are refused, because the calls made by their jobs exceed the
    /// retry budget.
    pub hedges_barred_until: Millis,
    next_job: JobId,
    /// Set while the process is stopping.
    stop_bound: Option<StopBound>,
    closed: bool,
}

/// What bounds the calls of peers while the process is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopBound {
    /// Latest deadline of a call that ends before the process.
    pub latest_deadline: Millis,
    /// When a refused call may be retried here, in milliseconds.
    pub retry_after_ms: u64,
}

impl StopBound {
    /// Longest remaining time of a call that is accepted now, in milliseconds.
    fn accepts_ms(self, now: Millis) -> u32 {
        u32::try_from(self.latest_deadline.saturating_sub(now)).unwrap_or(u32::MAX)
    }
}

impl Jobs {
    /// Creates the inbound side of a sidecar whose upstream belongs to `service`.
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
            admission: Admission::new(DEFAULT_SLOTS),
            offers: Offers::new(link_bytes_per_ms),
            egress: EgressReservations::default(),
            link_refusals: 0,
            cold_refusals: 0,
            rate_refusals: 0,
            transits: TransitTimes::default(),
            trial: CanaryTrial::default(),
            crash: CrashDetector::default(),
            poison: PoisonWatch::new(UNKNOWN_NODE),
            failures: FailureRate::default(),
            failures_instance: None,
            pace: Pace::default(),
            stated_rate: StatedRate::default(),
            stated_by: None,
            statements_logged: LogRateLimit::new(MAX_STATEMENTS_LOGGED_PER_SECOND),
            slots_used: DEFAULT_SLOTS,
            taken_slots: UntrackedSlots::default(),
            instance_changed: false,
            evacuated: false,
            link_percent: 0,
            jobs: BTreeMap::new(),
            by_source: BTreeMap::new(),
            active_runs: BTreeMap::new(),
            hedges_barred_until: 0,
            next_job: 1,
            stop_bound: None,
            closed: false,
        }
    }

    /// Shares the outbound side's knowledge of requests that may crash upstreams.
    pub fn with_poison_watch(self, poison: PoisonWatch) -> Self {
        Jobs { poison, ..self }
    }

    /// Number of unfinished jobs, including offers whose body has not arrived.
    pub fn in_flight(&self) -> usize {
        self.jobs.len() + self.offers.len()
    }

    /// Whether a call was handed to the upstream and has not ended yet.
    pub fn has_started(&self, source: Source) -> bool {
        let job = self.by_source.get(&source).and_then(|id| self.jobs.get(id));
        job.is_some_and(|job| job.started.is_some())
    }

    /// Share of recent calls that the upstream failed, in percent.
    pub fn failing_percent(&self, now: Millis) -> u32 {
        self.failures.percent(now)
    }

    /// Number of calls that run at the upstream, and of calls in the queue.
    pub fn load(&self) -> (u32, u32) {
        (self.admission.running(), self.admission.queued())
    }

    /// The load report for other nodes.
    pub fn load_report(&self, now: Millis) -> UpstreamLoad {
        let (running, queued) = self.load();
        UpstreamLoad::new(running, queued, self.admission.service_ms() as u32)
            .with_link(self.link_percent)
            .with_egress_wait(self.egress.wait_ms())
            .with_service_time_percent(self.pace.percent(now))
    }

    /// Sets the available capacity of this machine's outgoing link.
    pub fn set_link_state(&mut self, state: LinkState) {
        self.egress.set_link_state(state);
    }

    /// Handles a load report that the upstream sent with an answer.
    pub fn note_load_report(&mut self, report: ReportedLoad, now: Millis) {
        if let Some(percent) = report.service_time_percent {
            self.pace.note_reported(percent, now);
        }
        let all = report.running.saturating_add(report.waiting);
        self.taken_slots.note(all, self.admission.running(), now);
        self.update_limit(now);
    }

    /// Limits running jobs to the slots that remain beside work at the upstream that this side does
    /// not know of, such as aborted jobs.
    fn update_limit(&mut self, now: Millis) {
        let limit = self.taken_slots.available_of(self.slots_used, now);
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

    /// Sets which versions of this service may receive calls; `None` if there are no restrictions.
    pub fn set_policy(&mut self, policy: Option<VersionPolicy>) {
        self.trial.set_policy(policy);
    }

    /// Sets whether the zone of this sidecar is evacuated; queued calls are then refused. When a
    /// zone is restored, its upstream may have become cold without having reported it, so it is
    /// assumed to be cold until its next report.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Millis) -> Vec<JobAction> {
        let restored = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if restored {
            self.gate.presume_cold(now + PRESUMED_COLD_MS);
            self.refresh_cold();
        }
        self.start_queued(now)
    }

    /// The canary evidence to send to the coordinators now, if any is due.
    pub fn evidence_due(&mut self, now: Millis) -> Option<VersionEvidence> {
        let version = self.gate.version()?;
        self.trial.due_report(&self.service, version, now)
    }

    /// Updates the knowledge of the upstream's incarnation from the outcome of a call given to it.
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

    /// Whether a change of the present incarnation must be reported that it did not register itself.
    /// Resets the flag.
    pub fn take_instance_changed(&mut self) -> bool {
        std::mem::take(&mut self.instance_changed)
    }

    /// Sets the call rate that cold upstreams of this service can handle.
    pub fn set_cold_rate(&mut self, rate: Option<RateLimit>, now: Millis) {
        self.admission.set_cold_rate(rate, now);
    }

    /// Updates how long the upstream remains cold.
    pub fn refresh_cold(&mut self) {
        self.admission.set_cold_until(self.gate.cold_until());
    }

    /// Updates the slots of the upstream and how long it remains cold.
    pub fn refresh_limit(&mut self, now: Millis) {
        let slots = self.gate.slots().unwrap_or(DEFAULT_SLOTS).max(1);
        let used = (f64::from(slots) * USABLE_SLOT_FRACTION).floor() as u32;
        self.slots_used = used.max(1);
        self.admission.set_limit(self.slots_used);
        self.crash.note_registered(self.gate.incarnation());
        self.refresh_cold();
        if self.failures_instance.as_ref() != self.gate.incarnation() {
            self.failures_instance = self.gate.incarnation().cloned();
            self.admission.restarted(now);
            self.failures.clear();
            self.pace = Pace::default();
        }
        self.refresh_statements(now);
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
            service_time_percent: self.pace.percent(now),
            reported_service_time_percent: self.pace.reported_percent(now),
            rate_limit: self.stated_rate.rate().map(LimitReport::Limited),
            upstream_leaving: false,
            accepts_ms: self.stop_bound.map(|bound| bound.accepts_ms(now)),
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

    /// The answer to a call of a peer that has not arrived completely when the process ends.
    pub fn stopping_response(&self, now: Millis) -> Response {
        let reply = self.reply(HopOutcome::Refused, 0, 0, now);
        Response::empty(REFUSED_STATUS).with_header(HOP_HEADER, reply.encode())
    }

    /// Number of calls refused so far because the upstream was cold.
    pub fn cold_refusals(&self) -> u64 {
        self.cold_refusals
    }

    /// How long a large answer would wait for the link, in milliseconds.
    pub fn link_wait_ms(&self) -> u64 {
        self.egress.wait_ms()
    }

    /// Number of calls refused so far because their answers would have waited too long for the
    /// link.
    pub fn link_refusals(&self) -> u64 {
        self.link_refusals
    }

    /// Accepts only calls of peers that end before the process, which is stopping, and refuses the
    /// queued ones that do not.
    pub fn begin_stop(&mut self, bound: StopBound, now: Millis) -> Vec<JobAction> {
        self.stop_bound = Some(bound);
        let outlasts = |job: &Job| {
            job.started.is_none() && self.outlasts_stop(job.source, job.deadline).is_some()
        };
        let found = self.jobs.iter().filter(|(_, job)| outlasts(job));
        let ids: Vec<JobId> = found.map(|(id, _)| *id).collect();
        let mut actions = Vec::new();
        for id in ids {
            self.admission.cancel(id);
            actions.extend(self.refuse_queued(id, OUTLASTS_STOP, now));
        }
        actions
    }

    /// The reason to refuse a call of a peer that may still be at work when this process ends: its
    /// sender would not learn how it ended.
    fn outlasts_stop(&self, source: Source, deadline: Millis) -> Option<&'static str> {
        let bound = self.stop_bound.filter(|_| matches!(source, Source::Peer { .. }))?;
        (deadline > bound.latest_deadline).then_some(OUTLASTS_STOP)
    }

    /// Stops accepting calls because the process is stopping, and refuses the queued ones.
    pub fn close(&mut self, now: Millis) -> Vec<JobAction> {
        self.closed = true;
        let waiting = self.admission.clear();
        let mut actions: Vec<JobAction> =
            waiting.into_iter().filter_map(|id| self.refuse_queued(id, "stopping", now)).collect();
        actions.extend(self.refuse_offers("stopping", now));
        actions
    }

    /// Hands a job, which occupies a slot, to the upstream.
    fn start(&mut self, id: JobId, now: Millis) -> Option<JobAction> {
        let instance = self.gate.incarnation().cloned();
        let job = self.jobs.get_mut(&id)?;
        if job.started.is_none() {
            self.active_runs.entry(job.attempt_id.clone()).or_default().note_start(job.repeat);
        }
        job.started = Some(now);
        job.given_to = instance.clone();
        let left = job.deadline.saturating_sub(now).max(1);
        let mut request = (*job.request).clone();
        request.headers.remove(HOP_HEADER);
        request.headers.remove(self.names.api_key);
        // The expectation was already met between the two sidecars.
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
            self.release_run(&job.attempt_id);
        }
        Some(job)
    }
}
