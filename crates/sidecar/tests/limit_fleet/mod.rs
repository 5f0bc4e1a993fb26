//! Simulation in virtual time of sidecars whose upstreams state limits, and that they are leaving, in
//! their answers: the real outbound and inbound sides with delayed messages, restarts and freezes.

use crate::common::{bundle, HOST, NAMES, SERVICE, TIMEOUT_MS};
use bundle::best_update;
use fastrand::Rng;
use http1::{Answer, ExchangeError, Headers, Request, Response};
use mesh::{
    CallRate, HopReply, HopRequest, InstanceRecord, InstanceState, NodeAddress, NodeRecord,
};
use placement::{BudgetBounds, Locality};
use sidecar::{
    Attempt, AttemptEnd, CallAction, CallMetrics, Calls, Config, ConnectionId, JobAction,
    JobMetrics, Jobs, LogSample, Origin, Source, UpstreamEnd, UpstreamStatement,
};
use soak::{Call, CallOutcome, Fault, FaultKind, LimitStatement, PassedOn, Record, Run};
use statements::RateStatement;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use telemetry::Registry;

pub const DRAIN_MS: u64 = 2_000;
const PORT: u16 = 8_300;
const SLOTS: u32 = 18;
/// Longest time between two messages of the same calls arriving, milliseconds.
const HOP_MS: std::ops::Range<u64> = 1..4;
const WORK_MS: std::ops::Range<u64> = 20..160;
/// One in this many runs takes much longer, so that its answer is overtaken by many others.
const SLOW_ODDS: u32 = 25;
const SLOW_MS: std::ops::Range<u64> = 300..1_500;
/// From a change at the sidecar beside an upstream until senders have its record.
const RECORD_MS: std::ops::Range<u64> = 30..200;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// From the start of a sidecar until its upstream's next heartbeat has arrived.
const HEARTBEAT_MS: std::ops::Range<u64> = 10..400;

/// What the simulated code leaves out, so that the checks can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Whole,
    /// The sidecar beside an upstream reads no statement.
    Unread,
    /// Senders do not tell the limit that they know, so a restarted sidecar has forgotten it.
    ForgottenAtRestart,
    /// Senders forget that an upstream is leaving.
    LeavingForgotten,
}

/// Parameters of a history.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub variant: Variant,
    pub duration_ms: u64,
    pub upstreams: usize,
    pub callers: usize,
    /// Calls per second of the whole fleet.
    pub calls_per_s: f64,
    /// Limits of the upstreams from the start.
    pub limits: Vec<Option<f64>>,
    pub disruptions: Disruptions,
}

/// What happens to the machines of a history; times are means between two events, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruptions {
    None,
    /// Sidecars restart.
    Restarts {
        every_ms: u64,
    },
    /// Sidecars restart and freeze, upstreams change what they state, and are replaced.
    All {
        every_ms: u64,
    },
}

impl Disruptions {
    fn every_ms(self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::Restarts { every_ms } | Self::All { every_ms } => Some(every_ms),
        }
    }
}

/// What became of the calls of a history.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub record: Record,
    /// Time until each answered call was answered.
    pub answered_ms: Vec<u64>,
    /// Time until each refused call was refused, and the time after which to retry.
    pub refused: Vec<(u64, u64)>,
    /// Offers that an upstream's sidecar refused.
    pub refused_offers: usize,
    /// Calls that returned as told after a refusal, and how many of them were refused again.
    pub returned: usize,
    pub refused_again: usize,
}

type Millis = u64;

/// One machine: a sidecar, and for the first ones an upstream beside it.
struct Node {
    address: NodeAddress,
    boot: u64,
    calls: Calls,
    config: Config,
    jobs: Jobs,
    /// Until when it is down or frozen.
    absent_until: Millis,
    record_sequence: u64,
    /// Who waits for a reply, by the slot of the request.
    sources: BTreeMap<u64, (usize, u64, Attempt)>,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    id: u64,
    machine: usize,
    sent: Millis,
    deadline: Millis,
    /// Whether its caller was refused before.
    returned: bool,
}

/// An upstream of the stand-in.
#[derive(Clone, Debug)]
struct Upstream {
    incarnation: u64,
    heartbeat: u64,
    limit: Option<f64>,
    /// The limit that the record holds for this incarnation.
    recorded_limit: Option<f64>,
    leaving: bool,
}

#[derive(Debug)]
enum Event {
    Call,
    /// A caller that was refused returns.
    Return {
        node: usize,
        deadline: Millis,
    },
    Disruption,
    Hop {
        to: usize,
        from: usize,
        boot: u64,
        attempt: Attempt,
        hop: HopRequest,
        request: Rc<Request>,
    },
    Cancel {
        to: usize,
        from: usize,
        attempt: Attempt,
    },
    Reply {
        to: usize,
        boot: u64,
        attempt: Attempt,
        reply: HopReply,
        response: Response,
    },
    Lost {
        to: usize,
        boot: u64,
        attempt: Attempt,
    },
    Answer {
        node: usize,
        boot: u64,
        job: u64,
        response: Response,
    },
    Work {
        node: usize,
        boot: u64,
        job: u64,
        incarnation: u64,
        id: Vec<u8>,
    },
    Heartbeat {
        node: usize,
        boot: u64,
    },
    Record {
        to: usize,
        boot: u64,
        record: NodeRecord,
    },
}

pub struct Simulation {
    plan: Plan,
    random: Rng,
    now: Millis,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    next_slot: u64,
    next_call: u64,
    /// Open calls by slot of their origin.
    open: BTreeMap<u64, OpenCall>,
    outcome: Outcome,
}

fn new_calls(address: NodeAddress, seed: u64) -> Calls {
    let locality = Locality::new(address, "zone-a");
    let metrics = CallMetrics::new(&Registry::default());
    let bounds = BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
    let sample = LogSample::new(u64::MAX);
    Calls::new(NAMES, SERVICE, locality, bounds, sample, metrics, seed)
}

fn new_jobs() -> Jobs {
    let metrics = JobMetrics::new(&Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, DRAIN_MS, None, LogSample::new(u64::MAX), metrics);
    jobs.set_cold_rate(None, 0);
    jobs
}

fn new_config(now: Millis) -> Config {
    let mut config = Config::default();
    assert!(config.apply(1, &best_update(None, &bundle())));
    config.freshness.note(now, 1);
    config
}

fn id_of(incarnation: u64) -> String {
    format!("i-{incarnation}")
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let mut random = Rng::with_seed(plan.seed);
        let count = plan.upstreams + plan.callers;
        let nodes = (0..count)
            .map(|index| {
                let ip = Ipv4Addr::new(10, 0, 0, index as u8 + 1);
                let address = NodeAddress { ip, port: PORT };
                Node {
                    address,
                    boot: 1,
                    calls: new_calls(address, random.u64(..)),
                    config: new_config(0),
                    jobs: new_jobs(),
                    absent_until: 0,
                    record_sequence: 0,
                    sources: BTreeMap::new(),
                }
            })
            .collect();
        let upstreams = (0..plan.upstreams)
            .map(|index| Upstream {
                incarnation: index as u64 * 1_000 + 1,
                heartbeat: 0,
                limit: None,
                recorded_limit: None,
                leaving: false,
            })
            .collect();
        let mut simulation = Simulation {
            plan,
            random,
            now: 0,
            nodes,
            upstreams,
            events: BTreeMap::new(),
            next_event: 0,
            next_slot: 0,
            next_call: 0,
            open: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for node in 0..simulation.plan.upstreams {
            simulation.heartbeat(node);
        }
        simulation.schedule(500, Event::Call);
        if simulation.plan.disruptions != Disruptions::None {
            simulation.schedule(1_000, Event::Disruption);
        }
        for node in 0..simulation.plan.limits.len() {
            let limit = simulation.plan.limits[node];
            simulation.state_limit(node, limit);
        }
        simulation
    }

    /// Plays the history to its end.
    pub fn run(mut self) -> Outcome {
        while self.now < self.plan.duration_ms {
            while let Some(entry) =
                self.events.first_entry().filter(|next| next.key().0 <= self.now)
            {
                let event = entry.remove();
                self.handle(event);
            }
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.now += 1;
        }
        self.outcome
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + delay, self.next_event), event);
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.u64(range)
    }

    fn is_absent(&self, node: usize) -> bool {
        self.now < self.nodes[node].absent_until
    }

    /// Delivers a message again once a frozen or restarting node runs.
    fn delay_if_absent(&mut self, node: usize, event: Event) -> Option<Event> {
        if !self.is_absent(node) {
            return Some(event);
        }
        let delay = self.nodes[node].absent_until - self.now;
        self.schedule(delay, event);
        None
    }

    fn tick(&mut self, node: usize) {
        if self.is_absent(node) {
            return;
        }
        let now = self.now;
        if self.nodes[node].jobs.next_tick(now).is_some_and(|due| due <= now) {
            let actions = self.nodes[node].jobs.tick(now);
            self.do_jobs(node, actions);
        }
        if self.nodes[node].calls.next_tick(now).is_some_and(|due| due <= now) {
            let actions = self.nodes[node].calls.tick(now);
            self.do_calls(node, actions);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call => self.start_call(),
            Event::Return { node, deadline } => {
                self.outcome.returned += 1;
                self.send_call(node, deadline, true);
            }
            Event::Disruption => self.disrupt(),
            Event::Hop { to, .. } => {
                if let Some(event) = self.delay_if_absent(to, event) {
                    self.on_hop(event);
                }
            }
            Event::Cancel { to, from, attempt } => self.on_cancel(to, from, attempt),
            Event::Reply { to, .. } | Event::Lost { to, .. } => {
                if let Some(event) = self.delay_if_absent(to, event) {
                    self.on_reply(event);
                }
            }
            Event::Work { node, boot, job, incarnation, id } => {
                self.on_work_done(node, boot, job, incarnation, &id);
            }
            Event::Answer { node, .. } => {
                if let Some(event) = self.delay_if_absent(node, event) {
                    self.on_answer(event);
                }
            }
            Event::Heartbeat { node, boot } => {
                let event = Event::Heartbeat { node, boot };
                if self.nodes[node].boot == boot && self.delay_if_absent(node, event).is_some() {
                    self.heartbeat(node);
                }
            }
            Event::Record { to, boot, record } => {
                if self.nodes[to].boot == boot {
                    let now = self.now;
                    self.nodes[to].calls.view.update(record, now);
                }
            }
        }
    }

    fn start_call(&mut self) {
        let mean_ms = 1_000.0 / self.plan.calls_per_s;
        let pause = (-self.random.f64().max(1e-9).ln() * mean_ms).round() as u64;
        self.schedule(pause, Event::Call);
        let first_caller = if self.plan.callers == 0 { 0 } else { self.plan.upstreams };
        let node = self.random.usize(first_caller..self.nodes.len());
        self.send_call(node, self.now + TIMEOUT_MS, false);
    }

    fn send_call(&mut self, node: usize, deadline: Millis, returned: bool) {
        if self.is_absent(node) {
            return;
        }
        self.next_call += 1;
        self.next_slot += 1;
        let (id, slot, now) = (self.next_call, self.next_slot, self.now);
        let mut headers = Headers::default();
        headers.push("Host", HOST);
        headers.push(NAMES.attempt_id, id.to_string());
        headers.push(NAMES.deadline_ms, deadline.saturating_sub(now).to_string());
        let target = "/safe/x".to_owned();
        let request =
            Request { method: "GET".to_owned(), target, headers, body: bytes::Bytes::new() };
        let origin = Origin { connection: ConnectionId::for_tests(node as u64), slot };
        let call = OpenCall { id, machine: node, sent: now, deadline, returned };
        self.open.insert(slot, call);
        let Node { calls, config, .. } = &mut self.nodes[node];
        config.freshness.note(now, 1);
        let actions = calls.begin(origin, request, config, now);
        self.do_calls(node, actions);
    }

    fn do_calls(&mut self, node: usize, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Send { attempt, to, request, mut hop, .. } => {
                    if self.plan.variant == Variant::ForgottenAtRestart {
                        hop.rate_limit = None;
                    }
                    let mut sent = (*request).clone();
                    sent.headers.push("x-chutecove-hop", hop.encode());
                    let hop = HopRequest::decode(&hop.encode()).expect("a valid hop header");
                    let to = self.index_of(to);
                    let delay = self.draw(HOP_MS);
                    let (from, boot) = (node, self.nodes[node].boot);
                    let request = Rc::new(sent);
                    self.schedule(delay, Event::Hop { to, from, boot, attempt, hop, request });
                }
                CallAction::Abort(attempt) => {
                    for to in 0..self.plan.upstreams {
                        let delay = self.draw(HOP_MS);
                        self.schedule(delay, Event::Cancel { to, from: node, attempt });
                    }
                }
                CallAction::Answer { origin, response } => self.finish(origin, &response),
            }
        }
    }

    fn index_of(&self, address: NodeAddress) -> usize {
        let found = self.nodes.iter().position(|node| node.address == address);
        found.expect("a known address")
    }

    fn finish(&mut self, origin: Origin, response: &Response) {
        let Some(OpenCall { id, machine, sent, deadline, returned }) =
            self.open.remove(&origin.slot)
        else {
            return;
        };
        let now = self.now;
        let status = response.status;
        self.outcome.record.calls.push(Call {
            id,
            machine: machine as u8,
            repeatable: true,
            version: None,
            sent,
            ended: now,
            outcome: CallOutcome::Answered { status, body_matches: true },
        });
        if status == 200 {
            self.outcome.answered_ms.push(now - sent);
        }
        if status == 503 {
            let seconds = response.headers.text("retry-after").and_then(|text| text.parse().ok());
            let retry_after_ms = (seconds.unwrap_or(0.0_f64) * 1_000.0) as u64;
            self.outcome.refused.push((now - sent, retry_after_ms));
            self.outcome.refused_again += usize::from(returned);
            // Callers heed the time up to a third of what they have left, and return once.
            if !returned && retry_after_ms <= deadline.saturating_sub(now) / 3 {
                self.schedule(retry_after_ms, Event::Return { node: machine, deadline });
            }
        }
        let number = |name| response.headers.number(name);
        let (Some(upstream), Some(incarnation)) = (number("x-machine"), number("x-incarnation"))
        else {
            return;
        };
        let limited = response.headers.get(NAMES.rate_limit).is_some();
        let leaving = response.headers.get(NAMES.leaving).is_some();
        if limited || leaving {
            self.outcome.record.passed_on.push(PassedOn {
                machine: machine as u8,
                upstream: upstream as u8,
                incarnation,
                at: now,
                limited,
                leaving,
            });
        }
    }

    fn on_hop(&mut self, event: Event) {
        let Event::Hop { to, from, boot, attempt, hop, request } = event else {
            return;
        };
        self.next_slot += 1;
        let (slot, now) = (self.next_slot, self.now);
        let node = &mut self.nodes[to];
        node.sources.insert(slot, (from, boot, attempt));
        let connection = ConnectionId::for_tests(1_000 + from as u64);
        let source = Source::Peer { connection, slot };
        let actions = node.jobs.begin(source, request, &hop, now);
        self.do_jobs(to, actions);
    }

    fn on_cancel(&mut self, to: usize, from: usize, attempt: Attempt) {
        let wanted = (from, self.nodes[from].boot, attempt);
        let node = &mut self.nodes[to];
        let slots: Vec<u64> = node
            .sources
            .iter()
            .filter(|(_, held)| **held == wanted)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in slots {
            let connection = ConnectionId::for_tests(1_000 + from as u64);
            let now = self.now;
            let node = &mut self.nodes[to];
            node.sources.remove(&slot);
            let actions = node.jobs.cancel(Source::Peer { connection, slot }, now);
            self.do_jobs(to, actions);
        }
    }

    fn do_jobs(&mut self, node: usize, actions: Vec<JobAction>) {
        for action in actions {
            match action {
                JobAction::Run { job, request } => self.run_at_upstream(node, job, &request),
                JobAction::Reply { source: Source::Peer { slot, .. }, reply, response } => {
                    self.send_reply(node, slot, reply, response);
                }
                JobAction::Probe { .. } => {
                    let now = self.now;
                    let actions = self.nodes[node].jobs.probed(true, now);
                    self.do_jobs(node, actions);
                }
                JobAction::Reply { .. } | JobAction::Abort(_) | JobAction::Grant { .. } => {}
            }
        }
    }

    fn send_reply(&mut self, node: usize, slot: u64, mut reply: HopReply, response: Response) {
        let Some((to, boot, attempt)) = self.nodes[node].sources.remove(&slot) else {
            return;
        };
        if self.plan.variant == Variant::LeavingForgotten {
            reply.upstream_leaving = false;
        }
        let reply = HopReply::decode(&reply.encode()).expect("a valid hop header");
        self.outcome.refused_offers += usize::from(reply.outcome == mesh::HopOutcome::Refused);
        let delay = self.draw(HOP_MS);
        self.schedule(delay, Event::Reply { to, boot, attempt, reply, response });
    }

    fn run_at_upstream(&mut self, node: usize, job: u64, request: &Request) {
        let incarnation = self.upstreams[node].incarnation;
        let boot = self.nodes[node].boot;
        let expected = request.headers.text(NAMES.expect_instance).map(str::to_owned);
        if expected.is_some_and(|id| id != id_of(incarnation)) {
            let response = Response::empty(421);
            self.schedule(1, Event::Answer { node, boot, job, response });
            return;
        }
        let call = request.headers.number(NAMES.attempt_id).expect("a call of this simulation");
        let run = Run { call, machine: node as u8, incarnation, at: self.now };
        self.outcome.record.runs.push(run);
        let work_ms = match self.random.u32(0..SLOW_ODDS) {
            0 => self.draw(SLOW_MS),
            _ => self.draw(WORK_MS),
        };
        let id = call.to_string().into_bytes();
        self.schedule(work_ms, Event::Work { node, boot, job, incarnation, id });
    }

    /// The upstream writes its answer, with what it states at this moment.
    fn on_work_done(&mut self, node: usize, boot: u64, job: u64, incarnation: u64, id: &[u8]) {
        let upstream = &self.upstreams[node];
        if self.nodes[node].boot != boot {
            return;
        }
        if upstream.incarnation != incarnation {
            let now = self.now;
            let end = UpstreamEnd::Failed(ExchangeError::NoAnswer);
            let actions = self.nodes[node].jobs.ended(job, end, now);
            self.do_jobs(node, actions);
            return;
        }
        if upstream.limit != upstream.recorded_limit {
            self.record_limit(node);
        }
        let upstream = &self.upstreams[node];
        let mut response = Response::empty(200)
            .with_header(NAMES.seal, "s")
            .with_header(NAMES.attempt_id, id.to_vec())
            .with_header("x-machine", node.to_string())
            .with_header("x-incarnation", incarnation.to_string());
        if let Some(per_s) = upstream.limit {
            response = response.with_header(NAMES.rate_limit, per_s.to_string());
        }
        if upstream.leaving {
            response = response.with_header(NAMES.leaving, "1");
        }
        // Answers on different connections overtake each other.
        let delay = self.draw(0..3);
        self.schedule(delay, Event::Answer { node, boot, job, response });
    }

    fn on_answer(&mut self, event: Event) {
        let Event::Answer { node, boot, job, response } = event else {
            return;
        };
        if self.nodes[node].boot != boot {
            return;
        }
        let now = self.now;
        let statement = statement_of(&response);
        if self.plan.variant != Variant::Unread {
            let actions = self.nodes[node].jobs.note_statement(job, statement, &response, now);
            self.do_jobs(node, actions);
        }
        let end = UpstreamEnd::Answered(Answer { response, reusable: true });
        let actions = self.nodes[node].jobs.ended(job, end, now);
        self.do_jobs(node, actions);
        if self.nodes[node].jobs.take_instance_changed() {
            self.nodes[node].jobs.refresh_limit(now);
            self.broadcast(node);
        }
    }

    fn on_reply(&mut self, event: Event) {
        let (to, boot, attempt, end) = match event {
            Event::Reply { to, boot, attempt, reply, response } => {
                (to, boot, attempt, AttemptEnd::Replied(reply, response))
            }
            Event::Lost { to, boot, attempt } => (to, boot, attempt, AttemptEnd::Lost),
            _ => return,
        };
        if self.nodes[to].boot == boot {
            let now = self.now;
            let actions = self.nodes[to].calls.ended(attempt, end, now);
            self.do_calls(to, actions);
        }
    }

    /// The upstream tells the sidecar beside it who it is.
    fn heartbeat(&mut self, node: usize) {
        let upstream = &mut self.upstreams[node];
        upstream.heartbeat += 1;
        let record = InstanceRecord {
            id: id_of(upstream.incarnation),
            version: String::new(),
            state: InstanceState::Ready,
            slots: SLOTS,
            cold_remaining_ms: 0,
            born_ms: upstream.incarnation,
        };
        let (sequence, now) = (upstream.heartbeat, self.now);
        let boot = self.nodes[node].boot;
        self.schedule(HEARTBEAT_INTERVAL_MS, Event::Heartbeat { node, boot });
        let jobs = &mut self.nodes[node].jobs;
        if jobs.gate.on_report(&record, sequence, now) {
            jobs.refresh_limit(now);
            self.broadcast(node);
        }
    }

    /// Coordinators tell all nodes the record of a sidecar.
    fn broadcast(&mut self, node: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        held.record_sequence += 1;
        let record = NodeRecord {
            address: held.address,
            boot_id: held.boot,
            sequence: held.record_sequence,
            zone: "zone-a".to_owned(),
            service: SERVICE.to_owned(),
            stopping: false,
            instance: held.jobs.gate.record(now),
        };
        for to in 0..self.nodes.len() {
            let delay = self.draw(RECORD_MS);
            let event = Event::Record { to, boot: self.nodes[to].boot, record: record.clone() };
            self.schedule(delay, event);
        }
    }

    fn state_limit(&mut self, node: usize, limit: Option<f64>) {
        let upstream = &mut self.upstreams[node];
        upstream.limit = limit;
        if is_looser(limit, upstream.recorded_limit) {
            self.record_limit(node);
        }
    }

    /// Records what an upstream states. A limit that is stricter than before counts from the first
    /// answer that states it, a looser one at once.
    fn record_limit(&mut self, node: usize) {
        let Upstream { incarnation, limit, .. } = self.upstreams[node];
        let (machine, at) = (node as u8, self.now);
        let statement = LimitStatement { machine, incarnation, at, per_s: limit };
        self.outcome.record.limits.push(statement);
        self.upstreams[node].recorded_limit = limit;
    }

    fn disrupt(&mut self) {
        let mean_ms = self.plan.disruptions.every_ms().expect("a history with disruptions");
        let pause = self.draw(1..mean_ms * 2);
        self.schedule(pause, Event::Disruption);
        let upstream = self.random.usize(..self.plan.upstreams);
        let any = self.random.usize(..self.nodes.len());
        if matches!(self.plan.disruptions, Disruptions::Restarts { .. }) {
            self.restart(any);
            return;
        }
        match self.random.u32(0..10) {
            0..=3 => {
                let limits =
                    [None, Some(0.0), Some(0.2), Some(2.0), Some(5.0), Some(13.3), Some(40.0)];
                let limit = limits[self.random.usize(..limits.len())];
                self.state_limit(upstream, limit);
            }
            4 | 5 => self.restart(upstream),
            6 => self.restart(any),
            7 => self.freeze(any),
            8 => self.upstreams[upstream].leaving = true,
            _ => self.replace_upstream(upstream),
        }
    }

    fn note_fault(&mut self, kind: FaultKind, node: usize, to: Millis) {
        let (machine, from) = (node as u8, self.now);
        self.outcome.record.faults.push(Fault { kind, machine, coordinators: false, from, to });
    }

    fn freeze(&mut self, node: usize) {
        if self.is_absent(node) {
            return;
        }
        let until = self.now + self.draw(50..2_500);
        self.nodes[node].absent_until = until;
        self.note_fault(FaultKind::Freeze, node, until);
    }

    /// A sidecar is killed and starts again; it knows nothing but what coordinators kept.
    fn restart(&mut self, node: usize) {
        if self.is_absent(node) {
            return;
        }
        let until = self.now + self.draw(20..900);
        self.note_fault(FaultKind::Kill, node, until);
        let (now, seed) = (self.now, self.random.u64(..));
        let known: Vec<NodeRecord> = (0..self.plan.upstreams)
            .filter_map(|held| self.nodes[node].calls.view.get(&self.nodes[held].address))
            .map(|upstream| upstream.record.clone())
            .collect();
        let last = self.nodes[node].jobs.gate.record(now);
        let held = &mut self.nodes[node];
        held.boot += 1;
        held.record_sequence = 0;
        held.absent_until = until;
        held.calls = new_calls(held.address, seed);
        held.jobs = new_jobs();
        for record in known {
            held.calls.view.update(record, until);
        }
        for (to, boot, attempt) in std::mem::take(&mut held.sources).into_values() {
            self.schedule(1, Event::Lost { to, boot, attempt });
        }
        self.open.retain(|_, call| call.machine != node);
        // Coordinators may have lost the record as well.
        let kept = self.random.bool();
        if let Some(last) = last.filter(|_| kept) {
            let held = &mut self.nodes[node];
            held.jobs.gate.restore(&last, true, until);
            held.jobs.refresh_limit(until);
            self.broadcast(node);
        }
        if node < self.plan.upstreams {
            let delay = until - now + self.draw(HEARTBEAT_MS);
            let boot = self.nodes[node].boot;
            self.schedule(delay, Event::Heartbeat { node, boot });
        }
    }

    /// An upstream ends, and another one starts at its address; its next heartbeat tells.
    fn replace_upstream(&mut self, node: usize) {
        let upstream = &mut self.upstreams[node];
        *upstream = Upstream {
            incarnation: upstream.incarnation + 1,
            heartbeat: 0,
            limit: None,
            recorded_limit: None,
            leaving: false,
        };
    }
}

fn is_looser(limit: Option<f64>, than: Option<f64>) -> bool {
    match (limit, than) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(limit), Some(than)) => limit > than,
    }
}

fn statement_of(response: &Response) -> UpstreamStatement {
    let rate = match response.headers.text(NAMES.rate_limit) {
        None => RateStatement::Unlimited,
        Some(text) => {
            text.parse::<CallRate>().map_or(RateStatement::Invalid, RateStatement::Limited)
        }
    };
    UpstreamStatement { rate, leaving: response.headers.get(NAMES.leaving).is_some() }
}
