//! The processes of a small fleet. Each machine has its own loopback address, since all machines
//! use the same ports.

use super::cut::CuttableLinks;
use crate::fleet::{ManagedProcess, PortRange};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Host numbers (last octet of the address) of the coordinators.
pub const COORDINATORS: [u8; 3] = [1, 2, 3];
/// Host numbers of the sidecars whose upstreams belong to [`SERVICE`].
pub const UPSTREAMS: [u8; 4] = [11, 12, 13, 14];
/// Host numbers of the sidecars that only have callers.
pub const CALLERS: [u8; 2] = [21, 22];
/// The service that callers call.
pub const SERVICE: &str = "fares";
/// Time after which a draining upstream receives no more calls, milliseconds.
pub const DRAIN_MS: u64 = 1_000;
/// Link bandwidth in the settings of the sidecars; low, so that long bodies need many flow-control
/// grants.
const LINK_MBPS: f64 = 6.4;
/// Retries allowed per call.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Retries allowed in addition, per window.
pub const RETRY_BUDGET_SLACK: f64 = 50.0;
/// Window of the retry budget, seconds.
pub const RETRY_BUDGET_WINDOW_S: u64 = 10;
/// Time limit of a planned stop, milliseconds.
pub const STOP_LIMIT_MS: u64 = 5_000;

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    mesh: u16,
    /// Operator API of a coordinator.
    pub api: u16,
    metrics: u16,
    /// Where a sidecar listens for callers.
    pub outbound: u16,
    inbound: u16,
    ready: u16,
    /// Where a sidecar listens for the registrations of its upstream.
    pub registration: u16,
    /// Where the upstream listens.
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

/// Host number of the first machine that replaces a coordinator; the ones below the upstreams' are free.
pub fn first_successor() -> u8 {
    COORDINATORS[COORDINATORS.len() - 1] + 1
}

/// The bit that stands for a host in a set of hosts.
pub fn host_bit(host: u8) -> u64 {
    1 << host
}

/// Whether a host runs a coordinator, one of the first or a successor.
pub fn is_coordinator(host: u8) -> bool {
    host < UPSTREAMS[0]
}

/// All processes of a fleet; dropping it kills them.
pub struct Machines {
    folder: PathBuf,
    network: u8,
    /// Hosts whose coordinators have not been removed.
    coordinators: Vec<u8>,
    /// Ports of every machine.
    pub ports: Ports,
    processes: BTreeMap<u8, ManagedProcess>,
    /// The machine whose links to the coordinators can be cut.
    cuttable: Option<(u8, CuttableLinks)>,
}

impl Machines {
    /// Creates a fleet without processes. Settings, data directories and logs go into `folder`.
    pub fn new(folder: &Path, network: u8) -> Self {
        let ports = Ports::find();
        let folder = folder.to_owned();
        Machines {
            folder,
            network,
            coordinators: COORDINATORS.to_vec(),
            ports,
            processes: BTreeMap::new(),
            cuttable: None,
        }
    }

    /// Hosts whose coordinators have not been removed.
    pub fn coordinators(&self) -> &[u8] {
        &self.coordinators
    }

    /// Addresses of the coordinators that have not been removed.
    pub fn coordinator_addresses(&self) -> Vec<Ipv4Addr> {
        self.coordinators.iter().map(|host| self.ip(*host)).collect()
    }

    /// Starts an empty coordinator on a host that had none.
    pub fn add_coordinator(&mut self, host: u8) -> io::Result<()> {
        self.coordinators.push(host);
        self.start(host, false)
    }

    /// Removes a coordinator for good. The settings of all others name machines that exist from now on.
    pub fn remove(&mut self, host: u8) -> io::Result<()> {
        self.coordinators.retain(|other| *other != host);
        self.processes.remove(&host);
        let hosts: Vec<u8> = self.processes.keys().copied().collect();
        for host in hosts {
            self.write_settings(host, false)?;
        }
        Ok(())
    }

    /// Puts links that can be cut between a machine and the coordinators, before its first start.
    pub fn make_cuttable(&mut self, host: u8) -> io::Result<()> {
        let coordinators = COORDINATORS.map(|coordinator| self.ip(coordinator));
        self.cuttable = Some((host, CuttableLinks::start(&coordinators, 0, self.ports.mesh)?));
        Ok(())
    }

    /// The links that can be cut.
    pub fn cuttable_links(&self) -> Option<&CuttableLinks> {
        self.cuttable.as_ref().map(|(_, links)| links)
    }

    /// The port at which a sidecar reaches the coordinators.
    fn mesh_port_of(&self, host: u8) -> u16 {
        let cuttable = self.cuttable.as_ref().filter(|(cuttable, _)| *cuttable == host);
        cuttable.map_or(self.ports.mesh, |(_, links)| links.mesh_port)
    }

    /// Returns the address of a machine.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 78, self.network, host)
    }

    fn seeds(&self) -> String {
        let seed = |host: u8| format!("\"{}:{}\"", self.ip(host), self.ports.api);
        let first = self.coordinators.iter().take(COORDINATORS.len());
        first.map(|host| seed(*host)).collect::<Vec<_>>().join(", ")
    }

    fn data_dir(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts the process of a machine; `bootstrap` is set only for the first start of the fleet.
    pub fn start(&mut self, host: u8, bootstrap: bool) -> io::Result<()> {
        let role = role_of(host);
        let name = process_name(host);
        let path = self.write_settings(host, bootstrap)?.to_string_lossy().into_owned();
        let arguments = ["product", role, "--settings", &path].map(str::to_owned);
        let log = self.folder.join(log_name(host));
        let process = ManagedProcess::start(&name, &arguments, &log)?;
        self.processes.insert(host, process);
        Ok(())
    }

    /// Writes the settings file of a machine; returns its path.
    fn write_settings(&self, host: u8, bootstrap: bool) -> io::Result<PathBuf> {
        let settings = match is_coordinator(host) {
            true => self.coordinator_settings(host, bootstrap),
            false => self.sidecar_settings(host),
        };
        let path = self.folder.join(format!("{}-{host}.toml", role_of(host)));
        fs::write(&path, settings)?;
        Ok(path)
    }

    /// Returns the process of a machine, if it has been started.
    pub fn process(&mut self, host: u8) -> Option<&mut ManagedProcess> {
        self.processes.get_mut(&host)
    }

    /// Returns whether a sidecar reports that it is ready.
    pub fn is_ready(&self, host: u8) -> bool {
        let url = format!("http://{}:{}/readyz", self.ip(host), self.ports.ready);
        super::agent().get(&url).call().is_ok_and(|resp| resp.status() == 200)
    }

    /// Deletes a coordinator's data directory.
    pub fn delete_data_dir(&self, host: u8) -> io::Result<()> {
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
             seeds = [{}]\nplain_transport = true\ndrain_ms = {DRAIN_MS}\nstop_ms = {STOP_LIMIT_MS}\n\
             link_mbps = {LINK_MBPS}\n\
             [retry_budget]\nratio = {RETRY_BUDGET_RATIO}\nslack = {RETRY_BUDGET_SLACK}\n\
             window_s = {RETRY_BUDGET_WINDOW_S}\n",
            host % 2,
            self.mesh_port_of(host),
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

/// The name of the log of a machine's processes, in the folder of the fleet.
pub fn log_name(host: u8) -> String {
    format!("{}.log", process_name(host))
}

fn process_name(host: u8) -> String {
    format!("{}-{host}", role_of(host))
}

fn role_of(host: u8) -> &'static str {
    match is_coordinator(host) {
        true => "coordinator",
        false => "sidecar",
    }
}
