//! Startup and shutdown of a control process.

use crate::address_book::AddressBook;
use crate::api::{self, OperatorApi};
use crate::authentication::OperatorDirectory;
use crate::machine::StateMachine;
use crate::members::Groups;
use crate::propagation::SharedSpread;
use crate::replica::{Replica, ReplicaParameters};
use crate::serve::{self, RelayService, ServiceLimits, ServiceMetrics};
use crate::transport::Transport;
use consensus::{Config, Membership};
use rollout::{Advancer, Request, CONTROL_OPERATOR};
use settings::{ControlSettings, SettingsError};
use snafu::{ensure, ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use storage::{open_data_folder, DataFolder, FolderIdentity, StorageError};
use telemetry::{
    Clock, MetricsServer, MetricsServerError, QuietWait, Registry, RequestCounter, StopSignal,
};
use tracing::{info, warn};
use wire::TlsIdentity;
use wire::{GroupMessage, Identity, Purpose, Role, Server, ServerError, TlsError, TlsFiles};

/// Name of the configuration group and of its directory in the data directory.
pub const CONFIG_GROUP: &str = "config";
/// Name prefix of the claim groups and of their directories in the data directory.
pub const CLAIM_GROUP_PREFIX: &str = "claims-";

/// Maximum number of concurrent connections from peers and relays, including claim connections.
const MAX_CONNECTIONS: usize = 2_048;
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
const ADVANCE_INTERVAL: Duration = Duration::from_millis(200);
const ADVANCE_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Wait for in-flight operator requests during a planned shutdown. A response is sent within a few
/// milliseconds, and a proposal ends within `limit`.
const SHUTDOWN_WAIT: QuietWait =
    QuietWait { quiet: Duration::from_millis(200), limit: Duration::from_millis(2_000) };

/// How a process treats its data directory at startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// Requires existing data.
    Resume,
    /// Starts a new fleet whose initial members are all replicas listed in the settings.
    Bootstrap,
    /// Starts a new member that waits to be added to the groups.
    Join,
}

/// Error that prevents a control process from starting.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The TLS files could not be loaded.
    #[snafu(display("{source}"))]
    Tls {
        /// Underlying error.
        source: TlsError,
    },
    /// The certificate was issued for another role or name.
    #[snafu(display("the certificate is for {found}, but the settings require {expected}"))]
    WrongCertificate {
        /// Role and name in the certificate.
        found: String,
        /// Name required by the settings.
        expected: String,
    },
    /// The data directory or a store in it could not be opened.
    #[snafu(display("{source}"))]
    Storage {
        /// Underlying error.
        source: StorageError,
    },
    /// The operators file could not be loaded.
    #[snafu(display("{source}"))]
    Operators {
        /// Underlying error.
        source: SettingsError,
    },
    /// The address for fleet processes could not be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// Underlying error.
        source: ServerError,
    },
    /// The address of the operator API could not be bound.
    #[snafu(display("cannot listen on {address}: {reason}"))]
    Api {
        /// Address to bind.
        address: SocketAddr,
        /// Description of the underlying error.
        reason: String,
    },
    /// The metrics server could not be started.
    #[snafu(display("{source}"))]
    Metrics {
        /// Underlying error.
        source: MetricsServerError,
    },
}

/// A control process running on background threads.
pub struct RunningControl {
    groups: Groups,
    requests: Arc<RequestCounter>,
    stop: StopSignal,
    _folder: DataFolder,
    /// Bound address for fleet processes.
    pub address: SocketAddr,
    /// Bound address of the operator API.
    pub api_address: SocketAddr,
}

/// Starts a control process. The file at `settings_path` is watched for changed replica addresses.
pub fn run(
    settings: ControlSettings,
    settings_path: Option<PathBuf>,
    mode: StartMode,
    stop: StopSignal,
) -> Result<RunningControl, ControlError> {
    let files = TlsFiles {
        authority: settings.tls.authority.clone(),
        certificate: settings.tls.certificate.clone(),
        key: settings.tls.key.clone(),
    };
    let tls = TlsIdentity::load(files).context(TlsSnafu)?;
    check_certificate(&tls, &settings)?;
    let operators = OperatorDirectory::new(settings.operators_file.clone());
    operators.check().context(OperatorsSnafu)?;
    let identity = FolderIdentity { fleet: settings.fleet.clone(), member: settings.member_id };
    let create = mode != StartMode::Resume;
    let folder = open_data_folder(&settings.data_dir, &identity, create).context(StorageSnafu)?;
    let addresses = Arc::new(AddressBook::new(&settings, settings_path));
    let server = Server::bind(settings.listen, MAX_CONNECTIONS).context(ListenSnafu)?;
    let address = server.address();
    let transport = Arc::new(Transport::new(tls.clone(), addresses.clone()));
    let groups = start_groups(&settings, mode, &transport, &addresses).context(StorageSnafu)?;
    let registry = Registry::default();
    let clock = Clock::default();
    let spread = SharedSpread::default();
    let service = RelayService {
        groups: groups.clone(),
        spread: spread.clone(),
        clock,
        limits: ServiceLimits {
            hold_ms: settings.hold_ms,
            election_ms: settings.election_ms,
            max_readers: settings.max_readers,
        },
        metrics: ServiceMetrics::new(&registry),
        readers: AtomicUsize::new(0),
    };
    serve_metrics(&settings, &groups, registry)?;
    server.run(
        tls.clone(),
        stop.flag(),
        Arc::new(is_allowed),
        Arc::new(|error| warn!(%error, "connection_refused")),
        Arc::new(move |connection| serve::serve(&service, connection)),
    );
    let api_listen = settings.api_listen;
    let requests = Arc::new(RequestCounter::default());
    let api = OperatorApi {
        member_id: settings.member_id,
        listen: api_listen,
        groups: groups.clone(),
        operators,
        addresses: addresses.clone(),
        spread: spread.clone(),
        clock,
        requests: requests.clone(),
    };
    let api_address = api::spawn(Arc::new(api))
        .map_err(|cause| ControlError::Api { address: api_listen, reason: cause.to_string() })?;
    tls.watch_files();
    spawn_address_reloads(addresses);
    spawn_advancer(groups.clone(), spread, clock);
    info!(member = settings.member_id, %address, %api_address, "control_started");
    Ok(RunningControl { groups, requests, stop, _folder: folder, address, api_address })
}

fn check_certificate(tls: &TlsIdentity, settings: &ControlSettings) -> Result<(), ControlError> {
    let identity = tls.identity();
    let expected = format!("control-{}", settings.member_id);
    let matches = identity.role == Role::Control && identity.name == expected;
    let found = format!("{} {}", identity.role, identity.name);
    ensure!(matches, WrongCertificateSnafu { found, expected });
    Ok(())
}

fn start_groups(
    settings: &ControlSettings,
    mode: StartMode,
    transport: &Arc<Transport>,
    addresses: &AddressBook,
) -> Result<Groups, StorageError> {
    let initial = match mode {
        StartMode::Bootstrap => Membership::of_voters(addresses.ids()),
        StartMode::Resume | StartMode::Join => Membership::default(),
    };
    let config = start_group(settings, &initial, transport, 0, CONFIG_GROUP.to_owned())?;
    let claims = (1..=settings.claim_groups)
        .map(|group| {
            let name = format!("{CLAIM_GROUP_PREFIX}{group}");
            start_group(settings, &initial, transport, group, name)
        })
        .collect::<Result<_, _>>()?;
    Ok(Groups { config, claims })
}

fn start_group<M: StateMachine>(
    settings: &ControlSettings,
    initial: &Membership,
    transport: &Arc<Transport>,
    group: u32,
    name: String,
) -> Result<Replica<M>, StorageError> {
    let ticks = |milliseconds: u64| (milliseconds / settings.tick_ms).max(1) as u32;
    let parameters = ReplicaParameters {
        folder: settings.data_dir.join(&name),
        group: name,
        consensus: Config {
            id: settings.member_id,
            election_ticks: ticks(settings.election_ms),
            heartbeat_ticks: ticks(settings.heartbeat_ms),
            seed: fastrand::u64(..),
            weakness: None,
        },
        initial: initial.clone(),
        tick: Duration::from_millis(settings.tick_ms),
        checkpoint_bytes: settings.checkpoint_bytes,
    };
    let transport = transport.clone();
    Replica::start(parameters, move |message| transport.send(GroupMessage { group, message }))
}

fn serve_metrics(
    settings: &ControlSettings,
    groups: &Groups,
    registry: Registry,
) -> Result<(), ControlError> {
    let ready_groups = groups.clone();
    let status_groups = groups.clone();
    let member = settings.member_id;
    let server = MetricsServer {
        registry,
        ready: Box::new(move || match ready_groups.config.lock().status.leader {
            Some(_) => Ok(()),
            None => Err("no leader is known".to_owned()),
        }),
        status: Box::new(move || status_json(member, &status_groups)),
    };
    server.run(settings.metrics_listen).context(MetricsSnafu).map(|_| ())
}

fn status_json(member: u64, groups: &Groups) -> String {
    let published = groups.config.lock();
    let status = &published.status;
    serde_json::json!({
        "member": member,
        "leader": status.leader,
        "term": status.term,
        "applied": status.applied,
        "newest_generation": published.machine.0.newest_generation(),
    })
    .to_string()
}

fn is_allowed(peer: &Identity, purpose: Purpose) -> bool {
    match purpose {
        Purpose::Consensus => peer.role == Role::Control,
        Purpose::RelayWatch | Purpose::RelayReport | Purpose::Claims => peer.role == Role::Relay,
        Purpose::ProxyWatch | Purpose::ProxyReport | Purpose::Mirror => false,
    }
}

/// Starts a thread that reloads the addresses of other replicas when the settings file changes.
fn spawn_address_reloads(addresses: Arc<AddressBook>) {
    thread::spawn(move || loop {
        thread::sleep(RELOAD_INTERVAL);
        match addresses.reload_if_changed() {
            Ok(true) => info!("addresses_reloaded"),
            Ok(false) => {}
            Err(error) => warn!(%error, "addresses_not_reloaded"),
        }
    });
}

/// Starts a thread that advances rollouts automatically while this replica is the leader.
fn spawn_advancer(groups: Groups, spread: SharedSpread, clock: Clock) {
    thread::spawn(move || {
        let mut advancer = Advancer::default();
        loop {
            thread::sleep(ADVANCE_INTERVAL);
            if !groups.config.lock().status.is_leader {
                spread.lock().clear();
                advancer = Advancer::default();
                continue;
            }
            let now_ms = clock.now_ms();
            let summary = spread.lock().summary(now_ms);
            let command = advancer.tick(now_ms, &groups.config.lock().machine.0, &summary);
            let Some(command) = command else { continue };
            let request_id = format!("advance-{now_ms}-{}", fastrand::u64(..));
            let operator = CONTROL_OPERATOR.to_owned();
            let request = Request { operator, request_id, command };
            match groups.config.propose(request, ADVANCE_TIMEOUT) {
                Ok(answer) => info!(answer = ?answer, "rollout_advanced"),
                Err(error) => warn!(%error, "rollout_not_advanced"),
            }
        }
    });
}

impl RunningControl {
    /// Waits for the stop signal, transfers leadership, finishes in-flight operator requests and
    /// returns.
    pub fn wait(&self) {
        self.stop.wait();
        info!(requests = self.requests.in_flight(), "control_stopping");
        self.groups.config.transfer_leadership(TRANSFER_TIMEOUT);
        for replica in &self.groups.claims {
            replica.transfer_leadership(TRANSFER_TIMEOUT);
        }
        self.requests.wait_until_quiet(SHUTDOWN_WAIT, || false);
        info!(requests = self.requests.in_flight(), "control_stopped");
    }
}
