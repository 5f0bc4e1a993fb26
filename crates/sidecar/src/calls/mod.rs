//! The outbound side: handles each call from callers on this machine until its final answer.
//!
//! Does no I/O: takes events with the current time and returns actions. A call gets exactly one
//! final answer, as soon as that is decided. It has one attempt in flight at a time, plus at most
//! one hedge.

mod call;
mod credit;
mod endings;
mod hedge;
mod keys;
mod placing;
mod retry_budget;
mod time;

use self::call::Call;
use self::credit::CreditState;
use crate::call_metrics::{CallMetrics, CallOutcome};
use crate::config::Config;
use crate::dialect::HeaderNames;
use crate::poison::PoisonWatch;
use crate::quota::{Quota, WaitingCall};
use crate::tenants::{combined_rank, KeyHolder};
use http1::{Request, Response, Slot};
use mesh::{HopReply, HopRequest, NodeAddress};
use placement::{
    BudgetBounds, CallEnd, CanaryShares, LoadShedder, Locality, PlacementView, RequestOrigin,
    RetryBudget, RouteLatencies, Throttle, Urgency, WeightedSplit,
};
use quarantine::RequestStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::info;

use crate::net::ConnectionId;
use crate::sample::{LogRateLimit, LogSample};
use crate::Millis;

/// Identifies a call on this node.
pub type CallId = u64;

/// Maximum wait for an upstream of a service that has none, milliseconds. Restarted upstreams are
/// announced within a few tenths of a second, and a target latency of a second still leaves time
/// for the call itself.
const NO_UPSTREAM_WAIT_MS: u64 = 400;
/// Interval at which parked calls look for an upstream, milliseconds: short compared to that wait.
const PARKED_POLL_MS: u64 = 20;
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// Retry-After of calls that are shed because similar calls fail, milliseconds.
const THROTTLED_RETRY_AFTER_MS: u64 = 250;
/// Range of the random Retry-After of calls that are shed because similar calls are late,
/// milliseconds.
const OVERLOAD_RETRY_AFTER_MS: std::ops::Range<u64> = 250..1_250;
/// Fraction of a service's slots that must be free for its calls to be sent even though similar
/// calls are late. It exceeds the fraction that becomes occupied between two load reports.
const MIN_FREE_SLOT_FRACTION: f64 = 0.1;
/// Retry-After while the configuration is missing or may be outdated, milliseconds.
const UNREADY_RETRY_AFTER_MS: u64 = 600;
/// Denied calls logged per second in addition to sampled ones. A caller that tries random keys can
/// thus cause only a hundredth of the log lines that a node may write.
const MAX_DENIALS_LOGGED_PER_SECOND: u32 = 20;
/// Logged changes of what upstreams state, per second.
const MAX_STATEMENTS_LOGGED_PER_SECOND: u32 = 5;

/// Where a call came from, and where its answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Connection of the caller.
    pub connection: ConnectionId,
    /// Position of the request on that connection.
    pub slot: Slot,
}

/// Who started a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Initiator {
    /// A caller that is not known to be serving another call.
    Caller,
    /// The local upstream while it runs a request, which occupies a slot until this call ends.
    LocalRun,
    /// The same, but the request was sent to another upstream before. This call was probably made
    /// there too, so it counts as a retry in the budget of its service.
    RepeatedRun,
}

impl Initiator {
    fn asked_by(self) -> RequestOrigin {
        match self {
            Self::Caller => RequestOrigin::Caller,
            Self::LocalRun | Self::RepeatedRun => RequestOrigin::RunningRequest,
        }
    }
}

/// Identifies one attempt of a call. The number distinguishes it from earlier attempts, whose
/// results may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The call.
    pub call: CallId,
    /// Number of the attempt, starting at 1.
    pub number: u32,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The request was not sent completely, so it cannot have run.
    NotSent,
    /// The peer replied with the outcome.
    Replied(HopReply, Response),
    /// The request was sent, but its outcome is unknown.
    Lost,
}

/// An action that the runtime must carry out.
#[derive(Debug)]
pub enum CallAction {
    /// Send an attempt to the sidecar of an upstream.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// The sidecar's address.
        to: NodeAddress,
        /// The request, without the hop header.
        request: Rc<Request>,
        /// The contents of the hop header.
        hop: HopRequest,
        /// Whether the body is only offered, and sent once the receiver grants it.
        offered: bool,
    },
    /// Give a call its final answer.
    Answer {
        /// Where the call came from.
        origin: Origin,
        /// The answer.
        response: Response,
    },
    /// Stop an attempt without waiting for its end.
    Abort(Attempt),
}

/// Why a call is refused before it is offered to any upstream.
struct LoadShedding {
    reason: &'static str,
    /// Fraction of such calls that is currently shed, 0 to 1.
    fraction: f64,
    retry_after_ms: u64,
}

/// Counters of the outbound side.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Calls begun.
    pub begun: u64,
    /// Answers of upstreams passed on to callers.
    pub answered: u64,
    /// Refusals that guarantee that the call did not run.
    pub refused: u64,
    /// Failures without that guarantee.
    pub failed: u64,
    /// Calls without the required API key of a tenant; they did not run.
    pub denied: u64,
    /// Calls whose deadline passed.
    pub timed_out: u64,
    /// Calls whose caller disconnected.
    pub cancelled: u64,
    /// Retries and hedges: attempts of calls that had already been sent to another upstream.
    pub repeats: u64,
    /// The hedges among them.
    pub hedges: u64,
    /// Hedges that were answered before the first attempt.
    pub hedges_won: u64,
    /// Calls that were not retried because the retry budget was spent.
    pub repeats_refused: u64,
}

/// All calls from callers on this machine.
pub struct Calls {
    names: HeaderNames,
    sample: LogSample,
    metrics: CallMetrics,
    service: String,
    /// Known state of the upstreams.
    pub view: PlacementView,
    splits: BTreeMap<String, WeightedSplit>,
    canaries: CanaryShares,
    budget: RetryBudget,
    times: RouteLatencies,
    throttle: Throttle,
    pressure: LoadShedder,
    poison: PoisonWatch,
    /// Tenant quotas, with the calls that wait for a credit.
    pub quota: Quota,
    random: fastrand::Rng,
    /// Identifies the clock of this process to peers.
    clock: u32,
    calls: BTreeMap<CallId, Call>,
    by_origin: BTreeMap<Origin, CallId>,
    deadlines: BTreeSet<(Millis, CallId)>,
    parked: BTreeSet<CallId>,
    /// Whether slow calls are hedged: also sent to a second upstream.
    hedging: bool,
    /// When to consider a hedge for each call.
    hedges_due: BTreeSet<(Millis, CallId)>,
    hedges_barred_until: Millis,
    retries_reported_at: Millis,
    next_call: CallId,
    /// Configuration generation in which the keys of all calls were last looked up.
    keys_checked: u64,
    denials_logged: LogRateLimit,
    statements_logged: LogRateLimit,
    /// When the process was told to stop.
    stop_began_at: Option<Millis>,
    /// Totals since the process started.
    pub counts: CallCounts,
}

impl Calls {
    /// Creates the outbound side of a sidecar whose upstream belongs to `service`.
    pub fn new(
        names: HeaderNames,
        service: &str,
        locality: Locality,
        bounds: BudgetBounds,
        sample: LogSample,
        metrics: CallMetrics,
        seed: u64,
    ) -> Self {
        Calls {
            names,
            sample,
            metrics,
            service: service.to_owned(),
            poison: PoisonWatch::new(*locality.own()),
            quota: Quota::new(sample, seed),
            view: PlacementView::new(locality),
            splits: BTreeMap::new(),
            canaries: CanaryShares::default(),
            budget: RetryBudget::new(bounds),
            times: RouteLatencies::default(),
            throttle: Throttle::default(),
            pressure: LoadShedder::default(),
            // Both come from the seed drawn at process start; neither needs to be secret.
            clock: seed as u32,
            random: fastrand::Rng::with_seed(seed),
            calls: BTreeMap::new(),
            by_origin: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: BTreeSet::new(),
            hedging: true,
            hedges_due: BTreeSet::new(),
            hedges_barred_until: 0,
            retries_reported_at: 0,
            next_call: 1,
            keys_checked: 0,
            denials_logged: LogRateLimit::new(MAX_DENIALS_LOGGED_PER_SECOND),
            statements_logged: LogRateLimit::new(MAX_STATEMENTS_LOGGED_PER_SECOND),
            stop_began_at: None,
            counts: CallCounts::default(),
        }
    }

    /// Shares the inbound side's knowledge of requests that may crash upstreams.
    pub fn with_poison_watch(self, poison: PoisonWatch) -> Self {
        Calls { poison, ..self }
    }

    /// Enables or disables hedging.
    pub fn set_hedging(&mut self, hedging: bool) {
        self.hedging = hedging;
    }

    /// Records that the process was told to stop.
    pub fn note_stop(&mut self, now: Millis) {
        self.stop_began_at.get_or_insert(now);
    }

    /// Number of calls without a final answer.
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.quota.waiting()
    }

    /// When the oldest call without a final answer arrived, apart from those that wait for a
    /// credit.
    pub fn oldest_arrival(&self) -> Option<Millis> {
        self.calls.first_key_value().map(|(_, call)| call.arrived)
    }

    /// Starts a call from a caller.
    pub fn begin(
        &mut self,
        origin: Origin,
        request: Request,
        config: &Config,
        now: Millis,
    ) -> Vec<CallAction> {
        self.begin_from(Initiator::Caller, origin, request, config, now)
    }

    /// Starts a call from the given initiator.
    pub fn begin_from(
        &mut self,
        initiator: Initiator,
        origin: Origin,
        request: Request,
        config: &Config,
        now: Millis,
    ) -> Vec<CallAction> {
        self.counts.begun += 1;
        let call = WaitingCall { initiator, origin, request, arrived: now };
        self.begin_with(CreditState::NotRequested, call, config, now)
    }

    /// Starts a call, or resumes one that waited for a credit.
    fn begin_with(
        &mut self,
        credit: CreditState,
        call: WaitingCall,
        config: &Config,
        now: Millis,
    ) -> Vec<CallAction> {
        let WaitingCall { initiator, origin, request, arrived } = call;
        let attempt_id = request.headers.text(self.names.attempt_id).unwrap_or("-").to_owned();
        let Some(routing) = config.routing() else {
            // Refused rather than queued: once there is a configuration, a retry can still be in
            // time, while a queued call would be late and occupy a slot that another call needs.
            info!(id = %attempt_id, reason = "no_configuration", verdict = "not-run", "call_refused");
            self.counts.refused += 1;
            return vec![refusal(origin, UNREADY_RETRY_AFTER_MS)];
        };
        let host = request.headers.text("host").unwrap_or_default().to_owned();
        let path = request.path().to_owned();
        let Some(found) = routing.find(&host, &request.method, &path) else {
            return vec![self.without_route(origin, &attempt_id, &request, config, now)];
        };
        let route = &found.route;
        let presented = request.headers.all(self.names.api_key);
        let holder = match config.tenant_of_call(route.keyless, presented) {
            Ok(holder) => holder,
            Err(problem) => {
                return vec![self.deny(origin, &route.name, problem, &request, config, now)];
            }
        };
        let call = WaitingCall { initiator, origin, request, arrived };
        let request = match self.take_credit(credit, holder.as_ref(), call, &route.name, now) {
            Ok(request) => request,
            Err(answers) => return answers,
        };
        let Some(service) = self.draw_service(&route.name, &route.targets) else {
            return vec![refusal(origin, UNREADY_RETRY_AFTER_MS)];
        };
        let timeout = u64::from(route.timeout_ms);
        let caller_timeout_ms = request.headers.number(self.names.deadline_ms).unwrap_or(timeout);
        let urgency = urgency_of(route, holder.as_ref());
        let status = self.poison.request_status(&service, &request, now);
        if let RequestStatus::Quarantined { left_ms } = status {
            self.return_credit(holder.as_ref(), now);
            return vec![self.refuse_quarantined(origin, &attempt_id, &route.name, left_ms)];
        }
        // Calls made by a running request are not shed: its slot time would be wasted.
        let shedding = match initiator {
            Initiator::Caller => self.shed(&route.name, &service, urgency, now),
            Initiator::LocalRun | Initiator::RepeatedRun => None,
        };
        if let Some(shedding) = shedding {
            let LoadShedding { reason, fraction, retry_after_ms } = shedding;
            self.return_credit(holder.as_ref(), now);
            info!(
                id = %attempt_id, route = %route.name, %service, reason,
                part = %format_args!("{fraction:.2}"),
                retry_after_ms, verdict = "not-run", "call_refused"
            );
            self.counts.refused += 1;
            self.metrics.note_end(&route.name, CallOutcome::HeldBack, 0);
            return vec![refusal(origin, retry_after_ms)];
        }
        self.note_request(initiator, &service, now);
        let track = self.draw_track(&service);
        let call = Call {
            origin,
            request: Rc::new(self.forwarded_request(request, holder.as_ref())),
            attempt_id,
            route: route.name.clone(),
            holder,
            key_change: None,
            route_rank: route.rank,
            repeatable: route.repeatable,
            rank: urgency.rank,
            max_arrivals: route.attempts.max(1),
            target_ms: urgency.target_ms,
            service,
            track,
            suspect: status == RequestStatus::Suspect,
            from_local_run: initiator != Initiator::Caller,
            arrived,
            caller_timeout_ms,
            deadline: arrived + caller_timeout_ms.min(timeout),
            attempts: 0,
            arrivals: 0,
            current: None,
            hedge: None,
            hedge_at: None,
            tried: Vec::new(),
            meant_for: Vec::new(),
            history: Vec::new(),
            parked_until: None,
            room_at: None,
            fallback: None,
        };
        let id = self.add(call);
        self.place(id, now)
    }

    /// Refuses a call whose request is in quarantine because it crashes upstreams; it has not run.
    /// Retry-After is at least the rest of the quarantine, so that callers do not retry before.
    pub(super) fn refuse_quarantined(
        &mut self,
        origin: Origin,
        id: &str,
        route: &str,
        left_ms: u64,
    ) -> CallAction {
        if self.sample.includes(id) {
            info!(%id, %route, reason = "quarantined", left_ms, verdict = "not-run", "call_refused");
        }
        self.counts.refused += 1;
        self.metrics.note_end(route, CallOutcome::Quarantined, 0);
        let seconds = left_ms.div_ceil(1_000).to_string();
        let response = Response::empty(503).with_header("Retry-After", seconds);
        CallAction::Answer { origin, response }
    }

    fn add(&mut self, call: Call) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.deadlines.insert((call.deadline, id));
        self.by_origin.insert(call.origin, id);
        self.calls.insert(id, call);
        id
    }

    /// Answers a call without a matching route: 404 if the local configuration is known to be the
    /// newest, otherwise a refusal, because a newer generation may have the route.
    fn without_route(
        &mut self,
        origin: Origin,
        id: &str,
        request: &Request,
        config: &Config,
        now: Millis,
    ) -> CallAction {
        let host = request.headers.text("host").unwrap_or_default();
        let (path, generation) = (request.path(), config.generation());
        let (current, confirmed_ms_ago) = (config.is_current(now), config.freshness.age_ms(now));
        info!(%id, %host, %path, generation, current, ?confirmed_ms_ago, "call_without_route");
        if current {
            return CallAction::Answer { origin, response: Response::empty(404) };
        }
        self.counts.refused += 1;
        refusal(origin, UNREADY_RETRY_AFTER_MS)
    }

    /// Decides whether to shed a new call because similar calls fail or are not answered in time.
    fn shed(
        &mut self,
        route: &str,
        service: &str,
        urgency: Urgency,
        now: Millis,
    ) -> Option<LoadShedding> {
        let fraction = 1.0 - self.throttle.admitted(route, now);
        if self.random.f64() < fraction {
            let retry_after_ms = THROTTLED_RETRY_AFTER_MS;
            return Some(LoadShedding { reason: "like_calls_fail", fraction, retry_after_ms });
        }
        let fraction = self.pressure.shed_probability(service, urgency, now);
        if fraction > 0.0 && self.has_room(service, now) {
            return None;
        }
        if self.random.f64() < fraction {
            self.pressure.note(service, urgency, CallEnd::Shed, now);
            let retry_after_ms = self.random.u64(OVERLOAD_RETRY_AFTER_MS);
            return Some(LoadShedding { reason: "like_calls_are_late", fraction, retry_after_ms });
        }
        None
    }

    /// Whether the upstreams of a service report enough free slots. Their load reports say more
    /// about the service than the outcomes of the few calls sent from this node.
    fn has_room(&self, service: &str, now: Millis) -> bool {
        self.view
            .free_slot_fraction(service, now)
            .is_some_and(|free| free >= MIN_FREE_SLOT_FRACTION)
    }

    /// Records the outcome and duration of a call in the metrics.
    fn note_outcome(&mut self, call: &Call, outcome: CallOutcome, now: Millis) {
        self.metrics.note_end(&call.route, outcome, now.saturating_sub(call.arrived));
    }

    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.deadlines.remove(&(call.deadline, id));
        self.by_origin.remove(&call.origin);
        self.parked.remove(&id);
        self.forget_hedge(id, call.hedge_at);
        Some(call)
    }
}

/// Rank and target latency by which calls of a tenant on a route compete for upstreams.
fn urgency_of(route: &bundle::Route, holder: Option<&KeyHolder>) -> Urgency {
    let target_ms = match route.target_latency_ms {
        0 => route.timeout_ms,
        target => target,
    };
    let rank = combined_rank(holder.and_then(|holder| holder.tenant.rank), route.rank);
    Urgency { rank, target_ms: u64::from(target_ms) }
}

fn refusal(origin: Origin, retry_after_ms: u64) -> CallAction {
    CallAction::Answer { origin, response: refusal_response(retry_after_ms) }
}

/// The answer to a call that has not run, with the time after which its caller may come back.
pub fn refusal_response(retry_after_ms: u64) -> Response {
    let bounded = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let seconds = format!("{:.3}", bounded as f64 / 1_000.0);
    Response::empty(503).with_header("Retry-After", seconds)
}
