//! Starting and stopping a coordinator.

use crate::api::{self, Api};
use crate::autopilot::Autopilot;
use crate::canaries::{CanaryLoop, CanaryPolicies};
use crate::departure_store::DepartureStore;
use crate::dialect::OperatorDialect;
use crate::hub::Hub;
use crate::identity::{self, IdentityError};
use crate::link::Links;
use crate::link_server::LinkServer;
use crate::listener::CoordinatorService;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::registry_loop::RegistryLoop;
use crate::transport::Transport;
use crate::Source;
use consensus::{Config, Membership};
use control::{ConfigState, Replica, ReplicaParameters, CONFIG_GROUP};
use mesh::{CoordinatorFrame, MemberId};
use settings::CoordinatorSettings;
use snafu::{ResultExt, Snafu};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use storage::{DataFolder, StorageError};
use telemetry::{
    BootInstant, Clock, Gauge, MetricsServer, MetricsServerError, QuietWait, Registry,
    RequestCounter, StopSignal,
};
use tracing::info;

const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time at the end of a planned stop that is kept for the requests in progress.
const END_RESERVE: Duration = Duration::from_millis(2_000);
/// Wait for requests in progress on a planned stop: a response is sent within some milliseconds,
/// and a proposal completes within the limit.
const REQUEST_DRAIN: QuietWait =
    QuietWait { quiet: Duration::from_millis(200), limit: Duration::from_millis(1_500) };

/// A coordinator failed to start.
#[derive(Debug, Snafu)]
pub enum CoordinatorError {
    /// The data folder is unusable.
    #[snafu(display("{source}"))]
    Identity {
        /// Cause.
        source: IdentityError,
    },
    /// The stored log is unusable.
    #[snafu(display("{source}"))]
    Storage {
        /// Cause.
        source: StorageError,
    },
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {address}: {reason}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The metrics server failed to start.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: MetricsServerError,
    },
}

/// A coordinator that runs in background threads.
pub struct RunningCoordinator {
    group: Arc<Group>,
    requests: Arc<RequestCounter>,
    stop: StopSignal,
    /// Time from the stop signal until the process is killed.
    stop_time: Duration,
    _folder: DataFolder,
}

/// Starts a coordinator.
pub fn run(
    settings: &CoordinatorSettings,
    dialect: Arc<dyn OperatorDialect>,
    stop: StopSignal,
) -> Result<RunningCoordinator, CoordinatorError> {
    let (folder, own) = identity::open(settings).context(IdentitySnafu)?;
    let clock = Clock::default();
    let transport = Arc::new(Transport::new(&settings.fleet, settings.mesh_port));
    let replica = start_replica(settings, own, &transport).context(StorageSnafu)?;
    let voters = settings.desired_voters() as usize;
    let autopilot = Autopilot::new(voters, settings.silence_ms);
    let seeds: Vec<Ipv4Addr> = settings.seeds.iter().map(|seed| *seed.ip()).collect();
    let group = Arc::new(Group::new(own, replica, transport.clone(), clock, autopilot, seeds));
    let hub = Arc::new(Hub::new(settings.lease_ms));
    let (store, departures) = DepartureStore::open(folder.path()).context(StorageSnafu)?;
    hub.lock().registry.add_departures(departures, Source::Own, clock.now_ms());
    store.spawn(hub.clone(), clock);
    let policies = CanaryPolicies::new(settings.canary_exposed_part);
    let quotas = Arc::new(Quotas::new(group.clone(), transport.clone(), clock));
    let (hub_for_links, quotas_for_links) = (hub.clone(), quotas.clone());
    let links =
        Links::new(&settings.zone, hub_for_links, group.clone(), clock, policies, quotas_for_links);
    let canary_loop = CanaryLoop::new(hub.clone(), group.clone(), clock, policies);
    let (quotas_for_loop, zone) = (quotas.clone(), &settings.zone);
    let registry_loop =
        RegistryLoop::new(hub.clone(), group.clone(), transport, clock, quotas_for_loop, zone);
    let registry_loop = Arc::new(registry_loop);
    let address = SocketAddrV4::new(settings.ip, settings.mesh_port);
    let listen = TcpListener::bind(address);
    let listen = listen.map_err(|cause| listen_error(address, cause))?;
    let service = Arc::new(CoordinatorService {
        group: group.clone(),
        hub: hub.clone(),
        registry_loop: registry_loop.clone(),
        quotas,
        open: AtomicUsize::new(0),
    });
    let serve = Box::new(move |stream, peer, read| service.spawn(stream, peer, read));
    let server = LinkServer::new(&settings.fleet, listen, links, serve);
    let server = server.map_err(|cause| listen_error(address, cause))?;
    thread::spawn(move || server.run());
    group.spawn(settings.trusted_source.clone(), hub.clone());
    registry_loop.spawn();
    canary_loop.spawn();
    serve_metrics(settings, &group, &hub).context(MetricsSnafu)?;
    let trusted_source = settings.trusted_source.clone();
    let listen = settings.api_listen;
    let requests = Arc::new(RequestCounter::default());
    let api = Api {
        group: group.clone(),
        hub,
        clock,
        dialect,
        listen,
        trusted_source,
        requests: requests.clone(),
    };
    api::spawn(api).map_err(|cause| listen_error(listen, cause))?;
    info!(name = %settings.name, member = %own, %address, api = %listen, "coordinator_started");
    let stop_time = Duration::from_millis(settings.stop_ms);
    Ok(RunningCoordinator { group, requests, stop, stop_time, _folder: folder })
}

fn listen_error(address: SocketAddrV4, cause: impl std::fmt::Display) -> CoordinatorError {
    CoordinatorError::Listen { address: address.into(), reason: cause.to_string() }
}

fn start_replica(
    settings: &CoordinatorSettings,
    own: MemberId,
    transport: &Arc<Transport>,
) -> Result<Replica<ConfigState>, StorageError> {
    let ticks = |milliseconds: u64| (milliseconds / settings.tick_ms).max(1) as u32;
    // Only initial members of a new fleet start with a membership; others receive it from the
    // leader.
    let initial = match own.incarnation() {
        0 => {
            let seeds = settings.seeds.iter().map(|seed| MemberId::first_at(*seed.ip()).0);
            Membership::of_voters(seeds)
        }
        _ => Membership::default(),
    };
    let parameters = ReplicaParameters {
        group: CONFIG_GROUP.to_owned(),
        folder: settings.data_dir.join(CONFIG_GROUP),
        consensus: Config {
            id: own.0,
            election_ticks: ticks(settings.election_ms),
            heartbeat_ticks: ticks(settings.heartbeat_ms),
            seed: fastrand::u64(..),
            weakness: None,
        },
        initial,
        tick: Duration::from_millis(settings.tick_ms),
        checkpoint_bytes: settings.checkpoint_bytes,
    };
    let transport = transport.clone();
    Replica::start(parameters, move |message| {
        transport.send(MemberId(message.to), CoordinatorFrame::Message(message));
    })
}

fn serve_metrics(
    settings: &CoordinatorSettings,
    group: &Arc<Group>,
    hub: &Arc<Hub>,
) -> Result<(), MetricsServerError> {
    let registry = Registry::default();
    let gauges = Gauges {
        term: registry.gauge("consensus_term", "Current term"),
        leads: registry.gauge("consensus_leads", "Whether this member leads, 0 or 1"),
        members: registry.gauge("consensus_members", "Members of the group"),
        voters: registry.gauge("consensus_voters", "Members of the group that vote"),
        learners_caught_up: registry.gauge(
            "consensus_learners_caught_up",
            "Members that do not vote and could, as the leader knows; 0 elsewhere",
        ),
        generation: registry.gauge("config_generation", "Newest generation accepted"),
        storage_full: registry.gauge("storage_full", "Whether the disk has no room, 0 or 1"),
        checkpoints_postponed: registry.gauge(
            "checkpoints_postponed",
            "Checkpoints for which the disk had no room since the start",
        ),
        nodes: registry.gauge("registry_nodes", "Sidecars whose lease holds"),
    };
    let (ready_group, gauge_group, hub) = (group.clone(), group.clone(), hub.clone());
    thread::spawn(move || loop {
        gauges.update(&gauge_group, &hub);
        thread::sleep(Duration::from_secs(1));
    });
    let server = MetricsServer {
        registry,
        ready: Box::new(move || match ready_group.replica.lock().status.leader {
            Some(_) => Ok(()),
            None => Err("no leader is known".to_owned()),
        }),
        status: Box::new(|| "{}".to_owned()),
    };
    server.run(settings.metrics_listen.into()).map(|_| ())
}

struct Gauges {
    term: Gauge,
    leads: Gauge,
    members: Gauge,
    voters: Gauge,
    learners_caught_up: Gauge,
    generation: Gauge,
    storage_full: Gauge,
    checkpoints_postponed: Gauge,
    nodes: Gauge,
}

impl Gauges {
    fn update(&self, group: &Group, hub: &Hub) {
        let published = group.replica.lock();
        self.term.set(published.status.term as i64);
        self.leads.set(i64::from(published.status.is_leader));
        self.storage_full.set(i64::from(published.status.storage_full));
        self.checkpoints_postponed.set(published.status.checkpoints_postponed as i64);
        self.members.set(published.status.membership.members().count() as i64);
        self.generation.set(published.machine.0.newest_generation() as i64);
        self.voters.set(published.status.membership.voters.len() as i64);
        drop(published);
        self.learners_caught_up.set(group.learners_caught_up() as i64);
        self.nodes.set(hub.lock().registry.nodes() as i64);
    }
}

impl RunningCoordinator {
    /// Waits for the stop signal, hands leadership and vote over, completes operator requests and
    /// returns.
    pub fn wait(&self) {
        self.stop.wait();
        let hand_over_until = BootInstant::now() + self.stop_time.saturating_sub(END_RESERVE);
        info!(requests = self.requests.in_flight(), "coordinator_stopping");
        self.group.replica.transfer_leadership(TRANSFER_TIMEOUT);
        self.group.hand_over_vote(hand_over_until);
        self.requests.wait_until_quiet(REQUEST_DRAIN, || false);
        info!(requests = self.requests.in_flight(), "coordinator_stopped");
    }
}
