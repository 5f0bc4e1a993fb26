//! Runs a [`RelayCore`] with sockets, threads and a clock.

use crate::claim_forward::ClaimForwarder;
use crate::{control_link, mirror, platform, serve, RelayCore, RelayParameters};
use endpoints::MassExpiryGuard;
use settings::RelaySettings;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{Clock, Counter, Gauge, MetricsServer, MetricsServerError, Registry, StopSignal};
use tracing::{info, warn};
use wire::{Identity, Purpose, Role, Server, ServerError, TlsError, TlsFiles, TlsIdentity};

/// On a planned stop, maximum wait for proxies to move to other relays.
const STOP_LIMIT: Duration = Duration::from_secs(3);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents a relay from starting.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The TLS files could not be loaded.
    #[snafu(display("{source}"))]
    Tls {
        /// Underlying error.
        source: TlsError,
    },
    /// The certificate was issued for another role, name or zone.
    #[snafu(display("the certificate is for {found}, but the settings require relay {expected}"))]
    WrongCertificate {
        /// Role, name and zone in the certificate.
        found: String,
        /// Name and zone in the settings.
        expected: String,
    },
    /// The address for proxies could not be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// Underlying error.
        source: ServerError,
    },
    /// The metrics server could not be started.
    #[snafu(display("{source}"))]
    Metrics {
        /// Underlying error.
        source: MetricsServerError,
    },
}

/// State protected by the lock.
pub(crate) struct LockedState {
    pub core: RelayCore,
    /// Increases whenever the report to control changes.
    pub report_version: u64,
}

/// Metrics of a relay.
pub(crate) struct RelayMetrics {
    pub proxy_sent_bytes: Counter,
    pub proxy_received_bytes: Counter,
    pub deltas_sent: Counter,
    pub snapshots_sent: Counter,
    pub rejected_proxies: Counter,
    pub sessions: Gauge,
    pub generation: Gauge,
}

/// State shared by the threads of a relay.
pub(crate) struct Shared {
    pub settings: RelaySettings,
    pub tls: Arc<TlsIdentity>,
    pub clock: Clock,
    pub stop: StopSignal,
    pub metrics: RelayMetrics,
    pub claims: ClaimForwarder,
    locked: Mutex<LockedState>,
    /// Wakes the held requests of proxies and peers when there is an update.
    pub update_available: Condvar,
    /// Wakes the reporting thread.
    pub report_changed_signal: Condvar,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the reporting thread that the report has changed.
    pub fn report_changed(&self, locked: &mut LockedState) {
        locked.report_version += 1;
        self.report_changed_signal.notify_one();
    }
}

/// A relay running on background threads.
pub struct RunningRelay {
    shared: Arc<Shared>,
    /// Bound address for proxies and other relays.
    pub address: SocketAddr,
    /// Bound address of the metrics server.
    pub metrics_address: SocketAddr,
}

/// Starts a relay on background threads.
pub fn run(settings: RelaySettings, stop: StopSignal) -> Result<RunningRelay, RelayError> {
    let files = TlsFiles {
        authority: settings.tls.authority.clone(),
        certificate: settings.tls.certificate.clone(),
        key: settings.tls.key.clone(),
    };
    let tls = TlsIdentity::load(files).context(TlsSnafu)?;
    check_certificate(&tls, &settings)?;
    let registry = Registry::default();
    let epoch = fastrand::u64(1..);
    let parameters = RelayParameters {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        epoch,
        proxy_lease_ms: settings.proxy_lease_ms,
        max_catch_ups: settings.max_catch_ups as usize,
        guard: MassExpiryGuard::default(),
        weakness: None,
    };
    let shared = Arc::new(Shared {
        claims: ClaimForwarder::new(&settings),
        tls,
        clock: Clock::default(),
        stop,
        metrics: metrics(&registry),
        locked: Mutex::new(LockedState { core: RelayCore::new(parameters), report_version: 0 }),
        update_available: Condvar::new(),
        report_changed_signal: Condvar::new(),
        settings,
    });
    let metrics_address = serve_metrics(&shared, registry)?;
    let address = serve_connections(&shared)?;
    control_link::spawn(&shared);
    platform::spawn(&shared);
    mirror::spawn(&shared);
    shared.tls.clone().watch_files();
    info!(name = %shared.settings.name, %address, "relay_started");
    Ok(RunningRelay { shared, address, metrics_address })
}

fn check_certificate(tls: &TlsIdentity, settings: &RelaySettings) -> Result<(), RelayError> {
    let identity = tls.identity();
    let matches = identity.role == Role::Relay
        && identity.name == settings.name
        && identity.zone == settings.zone;
    let found = format!("{} {} in {}", identity.role, identity.name, identity.zone);
    let expected = format!("{} in {}", settings.name, settings.zone);
    snafu::ensure!(matches, WrongCertificateSnafu { found, expected });
    Ok(())
}

fn metrics(registry: &Registry) -> RelayMetrics {
    RelayMetrics {
        proxy_sent_bytes: registry.counter("relay_proxy_sent_bytes", "Frames sent to proxies"),
        proxy_received_bytes: registry
            .counter("relay_proxy_received_bytes", "Frames received from proxies"),
        deltas_sent: registry.counter("relay_deltas_sent", "Configuration deltas sent to proxies"),
        snapshots_sent: registry.counter("relay_snapshots_sent", "Whole bundles sent to proxies"),
        rejected_proxies: registry
            .counter("relay_proxies_turned_away", "Proxies told to come back"),
        sessions: registry.gauge("relay_sessions", "Connected proxies"),
        generation: registry.gauge("relay_newest_generation", "Newest generation held"),
    }
}

fn serve_metrics(shared: &Arc<Shared>, registry: Registry) -> Result<SocketAddr, RelayError> {
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
    let locked = shared.lock();
    match locked.core.view() {
        Some(_) => Ok(()),
        None => Err("control was not reached yet".to_owned()),
    }
}

fn status(shared: &Shared) -> String {
    let now_ms = shared.clock.now_ms();
    let mut locked = shared.lock();
    let report = locked.core.report(now_ms);
    let core = &locked.core;
    serde_json::json!({
        "name": shared.settings.name,
        "zone": shared.settings.zone,
        "newest_generation": core.view().map(|view| view.newest_generation()),
        "source_age_ms": core.source_age_ms(now_ms),
        "sessions": core.session_count(),
        "endpoints": core.endpoints().len(),
        "proxies_by_generation": report.by_generation,
        "unknown": report.unknown,
        "laggards": report.laggards,
    })
    .to_string()
}

fn serve_connections(shared: &Arc<Shared>) -> Result<SocketAddr, RelayError> {
    let max_connections = shared.settings.max_connections as usize;
    let server = Server::bind(shared.settings.listen, max_connections).context(ListenSnafu)?;
    let address = server.address();
    let handler_shared = shared.clone();
    server.run(
        shared.tls.clone(),
        shared.stop.flag(),
        Arc::new(is_allowed),
        Arc::new(|error| warn!(%error, "connection_refused")),
        Arc::new(move |connection| serve::serve(&handler_shared, connection)),
    );
    Ok(address)
}

fn is_allowed(peer: &Identity, purpose: Purpose) -> bool {
    match purpose {
        Purpose::ProxyWatch | Purpose::ProxyReport | Purpose::Claims => peer.role == Role::Proxy,
        Purpose::Mirror => peer.role == Role::Relay,
        Purpose::Consensus | Purpose::RelayWatch | Purpose::RelayReport => false,
    }
}

impl RunningRelay {
    /// Waits for the stop signal, tells proxies to connect to other relays and returns when they have
    /// disconnected or a time limit is reached.
    pub fn wait(&self) {
        self.shared.stop.wait();
        info!("relay_stopping");
        self.shared.update_available.notify_all();
        let mut waited = Duration::ZERO;
        while self.shared.lock().core.session_count() > 0 && waited < STOP_LIMIT {
            thread::sleep(STOP_POLL_INTERVAL);
            waited += STOP_POLL_INTERVAL;
        }
        info!("relay_stopped");
    }
}
