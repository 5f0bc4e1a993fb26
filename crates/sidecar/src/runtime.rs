//! The loop of a sidecar: sockets to cores and back.

use crate::calls::{AttemptEnd, CallAction, Calls, Origin};
use crate::config::Config;
use crate::dialect::{HeaderNames, RegistrationCall, RegistrationDialect};
use crate::jobs::{JobAction, Jobs, Source, UpstreamEnd};
use crate::links::{LinkEvent, Links};
use crate::metrics::{Metrics, Snapshot};
use crate::net::{ConnectionId, Net, NetEvent};
use crate::pool::{Asked, Pool, PoolEnd};
use crate::registrar::Registrar;
use crate::sample::LogSample;
use crate::servers::{ServerKind, ServerTimes, Servers};
use crate::stop::{Activity, StopPhase, StopPlan};
use crate::{Attempt, Millis};
use admission::JobId;
use http1::{write_request, ExpectedId, Headers, Request, Response, ServerLimits, Slot};
use mesh::{
    HopReply, HopRequest, InstanceRecord, InstanceState, NodeAddress, NodeRecord, HOP_HEADER,
};
use placement::BudgetBounds;
use settings::SidecarSettings;
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use telemetry::{Clock, ReloadSignal, StopSignal};
use tracing::{info, warn};

const HOUSEKEEPING_MS: u64 = 50;
const RELOAD_LOOK_MS: u64 = 1_000;
const LINGER_LIMIT: Duration = Duration::from_secs(1);
/// Peers' connections rest this long before they are closed.
const PEER_IDLE_MS: u64 = 20_000;
/// Connections to the upstream rest this long; upstreams close them after some seconds.
const UPSTREAM_IDLE_MS: u64 = 4_000;
const OWN_HEADER_BYTES: usize = 64 * 1024;
const OWN_BODY_BYTES: u64 = 64 * 1024 * 1024;
const OWN_HEADER_MS: u64 = 10_000;
const OWN_IDLE_MS: u64 = 60_000;
/// How long the upstream's messages wait for what coordinators know of an earlier life, ms.
const RESTORE_WAIT_MS: u64 = 800;

/// A sidecar could not start.
#[derive(Debug, Snafu)]
pub enum SidecarError {
    /// The poll could not be made.
    #[snafu(display("cannot make a poll: {source}"))]
    Poll {
        /// Cause.
        source: io::Error,
    },
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

enum Work {
    Call(CallAction),
    Job(JobAction),
}

struct WaitingRegistration {
    connection: ConnectionId,
    slot: Slot,
    call: RegistrationCall,
}

struct Sidecar {
    settings: SidecarSettings,
    settings_path: Option<PathBuf>,
    settings_modified: Option<SystemTime>,
    names: HeaderNames,
    dialect: Box<dyn RegistrationDialect>,
    own: NodeAddress,
    clock: Clock,
    net: Net,
    listeners: Vec<ServerKind>,
    servers: Servers,
    peers: Pool<Attempt>,
    upstream: Pool<JobId>,
    links: Links,
    registrar: Registrar,
    waiting_registrations: Vec<WaitingRegistration>,
    config: Config,
    calls: Calls,
    jobs: Jobs,
    work: VecDeque<Work>,
    metrics: Metrics,
    stop: StopPlan,
    last_request: Millis,
    next_housekeeping: Millis,
    next_reload_look: Millis,
}

/// Runs a sidecar until it is asked to stop. `settings_path` is read again when it changes.
pub fn run(
    settings: SidecarSettings,
    settings_path: Option<PathBuf>,
    names: HeaderNames,
    dialect: Box<dyn RegistrationDialect>,
    stop: &StopSignal,
    reload: &ReloadSignal,
) -> Result<(), SidecarError> {
    let mut sidecar = Sidecar::start(settings, settings_path, names, dialect)?;
    while !sidecar.is_over(stop) {
        sidecar.turn(reload);
    }
    info!("sidecar_stopped");
    Ok(())
}

impl Sidecar {
    fn start(
        settings: SidecarSettings,
        settings_path: Option<PathBuf>,
        names: HeaderNames,
        dialect: Box<dyn RegistrationDialect>,
    ) -> Result<Self, SidecarError> {
        let mut net = Net::new().context(PollSnafu)?;
        let listen = [
            (settings.outbound_listen, ServerKind::Caller),
            (settings.inbound_listen, ServerKind::Peer),
            (settings.registration_listen, ServerKind::Registration),
            (settings.ready_listen, ServerKind::Ready),
            (settings.metrics_listen, ServerKind::Metrics),
        ];
        let mut listeners = Vec::new();
        for (address, kind) in listen {
            let address = SocketAddr::from(address);
            net.listen(address).context(ListenSnafu { address })?;
            listeners.push(kind);
        }
        let own = NodeAddress::from(settings.inbound_listen);
        let record = NodeRecord {
            address: own,
            life: fastrand::u64(..),
            sequence: 0,
            zone: settings.zone.clone(),
            service: settings.service.clone(),
            stopping: false,
            instance: None,
        };
        let seeds = seed_addresses(&settings);
        let seed = fastrand::u64(..);
        let links = Links::new(&settings.fleet, settings.mesh_port, seeds, record, seed);
        let bounds = BudgetBounds {
            ratio: settings.retry_budget.ratio,
            slack: settings.retry_budget.slack,
            window_ms: settings.retry_budget.window_s * 1_000,
        };
        let sample = LogSample::new(settings.log_sample);
        let calls = Calls::new(names, &settings.service, &settings.zone, bounds, sample, seed);
        let jobs = Jobs::new(names, &settings.service, settings.drain_ms, sample);
        info!(name = %settings.name, %own, service = %settings.service, "sidecar_started");
        warn!("connections between processes are plain: settings say plain_transport");
        Ok(Sidecar {
            stop: StopPlan::new(settings.stop_ms),
            settings_modified: modified(settings_path.as_ref()),
            settings,
            settings_path,
            names,
            dialect,
            own,
            clock: Clock::default(),
            net,
            listeners,
            servers: Servers::default(),
            peers: Pool::new(PEER_IDLE_MS / 2),
            upstream: Pool::new(UPSTREAM_IDLE_MS),
            links,
            registrar: Registrar::default(),
            waiting_registrations: Vec::new(),
            config: Config::default(),
            calls,
            jobs,
            work: VecDeque::new(),
            metrics: Metrics::new(),
            last_request: 0,
            next_housekeeping: 0,
            next_reload_look: RELOAD_LOOK_MS,
        })
    }

    fn now(&self) -> Millis {
        self.clock.now_ms()
    }

    /// One turn of the loop: waits for events, handles them, and does what is due.
    fn turn(&mut self, reload: &ReloadSignal) {
        let wait = self.next_due().saturating_sub(self.now());
        let events = self.net.poll(Duration::from_millis(wait));
        for event in events {
            self.on_event(event);
            self.do_work();
        }
        let now = self.now();
        let ended = self.calls.tick(now);
        self.work.extend(ended.into_iter().map(Work::Call));
        let ended = self.jobs.tick(now);
        self.work.extend(ended.into_iter().map(Work::Job));
        self.do_work();
        self.acknowledge();
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_MS;
            self.keep_house(now);
        }
        if reload.take() || now >= self.next_reload_look {
            self.next_reload_look = now + RELOAD_LOOK_MS;
            self.reload_settings();
        }
    }

    fn next_due(&self) -> Millis {
        let now = self.now();
        let dues = [
            self.calls.next_tick(now),
            self.jobs.next_tick(),
            self.registrar.next_tick(),
            Some(self.next_housekeeping),
        ];
        dues.into_iter().flatten().min().unwrap_or(now)
    }

    fn on_event(&mut self, event: NetEvent) {
        let now = self.now();
        let id = match &event {
            NetEvent::Accepted { listener, connection } => {
                self.servers.accepted(*connection, self.listeners[*listener], now);
                return;
            }
            NetEvent::Opened(id) | NetEvent::NotOpened(id) | NetEvent::Received(id) => *id,
            NetEvent::Ended(id, _) => *id,
        };
        if let Some(kind) = self.servers.kind(id) {
            self.on_server_event(kind, id, &event, now);
        } else if self.peers.holds(id) {
            if let Some((attempt, end)) = self.peers.on_event(&mut self.net, &event, now) {
                self.peer_ended(attempt, end, now);
            }
        } else if self.upstream.holds(id) {
            if let Some((job, end)) = self.upstream.on_event(&mut self.net, &event, now) {
                self.upstream_ended(job, end, now);
            }
        } else if self.links.holds(id) {
            let news = self.links.on_event(&mut self.net, &event, now);
            for news in news {
                self.on_news(news, now);
            }
        } else if matches!(event, NetEvent::Ended(..)) {
            self.net.close(id);
        }
    }

    fn on_server_event(
        &mut self,
        kind: ServerKind,
        id: ConnectionId,
        event: &NetEvent,
        now: Millis,
    ) {
        if let NetEvent::Ended(..) = event {
            self.servers.ended(&mut self.net, id);
            match kind {
                ServerKind::Caller => {
                    let actions = self.calls.connection_ended(id);
                    self.work.extend(actions.into_iter().map(Work::Call));
                }
                ServerKind::Peer => {
                    let actions = self.jobs.connection_ended(id, now);
                    self.work.extend(actions.into_iter().map(Work::Job));
                }
                _ => {}
            }
            return;
        }
        self.take_requests(kind, id, now);
    }

    fn take_requests(&mut self, kind: ServerKind, id: ConnectionId, now: Millis) {
        let limits = self.server_limits(kind);
        let requests = self.servers.received(&mut self.net, id, limits, now);
        for (slot, request) in requests {
            match kind {
                ServerKind::Caller => {
                    self.last_request = now;
                    let origin = Origin { connection: id, slot };
                    if self.stop.refuses(now) {
                        let after_ms = self.stop.retry_after_ms();
                        let action = self.calls.refuse_stopping(origin, &request, after_ms);
                        self.work.push_back(Work::Call(action));
                        continue;
                    }
                    let actions = self.calls.begin(origin, request, &self.config, now);
                    self.work.extend(actions.into_iter().map(Work::Call));
                }
                ServerKind::Peer => self.on_peer_request(id, slot, request, now),
                ServerKind::Registration => self.on_registration(id, slot, &request, now),
                ServerKind::Ready => {
                    let ready = request.path() == self.dialect.ready_path() && self.is_ready();
                    let status = if ready { 200 } else { 503 };
                    self.answer(id, slot, Response::empty(status), now);
                }
                ServerKind::Metrics => {
                    let response = self.metrics_response(request.path());
                    self.answer(id, slot, response, now);
                }
            }
        }
    }

    fn server_limits(&self, kind: ServerKind) -> ServerLimits {
        match kind {
            ServerKind::Caller => ServerLimits {
                header_bytes: self.config.limits().header_bytes as usize,
                body_bytes: u64::from(self.config.limits().body_bytes),
            },
            _ => ServerLimits { header_bytes: OWN_HEADER_BYTES, body_bytes: OWN_BODY_BYTES },
        }
    }

    fn answer(&mut self, id: ConnectionId, slot: Slot, response: Response, now: Millis) {
        let close = self.stop.has_begun();
        self.servers.answer(&mut self.net, id, slot, response, close, now);
    }

    fn is_ready(&self) -> bool {
        let configured = self.config.routing().is_some();
        configured && self.links.is_welcomed() && !self.stop.has_begun()
    }

    fn metrics_response(&self, path: &str) -> Response {
        if path != "/metrics" {
            return Response::empty(404);
        }
        let (running, queued) = self.jobs.load();
        let snapshot = Snapshot {
            calls: self.calls.counts,
            in_flight: self.calls.in_flight(),
            running,
            queued,
            generation: self.config.generation(),
            nodes: self.calls.view.nodes(),
            connections: self.net.connections(),
        };
        Response::text(200, &self.metrics.encode(&snapshot))
    }

    fn on_peer_request(&mut self, id: ConnectionId, slot: Slot, request: Request, now: Millis) {
        self.last_request = now;
        let hop = request.headers.text(HOP_HEADER).and_then(HopRequest::decode);
        let Some(hop) = hop else {
            self.answer(id, slot, Response::empty(421), now);
            return;
        };
        let source = Source::Peer { connection: id, slot };
        let actions = self.jobs.begin(source, Rc::new(request), &hop, now);
        self.work.extend(actions.into_iter().map(Work::Job));
    }

    fn do_work(&mut self) {
        while let Some(work) = self.work.pop_front() {
            let now = self.now();
            match work {
                Work::Call(action) => self.do_call_action(action, now),
                Work::Job(action) => self.do_job_action(action, now),
            }
        }
    }

    fn do_call_action(&mut self, action: CallAction, now: Millis) {
        match action {
            CallAction::Send { attempt, to, request, hop } if to == self.own => {
                let source = Source::Local(attempt);
                let actions = self.jobs.begin(source, request, &hop, now);
                self.work.extend(actions.into_iter().map(Work::Job));
            }
            CallAction::Send { attempt, to, request, hop } => {
                let mut headers = request.headers.clone();
                headers.push(HOP_HEADER, hop.encode());
                let asked = self.asked(&request, &headers);
                let address = SocketAddr::from(to);
                if let Some(end) = self.peers.ask(&mut self.net, address, attempt, asked, now) {
                    self.peer_ended(attempt, end, now);
                }
            }
            CallAction::Answer { origin, response } => {
                self.answer(origin.connection, origin.slot, response, now);
                // Requests may have been held back behind this one.
                self.take_requests(ServerKind::Caller, origin.connection, now);
            }
            CallAction::Abort(attempt) => {
                self.peers.abort(&mut self.net, attempt);
                let actions = self.jobs.cancel(Source::Local(attempt), now);
                self.work.extend(actions.into_iter().map(Work::Job));
            }
        }
    }

    fn asked(&self, request: &Request, headers: &Headers) -> Asked {
        let mut bytes = Vec::with_capacity(request.body.len() + 512);
        write_request(&mut bytes, &request.method, &request.target, headers, &request.body);
        let id = request.headers.get(self.names.attempt_id);
        let header = self.names.attempt_id.to_owned();
        let expected = id.map(|value| ExpectedId { header, value: value.to_vec() });
        Asked { method: request.method.clone(), bytes, expected }
    }

    fn do_job_action(&mut self, action: JobAction, now: Millis) {
        match action {
            JobAction::Run { job, mut request } => {
                request.headers.remove_connection_headers();
                let asked = self.asked(&request, &request.headers);
                let address = SocketAddr::from(self.settings.upstream);
                if let Some(end) = self.upstream.ask(&mut self.net, address, job, asked, now) {
                    self.upstream_ended(job, end, now);
                }
            }
            JobAction::Abort(job) => self.upstream.abort(&mut self.net, job),
            JobAction::Reply { source: Source::Local(attempt), reply, response } => {
                let end = AttemptEnd::Replied(reply, response);
                let actions = self.calls.ended(attempt, end, now);
                self.work.extend(actions.into_iter().map(Work::Call));
            }
            JobAction::Reply { source: Source::Peer { connection, slot }, reply, response } => {
                let response = response.with_header(HOP_HEADER, reply.encode());
                self.answer(connection, slot, response, now);
            }
        }
    }

    fn peer_ended(&mut self, attempt: Attempt, end: PoolEnd, now: Millis) {
        let end = match end {
            PoolEnd::NotSent => AttemptEnd::NotSent,
            PoolEnd::Failed(_) => AttemptEnd::Lost,
            PoolEnd::Answered(answer) => {
                let mut response = answer.response;
                let reply = response.headers.text(HOP_HEADER).and_then(HopReply::decode);
                response.headers.remove(HOP_HEADER);
                reply.map_or(AttemptEnd::Lost, |reply| AttemptEnd::Replied(reply, response))
            }
        };
        let actions = self.calls.ended(attempt, end, now);
        self.work.extend(actions.into_iter().map(Work::Call));
    }

    fn upstream_ended(&mut self, job: JobId, end: PoolEnd, now: Millis) {
        let end = match end {
            PoolEnd::NotSent => UpstreamEnd::NotSent,
            PoolEnd::Answered(answer) => UpstreamEnd::Answered(answer),
            PoolEnd::Failed(error) => UpstreamEnd::Failed(error),
        };
        let actions = self.jobs.ended(job, end, now);
        self.work.extend(actions.into_iter().map(Work::Job));
    }

    fn on_news(&mut self, news: LinkEvent, now: Millis) {
        match news {
            LinkEvent::Welcome(last) => {
                self.restore(last, now);
                self.take_waiting_registrations(now);
            }
            LinkEvent::Config { generation, update } => {
                if self.config.apply(generation, &update) {
                    let actions = self.calls.configured(&self.config, now);
                    self.work.extend(actions.into_iter().map(Work::Call));
                }
                let (generation, digest) = (self.config.generation(), self.config.digest());
                self.links.applied(&mut self.net, generation, digest, now);
            }
            LinkEvent::Node(record) => {
                self.calls.view.update(record, now);
            }
            LinkEvent::Gone => {
                let links = &self.links;
                let own = self.own;
                let is_listed = |node: &NodeAddress| *node == own || links.is_listed(node, now);
                self.calls.view.retain(is_listed, now);
            }
        }
        let (generation, digest) = (self.config.generation(), self.config.digest());
        self.links.want_config(&mut self.net, generation, digest, now);
    }

    /// Takes over what an earlier life of this sidecar knew of its upstream.
    fn restore(&mut self, last: Option<NodeRecord>, now: Millis) {
        let own_service = last.filter(|last| last.service == self.settings.service);
        let Some(instance) = own_service.and_then(|last| last.instance) else {
            return;
        };
        self.jobs.gate.restore(&instance, now);
        self.jobs.refresh_limit();
        info!(instance = %instance.id, state = instance.state.as_str(), "instance_restored");
        self.report_instance(now);
    }

    fn report_instance(&mut self, now: Millis) -> u64 {
        let instance = self.jobs.gate.record(now);
        let sequence = self.links.report(&mut self.net, |record| record.instance = instance, now);
        let record = self.links.record().clone();
        self.calls.view.update(record, now);
        sequence
    }

    fn on_registration(&mut self, id: ConnectionId, slot: Slot, request: &Request, now: Millis) {
        let call = self.dialect.read(&request.method, &request.target, &request.body);
        match call {
            None => self.answer(id, slot, Response::empty(404), now),
            Some(RegistrationCall::Unreadable { reason }) => {
                warn!(%reason, "registration_unreadable");
                self.answer(id, slot, Response::text(400, &reason), now);
            }
            Some(call) if !self.links.is_welcomed() && now < RESTORE_WAIT_MS => {
                let waiting = WaitingRegistration { connection: id, slot, call };
                self.waiting_registrations.push(waiting);
            }
            Some(call) => self.register(id, slot, call, now),
        }
    }

    fn take_waiting_registrations(&mut self, now: Millis) {
        for waiting in std::mem::take(&mut self.waiting_registrations) {
            self.register(waiting.connection, waiting.slot, waiting.call, now);
        }
    }

    fn register(&mut self, id: ConnectionId, slot: Slot, call: RegistrationCall, now: Millis) {
        let leaving = match call {
            RegistrationCall::Heartbeat { record, service, sequence } => {
                if service != self.settings.service {
                    warn!(%service, instance = %record.id, "registration_of_other_service");
                    self.answer(id, slot, registered(), now);
                    return;
                }
                self.heartbeat(&record, sequence, now)
            }
            RegistrationCall::Leave { instance } => {
                if self.jobs.gate.left(&instance, now) {
                    info!(%instance, state = "left", "endpoint_state");
                    self.report_instance(now);
                }
                true
            }
            RegistrationCall::Unreadable { .. } => false,
        };
        if leaving {
            let sequence = self.links.record().sequence;
            self.registrar.wait(id, slot, sequence, now);
        } else {
            self.answer(id, slot, registered(), now);
        }
    }

    /// Returns whether the upstream says that it leaves.
    fn heartbeat(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) -> bool {
        if self.jobs.gate.told(record, sequence, now) {
            let state = record.state.as_str();
            info!(instance = %record.id, state, sequence, slots = record.slots, "endpoint_state");
            self.jobs.refresh_limit();
            self.report_instance(now);
        }
        record.state != InstanceState::Ready
    }

    fn acknowledge(&mut self) {
        let now = self.now();
        let links = &self.links;
        let ready = self.registrar.ready(|sequence| links.taken_by(sequence), now);
        for pending in ready {
            let (holders, linked) = self.links.taken_by(pending.sequence);
            info!(sequence = pending.sequence, holders, linked, "end_acknowledged");
            self.answer(pending.connection, pending.slot, registered(), now);
        }
    }

    /// The upstream beside is out of reach from now on, until the next life is there.
    fn close_to_peers(&mut self, now: Millis) {
        let (running, queued) = self.jobs.load();
        info!(in_flight = self.calls.in_flight(), running, queued, "sidecar_closing");
        self.links.report(&mut self.net, |record| record.stopping = true, now);
        self.calls.view.update(self.links.record().clone(), now);
        let actions = self.jobs.close(now);
        self.work.extend(actions.into_iter().map(Work::Job));
        self.do_work();
    }

    fn keep_house(&mut self, now: Millis) {
        self.net.sweep(LINGER_LIMIT);
        for (attempt, end) in self.peers.tick(&mut self.net, now) {
            self.peer_ended(attempt, end, now);
        }
        for (job, end) in self.upstream.tick(&mut self.net, now) {
            self.upstream_ended(job, end, now);
        }
        self.do_work();
        self.links.tick(&mut self.net, now);
        let (generation, digest) = (self.config.generation(), self.config.digest());
        self.links.want_config(&mut self.net, generation, digest, now);
        if now >= RESTORE_WAIT_MS {
            self.take_waiting_registrations(now);
        }
        let limits = self.config.limits().clone();
        let times = |kind: ServerKind| match kind {
            ServerKind::Caller => ServerTimes {
                header_ms: u64::from(limits.header_timeout_ms),
                idle_ms: u64::from(limits.idle_timeout_ms),
            },
            ServerKind::Peer => ServerTimes { header_ms: OWN_HEADER_MS, idle_ms: PEER_IDLE_MS * 2 },
            _ => ServerTimes { header_ms: OWN_HEADER_MS, idle_ms: OWN_IDLE_MS },
        };
        self.servers.tick(&mut self.net, times, now);
    }

    fn reload_settings(&mut self) {
        let Some(path) = &self.settings_path else {
            return;
        };
        let found = modified(Some(path));
        if found == self.settings_modified {
            return;
        }
        self.settings_modified = found;
        match settings::load::<SidecarSettings>(path, &[]) {
            Ok(settings) => {
                info!(seeds = ?settings.seeds, "settings_reloaded");
                self.links.set_seeds(seed_addresses(&settings));
            }
            Err(error) => warn!(%error, "settings_not_reloaded"),
        }
    }

    /// Whether the process may end: it was asked to, and what it had to finish is finished.
    fn is_over(&mut self, stop: &StopSignal) -> bool {
        let now = self.now();
        if stop.is_set() && self.stop.begin(now) {
            let (running, queued) = self.jobs.load();
            info!(in_flight = self.calls.in_flight(), running, queued, "sidecar_stopping");
        }
        if self.stop.refuses(now) && !self.links.record().stopping {
            self.close_to_peers(now);
        }
        let in_flight = self.calls.in_flight() + self.jobs.in_flight();
        let activity = Activity { in_flight, last_request: self.last_request };
        self.stop.phase(activity, now) == StopPhase::Over
    }
}

fn registered() -> Response {
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    Response { status: 200, headers, body: b"{}".to_vec() }
}

fn seed_addresses(settings: &SidecarSettings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}

fn modified(path: Option<&PathBuf>) -> Option<SystemTime> {
    path.and_then(|path| path.metadata().ok()).and_then(|metadata| metadata.modified().ok())
}
