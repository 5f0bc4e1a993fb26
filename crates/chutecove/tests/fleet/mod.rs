//! Test harness that runs a small fleet of real processes: three coordinators, sidecars with test
//! upstreams, and an operator. Each host has its own loopback address, since all hosts use the same ports.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod callers;
pub mod crashing;
#[path = "../../../lab/src/soak/cut.rs"]
pub mod cut;
pub mod hollow;
pub mod late_upstream;
pub mod raw_http;

use serde_json::{json, Value};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_chutecove");
/// Upper limit of every wait; only a broken fleet comes near it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
pub const SERVICE: &str = "fares";

/// Number of log lines of each process that are printed if the test fails.
const LOG_LINES_SHOWN: usize = 400;

/// A process that is killed when the value is dropped.
pub struct RunningProcess {
    child: Child,
    name: String,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl RunningProcess {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }

    /// Whether one of its last lines contains all of these.
    pub fn has_logged(&self, parts: &[&str]) -> bool {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().any(|line| parts.iter().all(|part| line.contains(part)))
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name}");
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            // A failure that is hard to reproduce must leave the logs that show its cause.
            let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.iter().for_each(|line| eprintln!("{} {line}", self.name));
        }
    }
}

/// Reads an output of a process in a thread and keeps its last lines, so that the process never blocks on a
/// full pipe.
fn keep_lines(output: impl Read + Send + 'static, lines: &Arc<Mutex<VecDeque<String>>>) {
    let kept = lines.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
            kept.push_back(line);
            if kept.len() > LOG_LINES_SHOWN {
                kept.pop_front();
            }
        }
    });
}

/// Ports that every host of a fleet uses.
pub struct Ports {
    pub mesh: u16,
    pub api: u16,
    pub metrics: u16,
    pub outbound: u16,
    pub inbound: u16,
    pub ready: u16,
    pub registration: u16,
    pub upstream: u16,
    /// Where links that can be cut reach the coordinators.
    pub cut: u16,
}

/// A fleet of processes and the addresses they use.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub network: u8,
    pub ports: Ports,
    /// Locks the addresses while they are in use; other runs of the tests wait for it.
    _address_lock: fs::File,
}

/// Waits until no other run of the tests uses the addresses of a network. Without the lock, a port that is
/// free on one host of a fleet could be in use on another host by a run that chose other ports.
fn lock_addresses(network: u8) -> fs::File {
    let path = std::env::temp_dir().join(format!("chutecove-test-network-{network}"));
    let file = fs::File::create(path).expect("created");
    file.lock().expect("locked");
    file
}

pub fn free_port(taken: &mut Vec<u16>, address: Ipv4Addr) -> u16 {
    loop {
        let listener = TcpListener::bind((address, 0)).expect("a port");
        let port = listener.local_addr().expect("an address").port();
        if !taken.contains(&port) {
            taken.push(port);
            return port;
        }
    }
}

impl Fleet {
    pub fn new(network: u8) -> Self {
        let address_lock = lock_addresses(network);
        let address = Ipv4Addr::new(127, 77, network, 1);
        let mut taken = Vec::new();
        let mut port = || free_port(&mut taken, address);
        let ports = Ports {
            mesh: port(),
            api: port(),
            metrics: port(),
            outbound: port(),
            inbound: port(),
            ready: port(),
            registration: port(),
            upstream: port(),
            cut: port(),
        };
        let folder = tempfile::tempdir().expect("a folder");
        Fleet { folder, network, ports, _address_lock: address_lock }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, host)
    }

    pub fn seeds(&self) -> String {
        let seed = |host| format!("\"{}:{}\"", self.ip(host), self.ports.api);
        (1..=3).map(seed).collect::<Vec<_>>().join(", ")
    }

    pub fn data_dir(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    pub fn start(&self, role: &str, host: u8, settings: &str) -> RunningProcess {
        let path = self.folder.path().join(format!("{role}-{host}.toml"));
        fs::write(&path, settings).expect("written");
        let mut child = Command::new(PROGRAM)
            .args([role, "--settings", path.to_str().expect("a path")])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let lines = Arc::new(Mutex::new(VecDeque::new()));
        keep_lines(child.stdout.take().expect("piped"), &lines);
        keep_lines(child.stderr.take().expect("piped"), &lines);
        RunningProcess { child, name: format!("{role}-{host}"), lines }
    }

    pub fn start_coordinator(&self, host: u8, bootstrap: bool) -> RunningProcess {
        let (ip, ports) = (self.ip(host), &self.ports);
        let settings = format!(
            "fleet = \"small\"\nname = \"coordinator-{host}\"\nip = \"{ip}\"\nmesh_port = {}\n\
             api_listen = \"{ip}:{}\"\nmetrics_listen = \"{ip}:{}\"\ndata_dir = {:?}\n\
             seeds = [{}]\nbootstrap = {bootstrap}\nplain_transport = true\n\
             trusted_source = \"test\"\ncanary_exposed_part = 1.0\n",
            ports.mesh,
            ports.api,
            ports.metrics,
            self.data_dir(host),
            self.seeds(),
        );
        self.start("coordinator", host, &settings)
    }

    pub fn start_sidecar(&self, host: u8, service: &str) -> RunningProcess {
        self.start_sidecar_at(host, service, self.ports.mesh)
    }

    /// Starts a sidecar that reaches the coordinators at the given port.
    pub fn start_sidecar_at(&self, host: u8, service: &str, mesh_port: u16) -> RunningProcess {
        let (ip, ports) = (self.ip(host), &self.ports);
        let settings = format!(
            "fleet = \"small\"\nname = \"sidecar-{host}\"\nzone = \"a\"\nip = \"{ip}\"\n\
             mesh_port = {mesh_port}\noutbound_listen = \"{ip}:{}\"\ninbound_listen = \"{ip}:{}\"\n\
             ready_listen = \"{ip}:{}\"\nregistration_listen = \"{ip}:{}\"\n\
             metrics_listen = \"{ip}:{}\"\nupstream = \"{ip}:{}\"\nservice = \"{service}\"\n\
             seeds = [{}]\nplain_transport = true\ndrain_ms = 1000\nstop_ms = 5000\n\
             [retry_budget]\nratio = 0.2\nslack = 50\nwindow_s = 10\n",
            ports.outbound,
            ports.inbound,
            ports.ready,
            ports.registration,
            ports.metrics,
            ports.upstream,
            self.seeds(),
        );
        self.start("sidecar", host, &settings)
    }

    /// Starts an upstream that counts its requests and answers with its seal.
    pub fn start_upstream(&self, host: u8) -> Arc<Upstream> {
        let upstream = Arc::new(Upstream::default());
        let counted = upstream.clone();
        let address = (self.ip(host), self.ports.upstream);
        let server = rouille::Server::new(address, move |request| {
            counted.request_count.fetch_add(1, Ordering::SeqCst);
            counted.note_run(host, request.header("X-Chutecove-Attempt-Id").unwrap_or_default());
            let header = |name| request.header(name).unwrap_or_default().to_owned();
            let caller = header("X-Chutecove-Caller");
            counted.callers.lock().expect("not poisoned").push(caller);
            let key = match header("X-Chutecove-Api-Key").is_empty() {
                true => "without a key",
                false => "with its key",
            };
            let tenant = format!("{} {key}", header("X-Chutecove-Tenant"));
            counted.tenants.lock().expect("not poisoned").push(tenant);
            let mut body = Vec::new();
            if let Some(mut data) = request.data() {
                data.read_to_end(&mut body).expect("a complete body");
            }
            let text = match body.is_empty() {
                true => format!("{} from {host}", request.url()),
                false => format!("{} bytes, {}", body.len(), checksum(&body)),
            };
            let fails = counted.fails.load(Ordering::SeqCst);
            let mut response = rouille::Response::text(text);
            response.headers.extend(counted.stated_headers());
            response
                .with_status_code(if fails { 500 } else { 200 })
                .with_additional_header("X-Chutecove-Seal", format!("seal-{host}"))
                .with_additional_header("X-Chutecove-Attempt-Id", header("X-Chutecove-Attempt-Id"))
        });
        let server = server.expect("an upstream").pool_size(4);
        std::thread::spawn(move || server.run());
        upstream
    }

    pub fn register(&self, host: u8, id: &str, sequence: u64, draining: bool) -> bool {
        self.register_version(host, id, "v1", sequence, draining)
    }

    pub fn register_version(
        &self,
        host: u8,
        id: &str,
        version: &str,
        sequence: u64,
        draining: bool,
    ) -> bool {
        let url = format!(
            "http://{}:{}/v1/instances/{id}/heartbeat",
            self.ip(host),
            self.ports.registration
        );
        let body = json!({
            "service": SERVICE, "version": version, "slots": 4, "draining": draining,
            "sequence": sequence,
        });
        agent().post(&url).send(body.to_string()).is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a configuration to a coordinator and follows redirects to the leader; returns the status.
    pub fn put_configuration(
        &self,
        host: u8,
        expected: u64,
        version: u64,
        marker: &str,
    ) -> Option<u16> {
        self.put_document(host, expected, &configuration(version, marker))
    }

    /// Sends a document as the configuration and follows redirects to the leader; returns the status.
    pub fn put_document(&self, host: u8, expected: u64, document: &Value) -> Option<u16> {
        let mut url = format!("http://{}:{}/v1/configuration", self.ip(host), self.ports.api);
        let body = document.to_string();
        for _ in 0..3 {
            let request = agent().put(&url).header("If-Match", expected.to_string());
            let answer = request.send(&body).ok()?;
            if answer.status() != 307 {
                return Some(answer.status().as_u16());
            }
            url = answer.headers().get("location")?.to_str().ok()?.to_owned();
        }
        None
    }

    /// Sends a configuration to one coordinator only; returns the status, which is 307 if it does not lead.
    pub fn put_configuration_at(
        &self,
        host: u8,
        expected: u64,
        version: u64,
        marker: &str,
    ) -> Option<u16> {
        let url = format!("http://{}:{}/v1/configuration", self.ip(host), self.ports.api);
        let body = configuration(version, marker).to_string();
        let answer = agent().put(&url).header("If-Match", expected.to_string()).send(&body).ok()?;
        Some(answer.status().as_u16())
    }

    /// Sends a configuration until the response is definite; returns its status. While a leader is elected,
    /// for example, the response is not definite and the same request is sent again.
    pub fn put_configuration_until_decided(
        &self,
        host: u8,
        expected: u64,
        version: u64,
        marker: &str,
    ) -> u16 {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.put_configuration(host, expected, version, marker) {
                Some(status) if status != 503 => return status,
                _ => assert!(Instant::now() < end, "no definite response to version {version}"),
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    /// Starts a canary of the service at whichever coordinator accepts it; returns the status.
    pub fn start_canary(&self, version: &str, duration_ms: u64) -> u16 {
        let body = json!({ "service": SERVICE, "version": version, "duration_ms": duration_ms });
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            for host in 1..=3 {
                let url = format!("http://{}:{}/v1/canaries", self.ip(host), self.ports.api);
                let answer = agent().post(&url).send(body.to_string());
                match answer.map(|answer| answer.status().as_u16()) {
                    Ok(status) if ![307, 503].contains(&status) => return status,
                    _ => assert!(Instant::now() < end, "no definite response to a canary"),
                }
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    /// Returns the phase of the newest canary, from whichever coordinator can confirm it.
    pub fn canary_phase(&self) -> Option<String> {
        (1..=3).find_map(|host| {
            let url = format!("http://{}:{}/v1/canaries/{SERVICE}", self.ip(host), self.ports.api);
            let mut answer = agent().get(&url).call().ok().filter(|found| found.status() == 200)?;
            let text = answer.body_mut().read_to_string().ok()?;
            let canary: Value = serde_json::from_str(&text).ok()?;
            Some(canary["phase"].as_str()?.to_owned())
        })
    }

    /// Returns the version and marker in force, from whichever coordinator can confirm them.
    pub fn read_configuration(&self) -> Option<(u64, String)> {
        self.read_configuration_at(1..=3)
    }

    /// Returns the version and marker in force, from whichever of these coordinators can confirm them.
    pub fn read_configuration_at(
        &self,
        hosts: impl IntoIterator<Item = u8>,
    ) -> Option<(u64, String)> {
        hosts.into_iter().find_map(|host| {
            let url = format!("http://{}:{}/v1/configuration", self.ip(host), self.ports.api);
            let mut answer = agent().get(&url).call().ok().filter(|found| found.status() == 200)?;
            let text = answer.body_mut().read_to_string().ok()?;
            let document: Value = serde_json::from_str(&text).ok()?;
            let marker = document["objects"][1]["Route"]["annotation"].as_str()?.to_owned();
            Some((document["version"].as_u64()?, marker))
        })
    }

    /// Sends a call through a sidecar; returns the status and body.
    pub fn call(&self, host: u8, path: &str) -> Option<(u16, String)> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = NEXT.fetch_add(1, Ordering::SeqCst);
        let url = format!("http://{}:{}{path}", self.ip(host), self.ports.outbound);
        let request = agent()
            .get(&url)
            .header("Host", "fares.example")
            .header("X-Chutecove-Attempt-Id", format!("id-{id}"));
        let mut answer = request.call().ok()?;
        let body = answer.body_mut().read_to_string().ok()?;
        Some((answer.status().as_u16(), body))
    }

    /// Uploads a body through a sidecar; returns the status and the response body.
    pub fn upload(&self, host: u8, path: &str, body: &[u8]) -> Option<(u16, String)> {
        let url = format!("http://{}:{}{path}", self.ip(host), self.ports.outbound);
        let request = agent()
            .post(&url)
            .header("Host", "fares.example")
            .header("X-Chutecove-Attempt-Id", format!("upload-{}", body.len()));
        let mut answer = request.send(body).ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        Some((answer.status().as_u16(), text))
    }

    /// Returns the status of a call once a sidecar has confirmed its configuration; until then it refuses
    /// calls whose route it does not know with 503.
    pub fn status_when_configured(&self, host: u8, path: &str) -> u16 {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.call(host, path) {
                Some((status, _)) if status != 503 => return status,
                _ => assert!(Instant::now() < end, "no definite response to {path}"),
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let url = format!("http://{}:{}/readyz", self.ip(host), self.ports.ready);
        agent().get(&url).call().is_ok_and(|answer| answer.status() == 200)
    }
}

pub fn send_random_bytes(address: Ipv4Addr, port: u16) {
    let mut random = fastrand::Rng::with_seed(u64::from(port));
    for length in [1, 4, 100, 20_000] {
        let bytes: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
        let mut stream = TcpStream::connect((address, port)).expect("the process listens");
        // The process may close the connection before all bytes are written.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

/// Returns a checksum that depends on the order of the bytes.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| (sum * 31 + u64::from(*byte)) % 1_000_000_007)
}

/// What a test upstream has received, and how it responds.
#[derive(Default)]
pub struct Upstream {
    pub request_count: AtomicU64,
    pub callers: Mutex<Vec<String>>,
    /// Tenant of each call, and whether the call carried an API key.
    pub tenants: Mutex<Vec<String>>,
    /// Whether it answers every request with status 500.
    pub fails: AtomicBool,
    /// Clock of the runs.
    pub clock: RunClock,
    /// The runs of calls with numeric ids.
    pub runs: Mutex<Vec<soak::Run>>,
    /// Headers that it adds to its answers.
    stated: Mutex<Vec<(String, String)>>,
}

impl Upstream {
    /// Adds a header to all answers from now on.
    pub fn state(&self, name: &str, value: &str) {
        self.stated.lock().expect("not poisoned").push((name.to_owned(), value.to_owned()));
    }

    fn stated_headers(&self) -> Vec<(Cow<'static, str>, Cow<'static, str>)> {
        let stated = self.stated.lock().expect("not poisoned");
        stated.iter().map(|(name, value)| (name.clone().into(), value.clone().into())).collect()
    }

    fn note_run(&self, machine: u8, id: &str) {
        if let Ok(call) = id.parse() {
            let run = soak::Run { call, machine, incarnation: 1, at: self.clock.now() };
            self.runs.lock().expect("not poisoned").push(run);
        }
    }
}

/// Milliseconds since its creation.
#[derive(Clone, Copy)]
pub struct RunClock(Instant);

impl Default for RunClock {
    fn default() -> Self {
        RunClock(Instant::now())
    }
}

impl RunClock {
    pub fn now(self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(3)))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .build()
        .into()
}

pub fn configuration(version: u64, marker: &str) -> Value {
    json!({ "version": version, "objects": [
        { "Service": { "name": SERVICE, "upstream_slots": 4, "upstream_connections": 50 } },
        { "Route": {
            "name": "fares", "host": "fares.example", "path_prefix": format!("/{marker}/"),
            "methods": [], "targets": [{ "service": SERVICE, "weight": 1 }], "secret": null,
            "timeout_ms": 2000, "repeatable": true, "priority": "normal",
            "retry_budget_percent": 20, "max_staleness_s": 0, "attempts": 2,
            "target_latency_ms": 500, "rank": 0, "annotation": marker,
        } },
    ] })
}

/// Waits until a condition holds; `what` describes it.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(25));
    }
}
