//! Threads and sockets around [`RelayCore`].

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

/// How often certificates are looked at for changes.
/// Longest wait for proxies to go elsewhere on a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(3);
const STOP_POLL: Duration = Duration::from_millis(20);

/// A relay could not start.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// Certificates.
    #[snafu(display("{source}"))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The certificate is another process's.
    #[snafu(display("the certificate is for {found}, the settings for relay {expected}"))]
    WrongCertificate {
        /// Role and name in the certificate.
        found: String,
        /// Name in the settings.
        expected: String,
    },
    /// Address for proxies.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: ServerError,
    },
    /// Address for metrics.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: MetricsServerError,
    },
}

/// What the lock protects.
pub(crate) struct Locked {
    pub core: RelayCore,
    /// Rises when the report to control changed.
    pub report_version: u64,
}

/// Metrics of a relay.
pub(crate) struct RelayMetrics {
    pub proxy_sent_bytes: Counter,
    pub proxy_received_bytes: Counter,
    pub deltas: Counter,
    pub snapshots: Counter,
    pub turned_away: Counter,
    pub sessions: Gauge,
    pub generation: Gauge,
}

/// Everything the threads of one relay share.
pub(crate) struct Shared {
    pub settings: RelaySettings,
    pub tls: Arc<TlsIdentity>,
    pub clock: Clock,
    pub stop: StopSignal,
    pub metrics: RelayMetrics,
    pub claims: ClaimForwarder,
    locked: Mutex<Locked>,
    /// Wakes held requests of proxies and peers.
    pub news: Condvar,
    /// Wakes the reporter.
    pub reports: Condvar,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, Locked> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the reporter that acknowledgements changed.
    pub fn report_changed(&self, locked: &mut Locked) {
        locked.report_version += 1;
        self.reports.notify_one();
    }
}

/// A relay that runs in threads of its own.
pub struct RunningRelay {
    shared: Arc<Shared>,
    /// Address in use for proxies.
    pub address: SocketAddr,
    /// Address in use for metrics.
    pub metrics_address: SocketAddr,
}

/// Starts a relay.
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
        locked: Mutex::new(Locked { core: RelayCore::new(parameters), report_version: 0 }),
        news: Condvar::new(),
        reports: Condvar::new(),
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
        deltas: registry.counter("relay_deltas_sent", "Configuration deltas sent to proxies"),
        snapshots: registry.counter("relay_snapshots_sent", "Whole bundles sent to proxies"),
        turned_away: registry.counter("relay_proxies_turned_away", "Proxies told to come back"),
        sessions: registry.gauge("relay_sessions", "Connected proxies"),
        generation: registry.gauge("relay_newest_generation", "Newest generation held"),
    }
}

fn serve_metrics(shared: &Arc<Shared>, registry: Registry) -> Result<SocketAddr, RelayError> {
    let for_ready = shared.clone();
    let for_status = shared.clone();
    let server = MetricsServer {
        registry,
        ready: Box::new(move || readiness(&for_ready)),
        status: Box::new(move || status(&for_status)),
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
    let most = shared.settings.max_connections as usize;
    let server = Server::bind(shared.settings.listen, most).context(ListenSnafu)?;
    let address = server.address();
    let for_handler = shared.clone();
    server.run(
        shared.tls.clone(),
        shared.stop.flag(),
        Arc::new(is_allowed),
        Arc::new(|error| warn!(%error, "connection_refused")),
        Arc::new(move |connection| serve::serve(&for_handler, connection)),
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
    /// Waits for the stop signal, then sends the proxies elsewhere and returns.
    pub fn wait(&self) {
        self.shared.stop.wait();
        info!("relay_stopping");
        self.shared.news.notify_all();
        let mut waited = Duration::ZERO;
        while self.shared.lock().core.session_count() > 0 && waited < STOP_LIMIT {
            thread::sleep(STOP_POLL);
            waited += STOP_POLL;
        }
        info!("relay_stopped");
    }
}
