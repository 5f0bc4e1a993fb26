//! The processes of a small fleet, each machine a loopback address of its own, since ports are
//! alike on all machines.

use crate::fleet::{ManagedProcess, PortRange};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Hosts of the coordinators.
pub const COORDINATORS: [u8; 3] = [1, 2, 3];
/// Hosts of the sidecars whose upstreams belong to [`SERVICE`].
pub const UPSTREAMS: [u8; 4] = [11, 12, 13, 14];
/// Hosts of sidecars that only have callers.
pub const CALLERS: [u8; 2] = [21, 22];
/// The service that is called.
pub const SERVICE: &str = "fares";
/// Time after which an upstream that leaves is given nothing, milliseconds.
pub const DRAIN_MS: u64 = 1_000;
/// What the sidecars are told of their links: so little that long bodies come in many grants.
const LINK_MBPS: f64 = 6.4;
/// The bound on repeats, per call.
pub const REPEAT_RATIO: f64 = 0.2;
/// Repeats granted besides.
pub const REPEAT_SLACK: f64 = 50.0;
/// Length of its window, seconds.
pub const REPEAT_WINDOW_S: u64 = 10;
/// Longest planned stop, milliseconds.
pub const STOP_MS: u64 = 5_000;

/// Ports, alike on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    mesh: u16,
    /// Of the operators' interface.
    pub api: u16,
    metrics: u16,
    /// For callers.
    pub outbound: u16,
    inbound: u16,
    ready: u16,
    /// Where an upstream registers.
    pub registration: u16,
    /// Of the upstream.
    pub upstream: u16,
}

impl Ports {
    fn find() -> Self {
        let mut range = PortRange::default();
        let mut next = || range.next_address().port();
        Ports {
            mesh: next(),
            api: next(),
            metrics: next(),
            outbound: next(),
            inbound: next(),
            ready: next(),
            registration: next(),
            upstream: next(),
        }
    }
}

/// All processes of a fleet; they are ended with it.
pub struct Machines {
    folder: PathBuf,
    network: u8,
    /// Ports of every machine.
    pub ports: Ports,
    processes: BTreeMap<u8, ManagedProcess>,
}

impl Machines {
    /// A fleet without processes yet; settings, disks and logs go into `folder`.
    pub fn new(folder: &Path, network: u8) -> Self {
        let ports = Ports::find();
        Machines { folder: folder.to_owned(), network, ports, processes: BTreeMap::new() }
    }

    /// Address of a machine.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 78, self.network, host)
    }

    fn seeds(&self) -> String {
        let seed = |host: u8| format!("\"{}:{}\"", self.ip(host), self.ports.api);
        COORDINATORS.map(seed).join(", ")
    }

    fn data_dir(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts the process of a machine; `bootstrap` only at the first start of all.
    pub fn start(&mut self, host: u8, bootstrap: bool) -> io::Result<()> {
        let (role, settings) = match COORDINATORS.contains(&host) {
            true => ("coordinator", self.coordinator_settings(host, bootstrap)),
            false => ("sidecar", self.sidecar_settings(host)),
        };
        let name = format!("{role}-{host}");
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let path = path.to_string_lossy().into_owned();
        let arguments = ["product", role, "--settings", &path].map(str::to_owned);
        let log = self.folder.join(format!("{name}.log"));
        let process = ManagedProcess::start(&name, &arguments, &log)?;
        self.processes.insert(host, process);
        Ok(())
    }

    /// The process of a machine.
    pub fn process(&mut self, host: u8) -> Option<&mut ManagedProcess> {
        self.processes.get_mut(&host)
    }

    /// Whether a sidecar says that it is ready.
    pub fn is_ready(&self, host: u8) -> bool {
        let url = format!("http://{}:{}/readyz", self.ip(host), self.ports.ready);
        super::agent().get(&url).call().is_ok_and(|resp| resp.status() == 200)
    }

    /// Removes a coordinator's disk.
    pub fn wipe(&self, host: u8) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir(host))
    }

    fn coordinator_settings(&self, host: u8, bootstrap: bool) -> String {
        let (ip, ports) = (self.ip(host), &self.ports);
        format!(
            "fleet = \"soak\"\nname = \"coordinator-{host}\"\nip = \"{ip}\"\nmesh_port = {}\n\
             api_listen = \"{ip}:{}\"\nmetrics_listen = \"{ip}:{}\"\ndata_dir = {:?}\n\
             seeds = [{}]\nbootstrap = {bootstrap}\nplain_transport = true\n\
             trusted_source = \"soak\"\n",
            ports.mesh,
            ports.api,
            ports.metrics,
            self.data_dir(host),
            self.seeds(),
        )
    }

    fn sidecar_settings(&self, host: u8) -> String {
        let (ip, ports) = (self.ip(host), &self.ports);
        let service = if UPSTREAMS.contains(&host) { SERVICE } else { "callers" };
        format!(
            "fleet = \"soak\"\nname = \"sidecar-{host}\"\nzone = \"zone-{}\"\nip = \"{ip}\"\n\
             mesh_port = {}\noutbound_listen = \"{ip}:{}\"\ninbound_listen = \"{ip}:{}\"\n\
             ready_listen = \"{ip}:{}\"\nregistration_listen = \"{ip}:{}\"\n\
             metrics_listen = \"{ip}:{}\"\nupstream = \"{ip}:{}\"\nservice = \"{service}\"\n\
             seeds = [{}]\nplain_transport = true\ndrain_ms = {DRAIN_MS}\nstop_ms = {STOP_MS}\n\
             link_mbps = {LINK_MBPS}\n\
             [retry_budget]\nratio = {REPEAT_RATIO}\nslack = {REPEAT_SLACK}\n\
             window_s = {REPEAT_WINDOW_S}\n",
            host % 2,
            ports.mesh,
            ports.outbound,
            ports.inbound,
            ports.ready,
            ports.registration,
            ports.metrics,
            ports.upstream,
            self.seeds(),
        )
    }
}
