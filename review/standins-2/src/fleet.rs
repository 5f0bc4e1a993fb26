//! The project's own programs as separate processes on loopback addresses: coordinators and sidecars
//! of a small deployment, started with the commands of the deploy file.

use crate::record::Record;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/chutecove-platform";
const PORTS: [&str; 8] =
    ["mesh", "control", "metrics", "outbound", "inbound", "ready", "application", "last"];
pub const ZONES: [&str; 4] = ["hobart-a", "hobart-b", "glenorchy", "kingston"];

/// A fleet with its addresses, settings files and processes.
pub struct Fleet {
    pub folder: PathBuf,
    network: (u8, u8),
    base_port: u16,
    cores: u8,
    processes: Vec<Running>,
}

struct Running {
    host: u8,
    child: Child,
}

impl Fleet {
    /// Chooses a folder and addresses for `cores` core machines (hosts 1 and up) and the other hosts.
    pub fn new(cores: u8, others: &[u8]) -> io::Result<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = now.subsec_nanos() ^ std::process::id().rotate_left(16);
        let folder = std::env::temp_dir().join(format!("review-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let hosts: Vec<u8> = (1..=cores).chain(others.iter().copied()).collect();
        for attempt in 0..200u32 {
            let drawn = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt.wrapping_mul(7_919));
            let network = (80 + (drawn % 100) as u8, (drawn >> 8) as u8);
            let base_port = 20_000 + (drawn >> 16) as u16 % 10_000;
            let fleet =
                Fleet { folder: folder.clone(), network, base_port, cores, processes: Vec::new() };
            if fleet.is_free(&hosts) {
                return Ok(fleet);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    fn is_free(&self, hosts: &[u8]) -> bool {
        let free =
            |host: &u8| PORTS.iter().all(|port| TcpListener::bind(self.at(*host, port)).is_ok());
        hosts.iter().all(free)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, host)
    }

    /// The address of a host for one of [`PORTS`].
    pub fn at(&self, host: u8, port: &str) -> SocketAddrV4 {
        let offset = PORTS.iter().position(|name| *name == port).expect("a known port");
        SocketAddrV4::new(self.ip(host), self.base_port + offset as u16)
    }

    pub fn cores(&self) -> impl Iterator<Item = u8> {
        1..=self.cores
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> =
            self.cores().take(3).map(|host| format!("\"{}\"", self.at(host, "control"))).collect();
        seeds.join(", ")
    }

    /// Writes the settings of a coordinator as `deploy/coordinator.toml` lays them out.
    pub fn set_up_core(&self, host: u8, bootstrap: bool) -> io::Result<()> {
        let data = self.folder.join(format!("data-{host}"));
        fs::create_dir_all(&data)?;
        let text = format!(
            "fleet = \"mesh\"\nname = \"core-{host}\"\nzone = \"{}\"\nip = \"{}\"\nmesh_port = {}\n\
             api_listen = \"{}\"\nmetrics_listen = \"{}\"\ndata_dir = \"{}\"\nseeds = [{}]\n\
             bootstrap = {bootstrap}\nplain_transport = true\n\
             trusted_source = \"platform-operator\"\nstop_ms = 6000\ntolerated_losses = 1\n",
            ZONES[usize::from(host - 1) % ZONES.len()],
            self.ip(host),
            self.at(host, "mesh").port(),
            self.at(host, "control"),
            self.at(host, "metrics"),
            data.display(),
            self.seeds(),
        );
        fs::write(self.settings(host), text)
    }

    /// Empties the disk of a core machine.
    pub fn lose_disk(&self, host: u8) -> io::Result<()> {
        fs::remove_dir_all(self.folder.join(format!("data-{host}")))
    }

    /// Writes the settings of a sidecar as `deploy/sidecar.toml` lays them out.
    pub fn set_up_sidecar(&self, host: u8, service: &str, zone: &str) -> io::Result<()> {
        let regions: Vec<String> =
            ZONES.iter().map(|zone| format!("\"{zone}\" = \"tas-south\"")).collect();
        let text = format!(
            "fleet = \"mesh\"\nname = \"sidecar-{host}\"\nzone = \"{zone}\"\nip = \"{}\"\n\
             mesh_port = {}\noutbound_listen = \"{}\"\ninbound_listen = \"{}\"\nready_listen = \"{}\"\n\
             registration_listen = \"{}\"\nmetrics_listen = \"{}\"\nupstream = \"{}\"\n\
             service = \"{service}\"\nseeds = [{}]\nplain_transport = true\ndrain_ms = 2000\n\
             stop_ms = 6000\nlink_mbps = 1000.0\n\n[retry_budget]\nratio = 0.2\nslack = 62\n\
             window_s = 10\n\n[regions]\n{}\n",
            self.ip(host),
            self.at(host, "mesh").port(),
            self.at(host, "outbound"),
            self.at(host, "inbound"),
            self.at(host, "ready"),
            self.at(host, "control"),
            self.at(host, "metrics"),
            self.at(host, "application"),
            self.seeds(),
            regions.join("\n"),
        );
        fs::write(self.settings(host), text)
    }

    fn settings(&self, host: u8) -> PathBuf {
        self.folder.join(format!("node-{host}.toml"))
    }

    /// Starts a role on a host, with the command of the deploy file.
    pub fn start(&mut self, host: u8, role: &str) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{host}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("CHUTECOVE_NODE_FILE", self.settings(host))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.processes.push(Running { host, child });
        Ok(())
    }

    /// Kills the processes of these hosts at one moment.
    pub fn kill(&mut self, hosts: &[u8]) {
        let mut ended: Vec<Running> = Vec::new();
        let mut at = 0;
        while at < self.processes.len() {
            if hosts.contains(&self.processes[at].host) {
                let mut running = self.processes.remove(at);
                let _ = running.child.kill();
                ended.push(running);
            } else {
                at += 1;
            }
        }
        for running in &mut ended {
            let _ = running.child.wait();
        }
    }

    /// Memory of its own that the process of a host holds, in kB: neither the program nor its files.
    pub fn memory_kb(&self, host: u8) -> Option<u64> {
        let running = self.processes.iter().find(|running| running.host == host)?;
        let status = fs::read_to_string(format!("/proc/{}/status", running.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Copies the lines of a host's log that contain one of the words into the record.
    pub fn note_log(&self, host: u8, words: &[&str], record: &Record) {
        let path = self.folder.join(format!("node-{host}.log"));
        let text = fs::read_to_string(&path).unwrap_or_default();
        for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
            record.note(&format!("log of host {host}: {line}"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for running in &mut self.processes {
            let _ = running.child.kill();
        }
        for running in &mut self.processes {
            let _ = running.child.wait();
        }
        remove(&self.folder);
    }
}

fn remove(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(folder);
    }
}
