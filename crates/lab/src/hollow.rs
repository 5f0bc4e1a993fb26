//! `chutecove-lab hollow`: many proxies in one process, with the product's control client and wire
//! format but without call traffic.
//!
//! Each hollow proxy has its own name, certificate, connection and state. It verifies the approval
//! and compiles the routing table as a full proxy does, then discards the table.

use bundle::{Approval, OperatorKeys, SealKeys};
use endpoints::EndpointView;
use forward::RoutingTable;
use getopts::Options;
use proxy::{
    load_operator_keys, load_seal_keys, relay_address, run_watch, PreparedConfig, ProxyCore,
    RelayAddress, RelayChooser, WatchCounters, WatchHandler,
};
use rollout::ProxyName;
use serde::{Deserialize, Serialize};
use settings::ProxySettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};
use telemetry::{Clock, StopSignal};
use wire::{TlsFiles, TlsIdentity};

const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Status that a hollow process reports for its proxies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowStatus {
    /// Generation in force on each proxy; 0 before the first one is applied.
    pub generations: Vec<u64>,
    /// Generation and time of each application, microseconds since 1970.
    pub applied: Vec<(u64, u64)>,
    /// Frame bytes sent to relays, summed over the proxies.
    pub sent_bytes: u64,
    /// Frame bytes received from relays, summed over the proxies.
    pub received_bytes: u64,
}

struct VerificationKeys {
    seal: SealKeys,
    operators: OperatorKeys,
}

struct HollowProxy {
    core: Mutex<ProxyCore>,
    counters: WatchCounters,
    keys: Arc<VerificationKeys>,
    applied: Arc<Mutex<Vec<(u64, u64)>>>,
}

impl WatchHandler for HollowProxy {
    fn apply_config(
        &self,
        prepared: &PreparedConfig,
        approval: Option<&Approval>,
    ) -> Result<(), String> {
        if prepared.generation > 0 {
            let approval = approval.ok_or("the bundle has no approval")?;
            let digest = prepared.bundle.digest();
            let verified = self.keys.operators.verify_approval(&digest, approval);
            verified.map_err(|error| error.to_string())?;
        }
        RoutingTable::compile(prepared.generation, &prepared.bundle, &self.keys.seal)
            .map_err(|error| error.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = (prepared.generation, now.as_micros() as u64);
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
        Ok(())
    }

    fn endpoints_changed(&self, _endpoints: &EndpointView) {}
}

/// Runs hollow proxies until a stop signal arrives.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let mut options = Options::new();
    options.reqopt("", "status", "address for the status", "ADDRESS");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let status: SocketAddr = matches
        .opt_str("status")
        .and_then(|text| text.parse().ok())
        .ok_or("--status is not an address")?;
    let stop = StopSignal::install().map_err(|error| error.to_string())?;
    let applied = Arc::new(Mutex::new(Vec::new()));
    let mut keys = None;
    let mut proxies = Vec::new();
    for path in matches.free.iter().map(PathBuf::from) {
        let settings: ProxySettings =
            settings::load(&path, &[]).map_err(|error| error.to_string())?;
        let keys = match &keys {
            Some(keys) => Arc::clone(keys),
            None => keys.insert(Arc::new(load_keys(&settings)?)).clone(),
        };
        proxies.push(start_proxy(settings, keys, applied.clone(), &stop)?);
    }
    let server = rouille::Server::new(status, move |_| {
        rouille::Response::json(&collect_status(&proxies, &applied))
    })
    .map_err(|error| error.to_string())?;
    thread::spawn(move || server.run());
    stop.wait();
    Ok(())
}

fn load_keys(settings: &ProxySettings) -> Result<VerificationKeys, crate::Failure> {
    let seal = load_seal_keys(&settings.seal_key_file).map_err(|error| error.to_string())?;
    let operators =
        load_operator_keys(&settings.operators_file).map_err(|error| error.to_string())?;
    Ok(VerificationKeys { seal, operators })
}

fn start_proxy(
    settings: ProxySettings,
    keys: Arc<VerificationKeys>,
    applied: Arc<Mutex<Vec<(u64, u64)>>>,
    stop: &StopSignal,
) -> Result<Arc<HollowProxy>, crate::Failure> {
    let name = ProxyName { id: settings.name.clone(), zone: settings.zone.clone() };
    let core = Mutex::new(ProxyCore::new(name, None));
    let proxy = Arc::new(HollowProxy { core, counters: WatchCounters::default(), keys, applied });
    let (client_proxy, stop) = (proxy.clone(), stop.clone());
    let builder = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
    let spawned = builder.spawn(move || run_control_client(&client_proxy, &settings, &stop));
    spawned.map_err(|error| error.to_string())?;
    Ok(proxy)
}

fn run_control_client(proxy: &HollowProxy, settings: &ProxySettings, stop: &StopSignal) {
    let files = TlsFiles {
        authority: settings.tls.authority.clone(),
        certificate: settings.tls.certificate.clone(),
        key: settings.tls.key.clone(),
    };
    let tls = match TlsIdentity::load(files) {
        Ok(tls) => tls,
        Err(error) => {
            eprintln!("{}: {error}", settings.name);
            return;
        }
    };
    let relays: Vec<RelayAddress> = settings.relay.iter().map(relay_address).collect();
    let seed = fastrand::u64(..);
    let mut chooser = RelayChooser::new(&relays, &settings.zone, &settings.region, seed);
    let clock = Clock::default();
    run_watch(&proxy.core, &tls, &mut chooser, proxy, &proxy.counters, clock, stop);
}

fn collect_status(proxies: &[Arc<HollowProxy>], applied: &Mutex<Vec<(u64, u64)>>) -> HollowStatus {
    let generation = |proxy: &Arc<HollowProxy>| {
        let core = proxy.core.lock().unwrap_or_else(PoisonError::into_inner);
        core.generation().unwrap_or(0)
    };
    HollowStatus {
        generations: proxies.iter().map(generation).collect(),
        applied: applied.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        sent_bytes: proxies.iter().map(|proxy| proxy.counters.sent_bytes.get()).sum(),
        received_bytes: proxies.iter().map(|proxy| proxy.counters.received_bytes.get()).sum(),
    }
}
