//! The event loop of the sidecar: connects the sockets with the decision-making parts.

mod dispatch;
mod link;
mod registration;
mod stopping;

use crate::call_metrics::{CallMetrics, JobMetrics};
use crate::calls::{CallAction, Calls};
use crate::config::Config;
use crate::dialect::{HeaderNames, RegistrationCall, RegistrationDialect};
use crate::heartbeat_trust::HeartbeatTrust;
use crate::jobs::{JobAction, Jobs};
use crate::link_meter::{LinkFullDetector, LinkMeter};
use crate::links::{LinkEvent, Links};
use crate::metrics::{Metrics, Snapshot};
use crate::net::{ConnectionId, Net, LATE_READER_TIMEOUT};
use crate::poison::PoisonWatch;
use crate::pool::Pool;
use crate::registrar::Registrar;
use crate::sample::LogSample;
use crate::servers::{ServerKind, ServerTimes, Servers};
use crate::stop::StopPlan;
use crate::{Attempt, Millis};
use admission::{JobId, RateLimit};
use http1::{ByteBudget, Response, Slot};
use mesh::{NodeAddress, NodeLoad, NodeRecord};
use placement::{BudgetBounds, Locality, Regions};
use settings::SidecarSettings;
use snafu::{ResultExt, Snafu};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use telemetry::{Clock, Registry, ReloadSignal, StopSignal, SuspendDetector};
use tracing::{info, warn};

const HOUSEKEEPING_MS: u64 = 50;
const RELOAD_CHECK_MS: u64 = 1_000;
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections to peers are closed after this time, in milliseconds.
const PEER_IDLE_MS: u64 = 20_000;
/// Idle connections to the upstream are closed after this time, in milliseconds; upstreams close
/// them after some seconds.
const UPSTREAM_IDLE_MS: u64 = 4_000;
const OWN_HEADER_BYTES: usize = 64 * 1024;
const PEER_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// A registration of an upstream has some hundred bytes; other own endpoints take no body.
const REGISTRATION_BODY_BYTES: u64 = 64 * 1024;
const OWN_HEADER_MS: u64 = 10_000;
const OWN_IDLE_MS: u64 = 60_000;
/// How long messages of the upstream wait for the coordinators' knowledge of an earlier run of this
/// sidecar, in milliseconds.
const RESTORE_WAIT_MS: u64 = 800;

/// Fraction of the slack for cold upstreams that is available as a burst. The rest covers calls
/// that were sent before the report that the upstream is cold arrived.
const BURST_FRACTION_OF_SLACK: f64 = 0.5;

/// The sidecar could not start.
#[derive(Debug, Snafu)]
pub enum SidecarError {
    /// The poll instance could not be created.
    #[snafu(display("cannot create the poll instance: {source}"))]
    Poll {
        /// The cause.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
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

struct Sidecar<D> {
    settings: SidecarSettings,
    settings_path: Option<PathBuf>,
    settings_modified: Option<SystemTime>,
    names: HeaderNames,
    dialect: D,
    own: NodeAddress,
    clock: Clock,
    sleep: SuspendDetector,
    net: Net,
    listeners: Vec<ServerKind>,
    servers: Servers,
    peers: Pool<Attempt>,
    upstream: Pool<JobId>,
    /// What all bodies in memory are charged to.
    body_budget: ByteBudget,
    links: Links,
    registrar: Registrar,
    heartbeat_trust: HeartbeatTrust,
    waiting_registrations: Vec<WaitingRegistration>,
    config: Config,
    calls: Calls,
    jobs: Jobs,
    poison: PoisonWatch,
    work: VecDeque<Work>,
    metrics: Metrics,
    stop: StopPlan,
    last_request: Millis,
    link_meter: LinkMeter,
    link_full_detector: LinkFullDetector,
    next_housekeeping: Millis,
    next_reload_check: Millis,
    /// Whether a configuration was requested before any was announced.
    asked_first_config: bool,
    /// Generation from which the rates of cold upstreams were applied last.
    cold_rates_generation: u64,
}

/// Runs a sidecar until it is asked to stop. The file at `settings_path` is reloaded when it
/// changes.
pub fn run<D: RegistrationDialect>(
    settings: SidecarSettings,
    settings_path: Option<PathBuf>,
    names: HeaderNames,
    dialect: D,
    stop: &StopSignal,
    reload: &ReloadSignal,
) -> Result<(), SidecarError> {
    let mut sidecar = Sidecar::start(settings, settings_path, names, dialect)?;
    while !sidecar.should_exit(stop) {
        sidecar.run_once(reload);
    }
    sidecar.log_exit();
    Ok(())
}

impl<D: RegistrationDialect> Sidecar<D> {
    fn start(
        settings: SidecarSettings,
        settings_path: Option<PathBuf>,
        names: HeaderNames,
        dialect: D,
    ) -> Result<Self, SidecarError> {
        let link_meter = LinkMeter::new(settings.link_mbps);
        let ip = IpAddr::V4(settings.ip);
        let mut net = Net::new(ip, link_meter.bytes_per_ms()).context(PollSnafu)?;
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
            boot_id: fastrand::u64(..),
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
        let registry = Registry::default();
        let locality = Locality::new(own, &settings.zone)
            .with_link(link_meter.bytes_per_ms())
            .with_regions(Regions::new(settings.regions.clone()));
        let calls = Calls::new(
            names,
            &settings.service,
            locality,
            bounds,
            sample,
            CallMetrics::new(&registry),
            seed,
        );
        let poison = PoisonWatch::new(own);
        let mut calls = calls.with_poison_watch(poison.clone());
        calls.set_hedging(settings.hedging);
        let job_metrics = JobMetrics::new(&registry);
        let jobs = Jobs::new(
            names,
            &settings.service,
            settings.drain_ms,
            link_meter.bytes_per_ms(),
            sample,
            job_metrics,
        );
        let jobs = jobs.with_poison_watch(poison.clone());
        let body_budget = ByteBudget::new(settings.body_budget_bytes());
        info!(name = %settings.name, %own, body_budget = body_budget.limit(), service = %settings.service, "sidecar_started");
        warn!("connections between processes are not encrypted: plain_transport is set");
        Ok(Sidecar {
            stop: StopPlan::new(settings.stop_ms),
            settings_modified: modified(settings_path.as_ref()),
            settings,
            settings_path,
            names,
            dialect,
            own,
            clock: Clock::default(),
            sleep: SuspendDetector::default(),
            net,
            listeners,
            servers: Servers::new(body_budget.clone()),
            peers: Pool::new(PEER_IDLE_MS / 2, body_budget.clone()),
            upstream: Pool::new(UPSTREAM_IDLE_MS, body_budget.clone()),
            body_budget,
            links,
            registrar: Registrar::default(),
            heartbeat_trust: HeartbeatTrust::default(),
            waiting_registrations: Vec::new(),
            config: Config::default(),
            calls,
            jobs,
            poison,
            work: VecDeque::new(),
            metrics: Metrics::new(registry),
            last_request: 0,
            link_meter,
            link_full_detector: LinkFullDetector::default(),
            next_housekeeping: 0,
            next_reload_check: RELOAD_CHECK_MS,
            asked_first_config: false,
            cold_rates_generation: 0,
        })
    }

    fn now(&self) -> Millis {
        self.clock.now_ms()
    }

    /// One iteration of the loop: waits for events, handles them, and does the work that is due.
    fn run_once(&mut self, reload: &ReloadSignal) {
        let wait = self.next_due().saturating_sub(self.now());
        let events = self.net.poll(Duration::from_millis(wait));
        self.note_sleep();
        self.measure_link();
        for event in events {
            self.on_event(event);
            self.do_work();
        }
        self.net.pump();
        let now = self.now();
        let ended = self.calls.tick(now);
        self.work.extend(ended.into_iter().map(Work::Call));
        let ended = self.jobs.tick(now);
        self.work.extend(ended.into_iter().map(Work::Job));
        self.do_work();
        self.jobs.hedges_barred_until = self.calls.hedges_barred_until();
        self.send_due_acknowledgements();
        self.links.send_poison_notices(&mut self.net, self.poison.take_unsent());
        self.process_quotas(now);
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_MS;
            self.run_housekeeping(now);
        }
        if reload.take() || now >= self.next_reload_check {
            self.next_reload_check = now + RELOAD_CHECK_MS;
            self.reload_settings();
        }
    }

    /// Admits or refuses the calls that waited for a credit, and requests credits for those that
    /// still wait.
    fn process_quotas(&mut self, now: Millis) {
        let settled = self.calls.settle_quotas(&self.config, now);
        self.work.extend(settled.into_iter().map(Work::Call));
        self.do_work();
        self.links.ask_credits(&mut self.net, self.calls.quota.gate(), now);
    }

    /// Expires everything whose time ran out while the machine slept, before any event that arrived
    /// in the meantime is handled: calls past their deadline, silent links, outdated loads and
    /// confirmations.
    fn note_sleep(&mut self) {
        let Some(slept) = self.sleep.check() else {
            return;
        };
        let slept_ms = slept.as_millis() as u64;
        let now = self.now();
        warn!(
            slept_ms,
            calls = self.calls.in_flight(),
            jobs = self.jobs.in_flight(),
            "machine_slept"
        );
        let ended = self.calls.tick(now);
        self.work.extend(ended.into_iter().map(Work::Call));
        let ended = self.jobs.tick(now);
        self.work.extend(ended.into_iter().map(Work::Job));
        self.do_work();
        self.links.tick(&mut self.net, now);
    }

    fn next_due(&self) -> Millis {
        let now = self.now();
        let due_times = [
            self.calls.next_tick(now),
            self.jobs.next_tick(now),
            self.registrar.next_tick(),
            self.calls.quota.next_tick(now),
            Some(self.next_housekeeping),
            self.net.due_in_ms().map(|due_ms| now + due_ms),
        ];
        due_times.into_iter().flatten().min().unwrap_or(now)
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
        let (quarantined, suspects) = self.poison.counts(self.now());
        let snapshot = Snapshot {
            calls: self.calls.counts,
            in_flight: self.calls.in_flight(),
            running,
            queued,
            generation: self.config.generation(),
            nodes: self.calls.view.nodes(),
            connections: self.net.connections(),
            link_percent: self.jobs.link_percent,
            sent: self.net.pacer_counts(),
            sent_bytes: self.net.sent_bytes(),
            link_waiting_bytes: self.net.link_state().waiting_bytes,
            link_refusals: self.jobs.link_refusals(),
            broken_writes: self.net.broken_writes(),
            requests_dropped: self.servers.dropped(),
            body_bytes: self.body_budget.held(),
            cold_refusals: self.jobs.cold_refusals(),
            rate_limit: self.jobs.stated_rate(),
            rate_refusals: self.jobs.rate_refusals(),
            failing_percent: self.jobs.failing_percent(self.now()),
            confirmed_ms: self.config.freshness.age_ms(self.now()),
            upstreams: self.calls.view.live_and_others(),
            tenants: self.config.tenants().iter().count(),
            quota: self.calls.quota.counts(),
            quarantined,
            suspects,
        };
        Response::text(200, &self.metrics.encode(&snapshot))
    }

    fn on_link_event(&mut self, event: LinkEvent, now: Millis) {
        match event {
            LinkEvent::Welcome { last, reported_at } => {
                self.restore(last, reported_at, now);
                self.links.send_poison_notices(&mut self.net, self.poison.full_report(now));
                self.process_waiting_registrations(now);
            }
            LinkEvent::Departures { complete, departures } => {
                self.learn_departures(departures, complete, now);
            }
            LinkEvent::Config { generation, confirmed: false, update } => {
                self.config.prepare(generation, &update);
            }
            LinkEvent::Config { generation, confirmed: true, update } => {
                self.config.apply(generation, &update);
                let (generation, digest) = (self.config.generation(), self.config.digest());
                self.links.applied(&mut self.net, generation, digest, now);
            }
            LinkEvent::NewestGeneration { asked_at, generation } => {
                self.config.freshness.note(asked_at, generation);
            }
            LinkEvent::Node(record) => {
                self.calls.view.update(record, now);
            }
            LinkEvent::Loads(loads) => {
                for NodeLoad { address, load } in loads {
                    self.calls.view.note_load(&address, load, now);
                }
            }
            LinkEvent::Poison(notices) => self.poison.apply_notices(notices, now),
            LinkEvent::Credits(answer) => self.calls.quota.answered(answer, now),
            LinkEvent::Versions(policies) => {
                let own = policies.iter().find(|policy| policy.service == self.settings.service);
                self.jobs.set_policy(own.cloned());
                self.calls.view.set_policies(&policies);
            }
            LinkEvent::Evacuations(zones) => {
                let own = zones.contains(&self.settings.zone);
                let refused = self.jobs.set_evacuated(own, now);
                self.work.extend(refused.into_iter().map(Work::Job));
                self.calls.view.set_evacuated(zones, now);
            }
            LinkEvent::NodesGone => {
                let links = &self.links;
                let own = self.own;
                let is_listed = |node: &NodeAddress| *node == own || links.is_listed(node, now);
                self.calls.view.retain(is_listed, now);
            }
        }
        self.config.put_in_force(self.links.announced());
        if self.config.generation() != self.cold_rates_generation {
            self.cold_rates_generation = self.config.generation();
            self.apply_cold_rates(now);
        }
        self.calls.note_configuration(&self.config, now);
        self.request_config(now);
    }

    /// Applies the call rates for cold upstreams: to the local upstream and to those that calls are
    /// sent to.
    fn apply_cold_rates(&mut self, now: Millis) {
        let bounds = &self.settings.cold_start;
        let allowed = |per_s: f64| RateLimit {
            per_s: per_s * bounds.over,
            burst: (bounds.slack * BURST_FRACTION_OF_SLACK - 1.0).max(0.0),
        };
        let rates = self.config.cold_rates().map(|(service, per_s)| (service, allowed(per_s)));
        let rates: BTreeMap<Rc<str>, RateLimit> =
            rates.map(|(service, rate)| (service.into(), rate)).collect();
        let own = rates.get(self.settings.service.as_str()).copied();
        self.jobs.set_cold_rate(own, now);
        let per_s = rates.into_iter().map(|(service, rate)| (service, rate.per_s)).collect();
        self.calls.view.set_cold_rates(per_s);
    }

    /// Requests a newer configuration; after the start, requests the one that the coordinators hold
    /// even before any of them has announced it.
    fn request_config(&mut self, now: Millis) {
        if !self.asked_first_config {
            let digest = self.config.digest();
            self.asked_first_config = self.links.request_first_config(&mut self.net, digest, now);
        }
        let (generation, digest) = (self.config.generation(), self.config.digest());
        self.links.request_config(&mut self.net, generation, digest, now);
    }

    /// How long callers are given to read the last answers on a connection. A process that stops cannot
    /// wait for long, but as long after the signal as for any other connection.
    fn longest_with_answers(&self, now: Millis) -> Duration {
        let stopping = Duration::from_millis(self.stop.elapsed_ms(now));
        match stopping < LINGER_TIMEOUT {
            true => LATE_READER_TIMEOUT,
            false => LINGER_TIMEOUT,
        }
    }

    fn run_housekeeping(&mut self, now: Millis) {
        self.net.sweep(LINGER_TIMEOUT, self.longest_with_answers(now));
        self.watch_link(now);
        for (attempt, end) in self.peers.tick(&mut self.net, now) {
            self.peer_ended(attempt, end, now);
        }
        for (job, end) in self.upstream.tick(&mut self.net, now) {
            self.upstream_ended(job, end, now);
        }
        self.do_work();
        self.links.tick(&mut self.net, now);
        self.links.send_load(&mut self.net, self.jobs.load_report(now), now);
        if let Some(evidence) = self.jobs.evidence_due(now) {
            self.links.send_evidence(&mut self.net, evidence);
        }
        self.poison.expire(now);
        self.calls.report_retries(now);
        self.calls.quota.run_maintenance(self.config.tenants().any_limit(), now);
        self.request_config(now);
        if now >= RESTORE_WAIT_MS {
            self.process_waiting_registrations(now);
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
}

fn seed_addresses(settings: &SidecarSettings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}

fn modified(path: Option<&PathBuf>) -> Option<SystemTime> {
    path.and_then(|path| path.metadata().ok()).and_then(|metadata| metadata.modified().ok())
}
