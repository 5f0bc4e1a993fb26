//! A small deployment on loopback: the project's own processes, started with the commands of the
//! deploy file and with settings as its templates make them.

use crate::http;
use crate::record::Record;
use crate::sys;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/chutecove-platform";
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;
pub const GRACE_S: u64 = 6;

/// Ports, alike on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub mesh: u16,
    pub metrics: u16,
    pub inbound: u16,
    pub outbound: u16,
    pub ready: u16,
    pub control: u16,
    pub app: u16,
}

#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Service of the upstream; empty on core machines.
    pub service: String,
    /// Addresses under which the process reaches the core.
    pub seeds: Vec<Ipv4Addr>,
}

/// A deployment; its processes end when it is dropped.
pub struct Fleet {
    pub ports: Ports,
    pub record: Record,
    folder: PathBuf,
    /// First two bytes of all addresses.
    net: (u8, u8),
    running: Mutex<Vec<(String, Child)>>,
}

impl Fleet {
    pub fn new(record: &Record, case: &str) -> io::Result<Arc<Self>> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{case}-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = (127, (pid % 250) as u8 + 2);
        let ports = free_ports()?;
        let running = Mutex::default();
        Ok(Arc::new(Fleet { ports, record: record.clone(), folder, net, running }))
    }

    /// The address with the given last two bytes.
    pub fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net.0, self.net.1, group, number)
    }

    /// The three core machines.
    pub fn core(&self) -> Vec<Machine> {
        let seeds: Vec<Ipv4Addr> = (1..=3).map(|number| self.ip(1, number)).collect();
        let machine = |(index, ip): (usize, &Ipv4Addr)| Machine {
            name: format!("core-{}", index + 1),
            zone: format!("zone-{}", index + 1),
            ip: *ip,
            service: String::new(),
            seeds: seeds.clone(),
        };
        seeds.iter().enumerate().map(machine).collect()
    }

    pub fn sidecar(&self, number: u8, zone: u8, service: &str, seeds: Vec<Ipv4Addr>) -> Machine {
        let name = format!("sidecar-{number}");
        let zone = format!("zone-{zone}");
        Machine { name, zone, ip: self.ip(2, number), service: service.to_owned(), seeds }
    }

    /// Starts the process of a machine.
    pub fn start(&self, machine: &Machine, bootstrap: bool) -> io::Result<()> {
        let role = if machine.service.is_empty() { "coordinator" } else { "sidecar" };
        let settings = self.folder.join(format!("{}.toml", machine.name));
        fs::write(&settings, self.settings(machine, bootstrap)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))?;
        let path = std::env::var("PATH").unwrap_or_default();
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("PATH", path)
            .env("CHUTECOVE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("{} starts ({role}, {})", machine.name, machine.ip));
        self.running.lock().unwrap().push((machine.name.clone(), child));
        Ok(())
    }

    /// The settings, as the templates in `deploy/` give them.
    fn settings(&self, machine: &Machine, bootstrap: bool) -> io::Result<String> {
        let Ports { mesh, metrics, inbound, outbound, ready, control, app } = self.ports;
        let Machine { name, zone, ip, service, seeds } = machine;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:{control}\"")).collect();
        let seeds = seeds.join(",");
        let common = format!(
            "fleet = \"mesh\"\nname = \"{name}\"\nzone = \"{zone}\"\nip = \"{ip}\"\n\
             mesh_port = {mesh}\nmetrics_listen = \"{ip}:{metrics}\"\nseeds = [{seeds}]\n\
             plain_transport = true\n"
        );
        if service.is_empty() {
            let data = self.folder.join(format!("{name}-data"));
            fs::create_dir_all(&data)?;
            let data = data.display();
            return Ok(format!(
                "{common}api_listen = \"{ip}:{control}\"\ndata_dir = \"{data}\"\n\
                 bootstrap = {bootstrap}\ntrusted_source = \"platform-operator\"\n\
                 tolerated_losses = 1\n"
            ));
        }
        Ok(format!(
            "{common}outbound_listen = \"{ip}:{outbound}\"\ninbound_listen = \"{ip}:{inbound}\"\n\
             ready_listen = \"{ip}:{ready}\"\nregistration_listen = \"{ip}:{control}\"\n\
             upstream = \"{ip}:{app}\"\nservice = \"{service}\"\ndrain_ms = {DRAIN_MS}\n\
             stop_ms = {GRACE_S}000\nlink_mbps = 1000.0\n\n[retry_budget]\nratio = 0.2\n\
             slack = 62\nwindow_s = 10\n\n[regions]\n\"zone-1\" = \"region\"\n\
             \"zone-2\" = \"region\"\n\"zone-3\" = \"region\"\n"
        ))
    }

    /// Kills a process as a loss of the process does.
    pub fn kill(&self, machine: &Machine) {
        let mut running = self.running.lock().unwrap();
        if let Some(index) = running.iter().position(|(name, _)| *name == machine.name) {
            let (_, mut child) = running.remove(index);
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("{} is killed", machine.name));
        }
    }

    /// Stops a process as the platform does; true if it has ended within the time.
    pub fn stop(&self, machine: &Machine, longest: Duration) -> bool {
        let mut running = self.running.lock().unwrap();
        let Some(index) = running.iter().position(|(name, _)| *name == machine.name) else {
            return false;
        };
        let (_, mut child) = running.remove(index);
        sys::terminate(child.id());
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if let Ok(Some(_)) = child.try_wait() {
                self.record.note(format!("{} has ended", machine.name));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Empties the disk of a machine whose process is down.
    pub fn lose_disk(&self, machine: &Machine) -> io::Result<()> {
        self.record.note(format!("{} loses its disk", machine.name));
        fs::remove_dir_all(self.folder.join(format!("{}-data", machine.name)))
    }

    pub fn address(&self, machine: &Machine, port: u16) -> SocketAddr {
        SocketAddr::from((machine.ip, port))
    }

    /// Waits until the readiness check of a sidecar answers 200.
    pub fn wait_ready(&self, machine: &Machine, longest: Duration) -> bool {
        let end = Instant::now() + longest;
        let address = self.address(machine, self.ports.ready);
        let head = format!("GET /-/readyz HTTP/1.1\r\nHost: {}\r\n", machine.ip);
        while Instant::now() < end {
            let answer = http::call(address, &head, &[], Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.head.status() == 200) {
                self.record.note(format!("{} is ready", machine.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a configuration to the core until it is acknowledged, as the operator does. Returns who
    /// acknowledged it.
    pub fn configure(
        &self,
        core: &[Machine],
        version: u64,
        builds_on: u64,
        document: &str,
    ) -> Option<SocketAddr> {
        let end = Instant::now() + Duration::from_secs(15);
        let mut target = self.address(&core[0], self.ports.control);
        let mut next = 0;
        while Instant::now() < end {
            let head = format!(
                "POST /-/rpc?call=config.replace HTTP/1.1\r\nHost: {target}\r\n\
                 If-Match: {builds_on:08x}\r\nContent-Type: application/json\r\n"
            );
            let answer =
                http::call(target, &head, document.as_bytes(), Duration::from_millis(1_000));
            let status = answer.as_ref().map_or(0, |answer| answer.head.status());
            match status {
                200 => {
                    self.record.note(format!("{target} acknowledges configuration {version:08x}"));
                    return Some(target);
                }
                307 => {
                    let location =
                        answer.ok().and_then(|answer| http::redirect_target(&answer.head));
                    target = location.unwrap_or(target);
                }
                _ => {
                    next += 1;
                    target = self.address(&core[next % core.len()], self.ports.control);
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
        None
    }

    /// Ends all processes.
    pub fn end(&self) {
        for (_, mut child) in self.running.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ports that are free on loopback.
fn free_ports() -> io::Result<Ports> {
    let mut held = Vec::new();
    let mut ports = BTreeSet::new();
    while ports.len() < 7 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        ports.insert(listener.local_addr()?.port());
        held.push(listener);
    }
    let ports: Vec<u16> = ports.into_iter().collect();
    Ok(Ports {
        mesh: ports[0],
        metrics: ports[1],
        inbound: ports[2],
        outbound: ports[3],
        ready: ports[4],
        control: ports[5],
        app: ports[6],
    })
}
