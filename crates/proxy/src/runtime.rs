//! Startup and shutdown of a proxy.

use crate::chooser::{RelayAddress, RelayChooser};
use crate::claim_link::ClaimClient;
use crate::core::{PreparedConfig, ProxyCore};
use crate::dispatch::Dispatcher;
use crate::server::CallerListener;
use crate::upstream::UpstreamClient;
use crate::watch::{run_watch, WatchCounters, WatchHandler};
use crate::{applied_store, local_backend, observe, server};
use bundle::{Approval, Bundle, OperatorKeys, SealKeys};
use endpoints::{EndpointKey, EndpointView, LeavingMark};
use forward::{BalancerIdentity, RoutingTable};
use rollout::ProxyName;
use settings::{ProxySettings, SettingsError};
use snafu::{ensure, ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::thread;
use std::time::Duration;
use telemetry::{
    Clock, Counter, Gauge, MetricsServer, MetricsServerError, QuietWait, Registry, RequestCounter,
    StopSignal,
};
use tracing::info;
use wire::{Role, TlsError, TlsFiles, TlsIdentity};

/// On a planned stop, the proxy waits until there were no calls for this long. Callers with open
/// connections thereby have time to make one more call, whose response closes the connection.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of leaving marks that wait to be reported to a relay.
const OBSERVATION_QUEUE: usize = 1_024;

/// Error that prevents a proxy from starting.
#[derive(Debug, Snafu)]
pub enum ProxyError {
    /// The TLS files could not be loaded.
    #[snafu(display("{source}"))]
    Tls {
        /// Underlying error.
        source: TlsError,
    },
    /// The certificate was issued for another role, name or zone.
    #[snafu(display("the certificate is for {found}, but the settings require proxy {expected}"))]
    WrongCertificate {
        /// Role, name and zone in the certificate.
        found: String,
        /// Name and zone in the settings.
        expected: String,
    },
    /// A key file or stored state could not be loaded.
    #[snafu(display("{}: {reason}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Description of the underlying error.
        reason: String,
    },
    /// The operators file could not be loaded.
    #[snafu(display("{source}"))]
    Operators {
        /// Underlying error.
        source: SettingsError,
    },
    /// The address for callers could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to bind.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The metrics server could not be started.
    #[snafu(display("{source}"))]
    Metrics {
        /// Underlying error.
        source: MetricsServerError,
    },
}

/// Metrics of a proxy.
pub(crate) struct ProxyMetrics {
    pub answered: Counter,
    pub refused_not_run: Counter,
    pub refused_may_have_run: Counter,
    pub refused_ran: Counter,
    pub sent: Counter,
    pub retries: Counter,
    pub generation: Gauge,
    pub watch: WatchCounters,
}

/// State shared by the threads of a proxy.
pub(crate) struct Shared {
    pub settings: ProxySettings,
    pub tls: Arc<TlsIdentity>,
    pub clock: Clock,
    pub stop: StopSignal,
    pub metrics: ProxyMetrics,
    pub dispatcher: Dispatcher,
    pub upstreams: UpstreamClient,
    pub claims: Arc<ClaimClient>,
    pub calls: RequestCounter,
    seal_keys: SealKeys,
    operators: OperatorKeys,
    core: Mutex<ProxyCore>,
    routing: RwLock<Arc<RoutingTable>>,
    relay: Mutex<Option<SocketAddr>>,
    observations: SyncSender<LeavingMark>,
}

impl Shared {
    fn lock_core(&self) -> MutexGuard<'_, ProxyCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current routing table; a call uses the same table until it ends.
    pub fn routing(&self) -> Arc<RoutingTable> {
        self.routing.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Time since the configuration was last known to be current, in milliseconds.
    pub fn staleness_ms(&self) -> Option<u64> {
        self.lock_core().staleness_ms(self.clock.now_ms())
    }

    /// Relay in use.
    pub fn current_relay(&self) -> Option<SocketAddr> {
        *self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaving marks that this proxy observed itself.
    pub fn own_marks(&self) -> Vec<LeavingMark> {
        self.lock_core().endpoints().own_marks()
    }

    /// Handles a backend's announcement that it is leaving: it gets no more calls from this proxy,
    /// and the relay is informed.
    pub fn observe_leaving(&self, key: &EndpointKey) {
        let mark = self.lock_core().endpoints_mut().observe_leaving(key);
        if let Some(mark) = mark {
            self.dispatcher.remove(key);
            info!(service = %key.service, address = %key.socket_address(), "backend_leaving");
            let _ = self.observations.try_send(mark);
        }
    }

    fn compile_routes(&self, prepared: &PreparedConfig) -> Result<RoutingTable, String> {
        if let Some(reason) = unsupported_reason(&prepared.bundle) {
            return Err(reason.to_owned());
        }
        RoutingTable::compile(prepared.generation, &prepared.bundle, &self.seal_keys)
            .map_err(|error| error.to_string())
    }

    fn install_routes(&self, table: RoutingTable) {
        self.metrics.generation.set(table.generation as i64);
        let mut routing = self.routing.write().unwrap_or_else(PoisonError::into_inner);
        *routing = Arc::new(table);
    }
}

/// Returns why proxies do not support a bundle, even if it is valid.
pub fn unsupported_reason(bundle: &Bundle) -> Option<&'static str> {
    // A proxy does not check API keys: it would admit every caller and pass no tenant to upstreams.
    bundle.tenants().next().map(|_| "the bundle has tenants, which only sidecars know")
}

impl WatchHandler for Shared {
    fn apply_config(
        &self,
        prepared: &PreparedConfig,
        approval: Option<&Approval>,
    ) -> Result<(), String> {
        if prepared.generation > 0 && !prepared.bundle.objects().is_empty() {
            let approval = approval.ok_or("the bundle is not signed off")?;
            self.operators
                .verify_approval(&prepared.bundle.digest(), approval)
                .map_err(|error| error.to_string())?;
        }
        let table = self.compile_routes(prepared)?;
        if let Some(dir) = &self.settings.data_dir {
            applied_store::save(dir, prepared).map_err(|error| error.to_string())?;
        }
        self.install_routes(table);
        Ok(())
    }

    fn endpoints_changed(&self, endpoints: &EndpointView) {
        let table = self.routing();
        let used = table.used_services();
        let services = table.services().values().filter(|service| used.contains(&service.name));
        self.dispatcher.update(endpoints, services);
    }

    fn connected(&self, relay: SocketAddr) {
        *self.relay.lock().unwrap_or_else(PoisonError::into_inner) = Some(relay);
    }
}

/// A proxy running on background threads.
pub struct RunningProxy {
    shared: Arc<Shared>,
    callers: Arc<CallerListener>,
    /// Bound address for callers.
    pub address: SocketAddr,
    /// Bound address of the metrics server.
    pub metrics_address: SocketAddr,
}

/// Starts a proxy on background threads.
pub fn run(settings: ProxySettings, stop: StopSignal) -> Result<RunningProxy, ProxyError> {
    let files = TlsFiles {
        authority: settings.tls.authority.clone(),
        certificate: settings.tls.certificate.clone(),
        key: settings.tls.key.clone(),
    };
    let tls = TlsIdentity::load(files).context(TlsSnafu)?;
    check_certificate(&tls, &settings)?;
    let seal_keys = load_seal_keys(&settings.seal_key_file)?;
    let operators = load_operator_keys(&settings.operators_file)?;
    let stored = load_applied(&settings)?;
    let clock = Clock::default();
    let registry = Registry::default();
    let name = ProxyName { id: settings.name.clone(), zone: settings.zone.clone() };
    let identity = BalancerIdentity {
        proxy: settings.name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let relays: Vec<RelayAddress> = settings.relay.iter().map(relay_address).collect();
    let chooser = RelayChooser::new(&relays, &settings.zone, &settings.region, fastrand::u64(..));
    let mut preferred_relays = relays.clone();
    preferred_relays.sort_by_key(|relay| relay.zone != settings.zone);
    let claim_relays = preferred_relays.iter().map(|relay| relay.address).collect();
    let (observations, observation_receiver) = sync_channel(OBSERVATION_QUEUE);
    let shared = Arc::new(Shared {
        dispatcher: Dispatcher::new(identity, clock),
        upstreams: UpstreamClient::new(settings.max_body_bytes),
        claims: ClaimClient::start(tls.clone(), claim_relays),
        calls: RequestCounter::default(),
        metrics: metrics(&registry),
        core: Mutex::new(ProxyCore::new(name, stored.clone())),
        routing: RwLock::default(),
        relay: Mutex::default(),
        observations,
        seal_keys,
        operators,
        settings,
        tls,
        clock,
        stop,
    });
    if let Some(stored) = &stored {
        let table = shared.compile_routes(stored).map_err(|reason| ProxyError::File {
            path: shared.settings.data_dir.clone().unwrap_or_default(),
            reason,
        })?;
        shared.install_routes(table);
    }
    let metrics_address = serve_metrics(&shared, registry)?;
    let listen = shared.settings.listen;
    let callers = server::spawn(shared.clone()).context(ListenSnafu { address: listen })?;
    let address = callers.address();
    observe::spawn(&shared, observation_receiver);
    local_backend::spawn(&shared);
    spawn_watch(&shared, chooser);
    shared.tls.clone().watch_files();
    info!(name = %shared.settings.name, %address, "proxy_started");
    Ok(RunningProxy { shared, callers, address, metrics_address })
}

/// Converts the settings of a relay to the form used by [`RelayChooser`].
pub fn relay_address(settings: &settings::RelayAddressSettings) -> RelayAddress {
    RelayAddress {
        address: settings.address,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}

fn check_certificate(tls: &TlsIdentity, settings: &ProxySettings) -> Result<(), ProxyError> {
    let identity = tls.identity();
    let matches = identity.role == Role::Proxy
        && identity.name == settings.name
        && identity.zone == settings.zone;
    let found = format!("{} {} in {}", identity.role, identity.name, identity.zone);
    let expected = format!("{} in {}", settings.name, settings.zone);
    ensure!(matches, WrongCertificateSnafu { found, expected });
    Ok(())
}

/// Loads the keys that decrypt secrets.
pub fn load_seal_keys(path: &Path) -> Result<SealKeys, ProxyError> {
    let file_error = |reason: String| ProxyError::File { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let text = zeroize::Zeroizing::new(text);
    SealKeys::parse(&text).map_err(|error| file_error(error.to_string()))
}

/// Loads the public keys of the operators whose approval is accepted.
pub fn load_operator_keys(path: &Path) -> Result<OperatorKeys, ProxyError> {
    let operators = settings::load_operators(path).context(OperatorsSnafu)?;
    let mut keys = OperatorKeys::default();
    for operator in &operators.operator {
        // Validation of the settings ensures that the key is well-formed.
        let _ = keys.insert_hex(&operator.name, &operator.public_key);
    }
    Ok(keys)
}

fn load_applied(settings: &ProxySettings) -> Result<Option<PreparedConfig>, ProxyError> {
    let Some(dir) = &settings.data_dir else {
        return Ok(None);
    };
    applied_store::load(dir)
        .map_err(|error| ProxyError::File { path: dir.clone(), reason: error.to_string() })
}

fn metrics(registry: &Registry) -> ProxyMetrics {
    ProxyMetrics {
        answered: registry.counter("proxy_calls_answered", "Calls answered by a back end"),
        refused_not_run: registry
            .counter("proxy_calls_refused_not_run", "Calls refused that have not run"),
        refused_may_have_run: registry
            .counter("proxy_calls_refused_may_have_run", "Calls refused that may have run"),
        refused_ran: registry.counter("proxy_calls_refused_ran", "Calls that ran, answer not kept"),
        sent: registry.counter("proxy_sends", "Sends to back ends, retries included"),
        retries: registry.counter("proxy_retries", "Sends after the first of a call"),
        generation: registry.gauge("proxy_generation", "Generation in force"),
        watch: WatchCounters {
            sent_bytes: registry.counter("proxy_control_sent_bytes", "Frames sent to relays"),
            received_bytes: registry
                .counter("proxy_control_received_bytes", "Frames received from relays"),
        },
    }
}

fn serve_metrics(shared: &Arc<Shared>, registry: Registry) -> Result<SocketAddr, ProxyError> {
    let ready_shared = shared.clone();
    let status_shared = shared.clone();
    let server = MetricsServer {
        registry,
        ready: Box::new(move || readiness(&ready_shared)),
        status: Box::new(move || status(&status_shared)),
    };
    server.run(shared.settings.metrics_listen).context(MetricsSnafu)
}

fn readiness(shared: &Shared) -> Result<(), String> {
    if shared.stop.is_set() {
        return Err("stopping".to_owned());
    }
    match shared.lock_core().generation() {
        Some(_) => Ok(()),
        None => Err("no configuration is in force yet".to_owned()),
    }
}

fn status(shared: &Shared) -> String {
    let core = shared.lock_core();
    let staleness_ms = core.staleness_ms(shared.clock.now_ms());
    let refused = core.refused().map(
        |refused| serde_json::json!({ "generation": refused.generation, "error": refused.error }),
    );
    let endpoints: Vec<serde_json::Value> =
        core.endpoints().endpoints().map(|endpoint| serde_json::json!(endpoint)).collect();
    serde_json::json!({
        "name": shared.settings.name,
        "zone": shared.settings.zone,
        "generation": core.generation(),
        "digest": core.bundle().digest(),
        "staleness_ms": staleness_ms,
        "refused": refused,
        "relay": shared.current_relay(),
        "calls_in_flight": shared.calls.in_flight(),
        "endpoints": endpoints,
        "upstreams": shared.dispatcher.status(),
    })
    .to_string()
}

fn spawn_watch(shared: &Arc<Shared>, mut chooser: RelayChooser) {
    let shared = shared.clone();
    thread::spawn(move || {
        let counters = shared.metrics.watch.clone();
        let (clock, stop) = (shared.clock, shared.stop.clone());
        let handler: &Shared = &shared;
        run_watch(&shared.core, &shared.tls, &mut chooser, handler, &counters, clock, &stop);
    });
}

impl RunningProxy {
    /// Waits for the stop signal, lets calls in flight finish within a time limit and returns.
    pub fn wait(&self) {
        let shared = &self.shared;
        shared.stop.wait();
        info!("proxy_draining");
        thread::sleep(Duration::from_millis(shared.settings.drain_notice_ms));
        self.callers.close();
        let limit = Duration::from_millis(shared.settings.drain_limit_ms);
        let wait = QuietWait { quiet: QUIET_PERIOD, limit };
        shared.calls.wait_until_quiet(wait, || self.callers.open_connections() == 0);
        info!(in_flight = shared.calls.in_flight(), "proxy_stopped");
    }
}
