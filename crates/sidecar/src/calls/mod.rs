//! The outbound side: what becomes of each call of a caller on this machine.
//!
//! Pure: events come in with the time, actions go out. A call has one final answer, given at once
//! when it is decided; it has one attempt at a time, and at most one hedge beside it.

mod call;
mod credit;
mod endings;
mod hedge;
mod keys;
mod placing;
mod repeats;
mod time;

use self::call::Call;
use self::credit::Credit;
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

/// Names a call on this node.
pub type CallId = u64;

/// Longest wait for an upstream of a service that has none, milliseconds: restarted upstreams are told
/// of within some tenths of a second, and a target of a second still has room for the call after it.
const NO_UPSTREAM_WAIT_MS: u64 = 400;
/// Time between two looks for an upstream meanwhile, milliseconds: small against that wait.
const PARKED_LOOK_MS: u64 = 20;
const SHORTEST_RETRY_AFTER_MS: u64 = 50;
const LONGEST_RETRY_AFTER_MS: u64 = 2_000;
/// Retry-After of calls that are held back because their like fail, milliseconds.
const THROTTLED_RETRY_AFTER_MS: u64 = 250;
/// Shortest and longest Retry-After of calls that are held back because their like are late,
/// milliseconds.
const PRESSED_RETRY_AFTER_MS: std::ops::Range<u64> = 250..1_250;
/// Part of a service's slots that must be free for its calls to be sent whatever became of their
/// like: more than change hands between two tellings of loads.
const ROOM_PART: f64 = 0.1;
/// Retry-After while no configuration is known, milliseconds.
const UNREADY_RETRY_AFTER_MS: u64 = 600;
/// Denied calls that are logged in a second beside those of the sample: whoever sends with random
/// keys gets a hundredth of the lines that a node may write.
const DENIALS_LOGGED_A_SECOND: u32 = 20;
/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Connection of the caller.
    pub connection: ConnectionId,
    /// Place on it.
    pub slot: Slot,
}

/// Who asks for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Initiator {
    /// Nobody that this node knows more of.
    Caller,
    /// A run of the upstream beside this node, which holds a slot until the call ends.
    LocalRun,
    /// The same, where another upstream had the call that the run is of: this call was asked for there,
    /// too, and counts as a repeat at the service that it is for.
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

/// One try of a call; the number tells late news of earlier tries apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The call.
    pub call: CallId,
    /// Which try, from 1.
    pub number: u32,
}

/// How a try ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// It was not sent whole, so it cannot have run.
    NotSent,
    /// The peer told what became of it.
    Replied(HopReply, Response),
    /// It was sent, and nothing certain came back.
    Lost,
}

/// What the runtime must do.
#[derive(Debug)]
pub enum CallAction {
    /// Send a try to the sidecar beside an upstream.
    Send {
        /// Which.
        attempt: Attempt,
        /// Where to.
        to: NodeAddress,
        /// What to send, without the hop's header.
        request: Rc<Request>,
        /// What goes in the hop's header.
        hop: HopRequest,
        /// Whether the body is only offered, and sent as the other side grants it.
        offered: bool,
    },
    /// Give a call its final answer.
    Answer {
        /// Where it came from.
        origin: Origin,
        /// The answer.
        response: Response,
    },
    /// Stop a try; its end is not awaited.
    Abort(Attempt),
}

/// A call that is refused before it is offered to any upstream.
struct HeldBack {
    reason: &'static str,
    /// Part of such calls that is held back now, 0 to 1.
    part: f64,
    retry_after_ms: u64,
}

/// Counters of the outbound side.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Calls begun.
    pub begun: u64,
    /// Answers of upstreams passed on.
    pub answered: u64,
    /// Refusals that promise that the call did not run.
    pub refused: u64,
    /// Failures without that promise.
    pub failed: u64,
    /// Calls that showed no key of a tenant where one is needed; they did not run.
    pub denied: u64,
    /// Calls whose time was over.
    pub timed_out: u64,
    /// Calls whose caller went away.
    pub cancelled: u64,
    /// Arrivals at upstreams past the first.
    pub repeats: u64,
    /// Those of them that were hedged second tries.
    pub hedges: u64,
    /// Hedged second tries whose answer came first.
    pub hedges_won: u64,
    /// Calls that were not sent again since the bound on repeats was reached.
    pub repeats_refused: u64,
}

/// All calls of callers on this machine.
pub struct Calls {
    names: HeaderNames,
    sample: LogSample,
    metrics: CallMetrics,
    service: String,
    /// What is believed of the upstreams.
    pub view: PlacementView,
    splits: BTreeMap<String, WeightedSplit>,
    canaries: CanaryShares,
    budget: RetryBudget,
    times: RouteLatencies,
    throttle: Throttle,
    pressure: LoadShedder,
    poison: PoisonWatch,
    /// Which calls wait for a credit of their tenants.
    pub quota: Quota,
    random: fastrand::Rng,
    /// Names this process' clock to peers.
    clock: u32,
    calls: BTreeMap<CallId, Call>,
    by_origin: BTreeMap<Origin, CallId>,
    deadlines: BTreeSet<(Millis, CallId)>,
    parked: BTreeSet<CallId>,
    /// Whether calls that take long are also sent to a second upstream.
    hedging: bool,
    /// When it is looked at whether a second try of a call pays.
    hedges_due: BTreeSet<(Millis, CallId)>,
    hedges_barred_until: Millis,
    repeats_told_at: Millis,
    next_call: CallId,
    /// Generation by which the keys of all calls were looked up.
    keys_checked: u64,
    denials_logged: LogRateLimit,
    /// Totals since the start.
    pub counts: CallCounts,
}

impl Calls {
    /// The outbound side of a sidecar whose upstream belongs to `service`.
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
            // Both are drawn at the start; nothing is secret about either.
            clock: seed as u32,
            random: fastrand::Rng::with_seed(seed),
            calls: BTreeMap::new(),
            by_origin: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: BTreeSet::new(),
            hedging: true,
            hedges_due: BTreeSet::new(),
            hedges_barred_until: 0,
            repeats_told_at: 0,
            next_call: 1,
            keys_checked: 0,
            denials_logged: LogRateLimit::new(DENIALS_LOGGED_A_SECOND),
            counts: CallCounts::default(),
        }
    }

    /// The same with what the inbound side knows of requests that may crash upstreams.
    pub fn with_poison_watch(self, poison: PoisonWatch) -> Self {
        Calls { poison, ..self }
    }

    /// Switches hedged second tries on or off.
    pub fn set_hedging(&mut self, hedging: bool) {
        self.hedging = hedging;
    }

    /// Calls without a final answer.
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.quota.waiting()
    }

    /// When the oldest call without a final answer came.
    pub fn oldest_arrival(&self) -> Option<Millis> {
        self.calls.first_key_value().map(|(_, call)| call.arrived)
    }

    /// Takes in a call of a caller.
    pub fn begin(
        &mut self,
        origin: Origin,
        request: Request,
        config: &Config,
        now: Millis,
    ) -> Vec<CallAction> {
        self.begin_from(Initiator::Caller, origin, request, config, now)
    }

    /// Takes in a call.
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
        self.begin_with(Credit::Wanted, call, config, now)
    }

    /// Takes in a call, or goes on with one that waited for a credit.
    fn begin_with(
        &mut self,
        credit: Credit,
        call: WaitingCall,
        config: &Config,
        now: Millis,
    ) -> Vec<CallAction> {
        let WaitingCall { initiator, origin, request, arrived } = call;
        let attempt_id = request.headers.text(self.names.attempt_id).unwrap_or("-").to_owned();
        let Some(routing) = config.routing() else {
            // It comes back when there is a configuration, and can still be in time then; one that
            // waited would be late, with a slot in its hands that another needs.
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
        let shown = request.headers.all(self.names.api_key);
        let holder = match config.tenant_of_call(route.keyless, shown) {
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
        let told = request.headers.number(self.names.deadline_ms).unwrap_or(timeout);
        let urgency = urgency_of(route, holder.as_ref());
        let standing = self.poison.standing(&service, &request, now);
        if let RequestStatus::Quarantined { left_ms } = standing {
            self.return_credit(holder.as_ref(), now);
            return vec![self.refuse_quarantined(origin, &attempt_id, &route.name, left_ms)];
        }
        // Held back, the run that waits for it would have held its slot in vain.
        let held_back = match initiator {
            Initiator::Caller => self.hold_back(&route.name, &service, urgency, now),
            Initiator::LocalRun | Initiator::RepeatedRun => None,
        };
        if let Some(held_back) = held_back {
            let HeldBack { reason, part, retry_after_ms } = held_back;
            self.return_credit(holder.as_ref(), now);
            info!(
                id = %attempt_id, route = %route.name, %service, reason, part = %format_args!("{part:.2}"),
                retry_after_ms, verdict = "not-run", "call_refused"
            );
            self.counts.refused += 1;
            self.metrics.note_end(&route.name, CallOutcome::HeldBack, 0);
            return vec![refusal(origin, retry_after_ms)];
        }
        self.note_asked(initiator, &service, now);
        let track = self.draw_track(&service);
        let call = Call {
            origin,
            request: Rc::new(self.prepared(request, holder.as_ref())),
            attempt_id,
            route: route.name.clone(),
            holder,
            key_change: None,
            route_rank: route.rank,
            repeatable: route.repeatable,
            rank: urgency.rank,
            most_arrivals: route.attempts.max(1),
            target_ms: urgency.target_ms,
            service,
            track,
            suspect: standing == RequestStatus::Suspect,
            begun: initiator != Initiator::Caller,
            arrived,
            told_ms: told,
            deadline: arrived + told.min(timeout),
            tries: 0,
            arrivals: 0,
            current: None,
            hedge: None,
            hedge_at: None,
            tried: Vec::new(),
            trail: Vec::new(),
            parked_until: None,
            room_at: None,
            fallback: None,
        };
        let id = self.add(call);
        self.place(id, now)
    }

    /// The answer to a call whose like crash their upstreams: it has not run. Its caller is told a
    /// time beyond the quarantine, which invites nobody to repeat it now.
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

    /// The answer to a call whose route is not known: that there is none, if what is held is known
    /// to be the newest; a newer generation may have it otherwise.
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

    /// Whether a new call is refused here, because its like fail or are not answered in time.
    fn hold_back(
        &mut self,
        route: &str,
        service: &str,
        urgency: Urgency,
        now: Millis,
    ) -> Option<HeldBack> {
        let part = 1.0 - self.throttle.admitted(route, now);
        if self.random.f64() < part {
            let retry_after_ms = THROTTLED_RETRY_AFTER_MS;
            return Some(HeldBack { reason: "like_calls_fail", part, retry_after_ms });
        }
        let part = self.pressure.shed_probability(service, urgency, now);
        if part > 0.0 && self.has_room(service, now) {
            return None;
        }
        if self.random.f64() < part {
            self.pressure.note(service, urgency, CallEnd::Shed, now);
            let retry_after_ms = self.random.u64(PRESSED_RETRY_AFTER_MS);
            return Some(HeldBack { reason: "like_calls_are_late", part, retry_after_ms });
        }
        None
    }

    /// Whether upstreams of a service are known to have room. What few calls of this node became
    /// tells less than what all of its upstreams tell of themselves.
    fn has_room(&self, service: &str, now: Millis) -> bool {
        self.view.free_slot_fraction(service, now).is_some_and(|free| free >= ROOM_PART)
    }

    /// Takes down how a call ended.
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

/// The place of a tenant's calls on a route among those that wait for an upstream.
fn urgency_of(route: &bundle::Route, holder: Option<&KeyHolder>) -> Urgency {
    let target_ms = match route.target_latency_ms {
        0 => route.timeout_ms,
        target => target,
    };
    let rank = combined_rank(holder.and_then(|holder| holder.tenant.rank), route.rank);
    Urgency { rank, target_ms: u64::from(target_ms) }
}

fn refusal(origin: Origin, retry_after_ms: u64) -> CallAction {
    let bounded = retry_after_ms.clamp(SHORTEST_RETRY_AFTER_MS, LONGEST_RETRY_AFTER_MS);
    let seconds = format!("{:.3}", bounded as f64 / 1_000.0);
    let response = Response::empty(503).with_header("Retry-After", seconds);
    CallAction::Answer { origin, response }
}
