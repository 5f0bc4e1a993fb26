//! A small fleet of real processes: three coordinators, sidecars with stand-in upstreams, an
//! operator. Each machine is a loopback address of its own, since ports are alike on all machines.

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutecove");
/// Longest wait for anything; only a broken fleet comes near it.
const PATIENCE: Duration = Duration::from_secs(40);
const SERVICE: &str = "fares";

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Ports that are free on every machine of a fleet.
struct Ports {
    mesh: u16,
    api: u16,
    metrics: u16,
    outbound: u16,
    inbound: u16,
    ready: u16,
    registration: u16,
    upstream: u16,
}

struct Fleet {
    folder: tempfile::TempDir,
    network: u8,
    ports: Ports,
}

fn free_port(taken: &mut Vec<u16>, address: Ipv4Addr) -> u16 {
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
    fn new(network: u8) -> Self {
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
        };
        let folder = tempfile::tempdir().expect("a folder");
        Fleet { folder, network, ports }
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, host)
    }

    fn seeds(&self) -> String {
        let seed = |host| format!("\"{}:{}\"", self.ip(host), self.ports.api);
        (1..=3).map(seed).collect::<Vec<_>>().join(", ")
    }

    fn data_dir(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    fn start(&self, role: &str, host: u8, settings: &str) -> Running {
        let path = self.folder.path().join(format!("{role}-{host}.toml"));
        fs::write(&path, settings).expect("written");
        let mut child = Command::new(PROGRAM)
            .args([role, "--settings", path.to_str().expect("a path")])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        let output = child.stdout.take().expect("piped");
        std::thread::spawn(move || BufReader::new(output).lines().for_each(drop));
        Running(child)
    }

    fn start_coordinator(&self, host: u8, bootstrap: bool) -> Running {
        let (ip, ports) = (self.ip(host), &self.ports);
        let settings = format!(
            "fleet = \"small\"\nname = \"coordinator-{host}\"\nip = \"{ip}\"\nmesh_port = {}\n\
             api_listen = \"{ip}:{}\"\nmetrics_listen = \"{ip}:{}\"\ndata_dir = {:?}\n\
             seeds = [{}]\nbootstrap = {bootstrap}\nplain_transport = true\n\
             trusted_source = \"test\"\n",
            ports.mesh,
            ports.api,
            ports.metrics,
            self.data_dir(host),
            self.seeds(),
        );
        self.start("coordinator", host, &settings)
    }

    fn start_sidecar(&self, host: u8, service: &str) -> Running {
        let (ip, ports) = (self.ip(host), &self.ports);
        let settings = format!(
            "fleet = \"small\"\nname = \"sidecar-{host}\"\nzone = \"a\"\nip = \"{ip}\"\n\
             mesh_port = {}\noutbound_listen = \"{ip}:{}\"\ninbound_listen = \"{ip}:{}\"\n\
             ready_listen = \"{ip}:{}\"\nregistration_listen = \"{ip}:{}\"\n\
             metrics_listen = \"{ip}:{}\"\nupstream = \"{ip}:{}\"\nservice = \"{service}\"\n\
             seeds = [{}]\nplain_transport = true\ndrain_ms = 1000\nstop_ms = 5000\n\
             [retry_budget]\nratio = 0.2\nslack = 50\nwindow_s = 10\n",
            ports.mesh,
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

    /// An upstream that counts its runs and answers with its seal.
    fn start_upstream(&self, host: u8) -> Arc<Upstream> {
        let upstream = Arc::new(Upstream::default());
        let counted = upstream.clone();
        let address = (self.ip(host), self.ports.upstream);
        let server = rouille::Server::new(address, move |request| {
            counted.runs.fetch_add(1, Ordering::SeqCst);
            let header = |name| request.header(name).unwrap_or_default().to_owned();
            let caller = header("X-Chutecove-Caller");
            counted.callers.lock().expect("not poisoned").push(caller);
            let mut body = Vec::new();
            if let Some(mut data) = request.data() {
                data.read_to_end(&mut body).expect("a whole body");
            }
            let text = match body.is_empty() {
                true => format!("{} from {host}", request.url()),
                false => format!("{} bytes, {}", body.len(), check_sum(&body)),
            };
            rouille::Response::text(text)
                .with_additional_header("X-Chutecove-Seal", format!("seal-{host}"))
                .with_additional_header("X-Chutecove-Attempt-Id", header("X-Chutecove-Attempt-Id"))
        });
        let server = server.expect("an upstream").pool_size(4);
        std::thread::spawn(move || server.run());
        upstream
    }

    fn register(&self, host: u8, id: &str, sequence: u64, draining: bool) -> bool {
        let url = format!(
            "http://{}:{}/v1/instances/{id}/heartbeat",
            self.ip(host),
            self.ports.registration
        );
        let body =
            json!({ "service": SERVICE, "slots": 4, "draining": draining, "sequence": sequence });
        agent().post(&url).send(body.to_string()).is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends an order to a coordinator, which may send it on; the status that came back.
    fn order(&self, host: u8, expected: u64, version: u64, marker: &str) -> Option<u16> {
        let mut url = format!("http://{}:{}/v1/configuration", self.ip(host), self.ports.api);
        let body = configuration(version, marker).to_string();
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

    /// The clear answer to an order: one that is not clear, as while a leader is elected, is sent
    /// again as it is.
    fn settled_order(&self, host: u8, expected: u64, version: u64, marker: &str) -> u16 {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.order(host, expected, version, marker) {
                Some(status) if status != 503 => return status,
                _ => assert!(Instant::now() < end, "no clear answer to version {version}"),
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    /// The version and marker in force, from whichever coordinator is sure.
    fn read(&self) -> Option<(u64, String)> {
        (1..=3).find_map(|host| {
            let url = format!("http://{}:{}/v1/configuration", self.ip(host), self.ports.api);
            let mut answer = agent().get(&url).call().ok().filter(|found| found.status() == 200)?;
            let text = answer.body_mut().read_to_string().ok()?;
            let document: Value = serde_json::from_str(&text).ok()?;
            let marker = document["objects"][1]["Route"]["annotation"].as_str()?.to_owned();
            Some((document["version"].as_u64()?, marker))
        })
    }

    /// Calls through a sidecar: status and body.
    fn call(&self, host: u8, path: &str) -> Option<(u16, String)> {
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

    /// Uploads a body through a sidecar: status and answer.
    fn upload(&self, host: u8, path: &str, body: &[u8]) -> Option<(u16, String)> {
        let url = format!("http://{}:{}{path}", self.ip(host), self.ports.outbound);
        let request = agent()
            .post(&url)
            .header("Host", "fares.example")
            .header("X-Chutecove-Attempt-Id", format!("upload-{}", body.len()));
        let mut answer = request.send(body).ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        Some((answer.status().as_u16(), text))
    }

    /// The status of a call once a sidecar is sure of its configuration: until then it refuses calls
    /// whose route it does not know with 503.
    fn sure_status(&self, host: u8, path: &str) -> u16 {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.call(host, path) {
                Some((status, _)) if status != 503 => return status,
                _ => assert!(Instant::now() < end, "no clear answer to {path}"),
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    fn is_ready(&self, host: u8) -> bool {
        let url = format!("http://{}:{}/readyz", self.ip(host), self.ports.ready);
        agent().get(&url).call().is_ok_and(|answer| answer.status() == 200)
    }
}

fn send_random_bytes(address: Ipv4Addr, port: u16) {
    let mut random = fastrand::Rng::with_seed(u64::from(port));
    for length in [1, 4, 100, 20_000] {
        let bytes: Vec<u8> = (0..length).map(|_| random.u8(..)).collect();
        let mut stream = TcpStream::connect((address, port)).expect("it listens");
        // It may close before all was written.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

/// A sum that notices pieces in another order.
fn check_sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| (sum * 31 + u64::from(*byte)) % 1_000_000_007)
}

#[derive(Default)]
struct Upstream {
    runs: AtomicU64,
    callers: Mutex<Vec<String>>,
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(3)))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .build()
        .into()
}

fn configuration(version: u64, marker: &str) -> Value {
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

fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(25));
    }
}

#[test]
fn a_small_fleet_serves_calls_through_losses() {
    let fleet = Fleet::new(1);
    let mut coordinators: Vec<Option<Running>> =
        (1..=3).map(|host| Some(fleet.start_coordinator(host, true))).collect();
    let _callers_sidecar = fleet.start_sidecar(11, "callers");
    let mut upstreams_sidecar = Some(fleet.start_sidecar(12, SERVICE));
    let upstream = fleet.start_upstream(12);

    assert!(!fleet.is_ready(11), "nobody is ready without a configuration");
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    wait("sidecars are ready", || fleet.is_ready(11) && fleet.is_ready(12));
    wait("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait("a call is served", || {
        fleet.call(11, "/one/x") == Some((200, "/one/x from 12".to_owned()))
    });
    let callers = upstream.callers.lock().expect("not poisoned").clone();
    assert!(callers.iter().all(|caller| caller == "callers"), "{callers:?}");
    assert_eq!(fleet.sure_status(11, "/nowhere/"), 404);

    // Random bytes on every port disturb nothing.
    let ports = &fleet.ports;
    for (host, port) in [
        (1, ports.mesh),
        (1, ports.api),
        (1, ports.metrics),
        (11, ports.outbound),
        (12, ports.inbound),
        (12, ports.registration),
        (12, ports.ready),
        (12, ports.metrics),
    ] {
        send_random_bytes(fleet.ip(host), port);
    }
    wait("calls are served", || fleet.call(11, "/one/y").is_some_and(|(status, _)| status == 200));

    // Bodies short, as long as is sent unasked, and in many grants arrive as they are.
    for bytes in [1, 8 * 1024, 8 * 1024 + 1, 300_000] {
        let body: Vec<u8> = (0..bytes).map(|place: u32| (place % 251) as u8).collect();
        let expected = format!("{bytes} bytes, {}", check_sum(&body));
        wait("a body arrives whole", || {
            fleet.upload(11, "/one/upload", &body) == Some((200, expected.clone()))
        });
    }

    // Orders: a lost race, an old version, a resend, an invalid one.
    assert_eq!(fleet.settled_order(1, 4, 6, "two"), 412);
    assert_eq!(fleet.settled_order(1, 5, 5, "two"), 400);
    assert_eq!(fleet.settled_order(3, 0, 5, "one"), 200, "a resend is acknowledged again");
    wait("the next order is taken", || fleet.order(1, 5, 6, "two") == Some(200));
    wait("it is in force", || fleet.call(11, "/two/x").is_some_and(|(status, _)| status == 200));
    assert_eq!(fleet.sure_status(11, "/one/x"), 404);

    // One coordinator loses its disk and returns as a new member.
    drop(coordinators[0].take());
    fs::remove_dir_all(fleet.data_dir(1)).expect("removed");
    coordinators[0] = Some(fleet.start_coordinator(1, false));
    wait("an order is taken meanwhile", || fleet.order(2, 6, 7, "three") == Some(200));

    // The sidecar beside the upstream is killed: it comes back knowing its upstream.
    drop(upstreams_sidecar.take());
    let restarted = fleet.start_sidecar(12, SERVICE);
    wait("calls are served without a new heartbeat", || {
        fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 200)
    });

    // The upstream leaves, its sidecar is killed, and a late heartbeat comes.
    assert!(fleet.register(12, "i-1", 9, true));
    drop(restarted);
    let _restarted = fleet.start_sidecar(12, SERVICE);
    wait("the late heartbeat arrives", || fleet.register(12, "i-1", 8, false));
    wait("no call passes", || fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 503));
    let before = upstream.runs.load(Ordering::SeqCst);
    for _ in 0..5 {
        assert_eq!(fleet.call(11, "/three/x").map(|(status, _)| status), Some(503));
    }
    assert_eq!(upstream.runs.load(Ordering::SeqCst), before);

    // All coordinators are killed at once; nothing that was taken is lost.
    coordinators.clear();
    let _again: Vec<Running> = (1..=3).map(|host| fleet.start_coordinator(host, false)).collect();
    wait("what was taken is read", || fleet.read() == Some((7, "three".to_owned())));
}
