//! Tests of the processes and the command line of `chutecove`, including operator mistakes and invalid input.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutecove");
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 10_000;
/// Lowest of the 64 second octets of loopback addresses that these tests use; each one covers 65,536
/// process ids.
const BASE_SECOND_OCTET: u32 = 128;
/// Delay between the steps of a stop.
const STEP_DELAY: Duration = Duration::from_millis(300);
/// Length of a request body that is too long to be read together with its head.
const LONG_BODY: usize = 8_192;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of the file size that simulates a small disk, in blocks of at least 512 bytes.
const DISK_BLOCKS: u32 = 200;
const MAX_VERSIONS: u32 = 60;
const SECRET: &str = "hidden-7f3a9c-value";

/// A process that is killed when the value is dropped.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet of one control replica, one relay and one proxy, with its files in one folder.
struct Fleet {
    folder: tempfile::TempDir,
    control: SocketAddr,
    api: SocketAddr,
    relay: SocketAddr,
    proxy: SocketAddr,
    /// Where the relay asks for the platform's list of machines; nobody answers unless a test does.
    platform: SocketAddr,
    metrics: [SocketAddr; 3],
}

/// Returns a loopback address that is unique to this run of the tests; it is derived from the process id.
fn unique_ip() -> Ipv4Addr {
    let [high, middle, low] = [16, 8, 0].map(|shift| std::process::id() >> shift);
    Ipv4Addr::new(127, (BASE_SECOND_OCTET + high % 64) as u8, middle as u8, low as u8)
}

/// Returns a free address with a port below the range of ephemeral ports, each one only once: the tests run
/// in parallel, and a port assigned by the system could be taken before the process starts. When parallel
/// runs shared an IP address, they took each other's ports in that time and connected to each other's
/// processes ("the signature is not operator 'alice's").
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from((unique_ip(), port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).current_dir(folder).output().unwrap()
}

fn succeed(folder: &Path, arguments: &[&str]) -> String {
    let output = run(folder, arguments);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {stderr}");
    String::from_utf8(output.stdout).unwrap()
}

fn tls_settings(name: &str) -> String {
    format!(
        "[tls]\nauthority = \"keys/authority.pem\"\ncertificate = \"keys/{name}.pem\"\n\
         key = \"keys/{name}.key\"\n"
    )
}

/// Number of log lines of each process that are printed if the test fails.
const LOG_LINES_SHOWN: usize = 60;

impl Drop for Fleet {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        // A failure that is hard to reproduce must leave the logs that show its cause.
        for role in ["control", "relay", "proxy"] {
            let text = fs::read_to_string(self.log_path(role)).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let first = lines.len().saturating_sub(LOG_LINES_SHOWN);
            lines[first..].iter().for_each(|line| eprintln!("{role} {line}"));
        }
    }
}

impl Fleet {
    fn create() -> Self {
        let fleet = Fleet {
            folder: tempfile::tempdir().unwrap(),
            control: free_address(),
            api: free_address(),
            relay: free_address(),
            proxy: free_address(),
            platform: free_address(),
            metrics: [free_address(), free_address(), free_address()],
        };
        fleet.make_keys();
        fleet.write_settings();
        fleet
    }

    fn path(&self) -> &Path {
        self.folder.path()
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.path().join(name), text).unwrap();
    }

    fn make_keys(&self) {
        let folder = self.path();
        succeed(folder, &["keys", "init", "--dir", "keys", "--fleet", "fares"]);
        succeed(folder, &["keys", "seal", "--dir", "keys"]);
        for (role, name) in [("control", "control-1"), ("relay", "relay-1"), ("proxy", "proxy-1")] {
            let issue = ["keys", "issue", "--dir", "keys", "--role", role, "--name", name];
            succeed(folder, &[&issue[..], &["--zone", "zone-a"]].concat());
        }
        let mut operators = String::new();
        for name in ["alice", "bob"] {
            let text = succeed(folder, &["keys", "operator", "--dir", "keys", "--name", name]);
            let roles = "roles = [\"submit\", \"approve\", \"roll\", \"members\"]";
            operators.push_str(&text.replace("roles = [\"submit\"]", roles));
            let config = format!(
                "operator = \"{name}\"\nkey_file = \"keys/{name}.operator\"\n\
                 seal_key_file = \"keys/seal.keys\"\napi = [\"{}\"]\n",
                self.api
            );
            self.write(&format!("{name}.toml"), &config);
        }
        self.write("operators.toml", &operators);
    }

    fn write_settings(&self) {
        let [control, relay, proxy] = self.metrics;
        let peer = format!(
            "[[peer]]\nid = 1\naddress = \"{}\"\napi_address = \"{}\"\n",
            self.control, self.api
        );
        self.write(
            "control.toml",
            &format!(
                "fleet = \"fares\"\nmember_id = 1\nlisten = \"{}\"\napi_listen = \"{}\"\n\
                 metrics_listen = \"{control}\"\ndata_dir = \"data\"\n\
                 operators_file = \"operators.toml\"\n{}{peer}",
                self.control,
                self.api,
                tls_settings("control-1")
            ),
        );
        self.write(
            "relay.toml",
            &format!(
                "fleet = \"fares\"\nname = \"relay-1\"\nzone = \"zone-a\"\nregion = \"south\"\n\
                 listen = \"{}\"\nmetrics_listen = \"{relay}\"\n\
                 platform_url = \"http://{}/machines\"\n{}\
                 [[control]]\nid = 1\naddress = \"{}\"\n",
                self.relay,
                self.platform,
                tls_settings("relay-1"),
                self.control
            ),
        );
        self.write(
            "proxy.toml",
            &format!(
                "fleet = \"fares\"\nname = \"proxy-1\"\nzone = \"zone-a\"\nregion = \"south\"\n\
                 listen = \"{}\"\nmetrics_listen = \"{proxy}\"\nseal_key_file = \"keys/seal.keys\"\n\
                 operators_file = \"operators.toml\"\ndata_dir = \"proxy-data\"\n\
                 drain_notice_ms = 0\n{}\
                 [[relay]]\naddress = \"{}\"\nzone = \"zone-a\"\nregion = \"south\"\n",
                self.proxy,
                tls_settings("proxy-1"),
                self.relay
            ),
        );
    }

    fn log_path(&self, role: &str) -> PathBuf {
        self.path().join(format!("{role}.log"))
    }

    fn start(&self, role: &str, extra_arguments: &[&str]) -> RunningProcess {
        let log = fs::File::options().create(true).append(true).open(self.log_path(role)).unwrap();
        let settings = format!("{role}.toml");
        let child = Command::new(PROGRAM)
            .args([role, "--settings", &settings, "--log-level", "trace"])
            .args(extra_arguments)
            .current_dir(self.path())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        RunningProcess(child)
    }

    fn start_all(&self) -> Vec<RunningProcess> {
        let processes = vec![
            self.start("control", &["--bootstrap"]),
            self.start("relay", &[]),
            self.start("proxy", &[]),
        ];
        wait_until("control leads", || get(self.metrics[0], "/readyz").is_some());
        processes
    }

    /// Submits a bundle as one operator, approves it as the other and rolls it out.
    fn roll_out(&self, version: u64, expected: u64) {
        let folder = self.path();
        let version = version.to_string();
        let submit = ["bundle", "submit", "bundle.toml", "--version", &version, "-c", "alice.toml"];
        let output = succeed(folder, &submit);
        let digest = output.split_whitespace().find(|word| word.len() == 64).expect("a digest");
        succeed(folder, &["bundle", "approve", digest, "-c", "bob.toml"]);
        let expected = expected.to_string();
        succeed(folder, &["bundle", "roll", digest, "--expect", &expected, "-c", "alice.toml"]);
    }

    fn write_bundle(&self, timeout_ms: u32) {
        self.write(
            "bundle.toml",
            &format!(
                "[[service]]\nname = \"fares\"\n[[secret]]\nname = \"token\"\nvalue = \"{SECRET}\"\n\
                 [[route]]\nname = \"all\"\npath_prefix = \"/\"\nservice = \"fares\"\n\
                 secret = \"token\"\nrepeatable = true\ntimeout_ms = {timeout_ms}\n"
            ),
        );
    }

    fn wait_in_force(&self, generation: u64) {
        let expected = format!("\"generation\":{generation}");
        wait_until("the generation is in force", || {
            get(self.metrics[2], "/status").is_some_and(|status| status.contains(&expected))
        });
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5))).build().into();
    let mut answer = agent.get(format!("http://{address}{path}")).call().ok()?;
    answer.body_mut().read_to_string().ok()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn terminate(running: &mut RunningProcess) -> Option<i32> {
    let id = running.0.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().unwrap();
    running.0.wait().unwrap().code()
}

/// Starts a role that must refuse to run; returns its output.
fn run_refused(fleet: &Fleet, arguments: &[&str]) -> String {
    let output = run(fleet.path(), arguments);
    assert!(!output.status.success(), "{arguments:?} started");
    String::from_utf8(output.stderr).unwrap() + &String::from_utf8(output.stdout).unwrap()
}

#[test]
fn a_fleet_rolls_out_hides_secrets_and_stops_as_planned() {
    let fleet = Fleet::create();
    let mut running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    fleet.wait_in_force(1);
    fleet.write_bundle(1_001);
    fleet.roll_out(2, 1);
    fleet.wait_in_force(2);
    let status = succeed(fleet.path(), &["status", "-c", "alice.toml"]);
    assert!(status.contains("newest generation   2"), "{status}");
    for process in running.iter_mut().rev() {
        assert_eq!(terminate(process), Some(0));
    }
    for role in ["control", "relay", "proxy"] {
        let log = fs::read_to_string(fleet.log_path(role)).unwrap();
        assert!(!log.is_empty());
        assert!(!log.contains(SECRET), "{role} logs a secret");
    }
    let stored = fs::read(fleet.path().join("data/config/log-1")).unwrap();
    let secret = SECRET.as_bytes();
    let found = stored.windows(secret.len()).any(|window| window == secret);
    assert!(!found, "control stores a secret in the clear");
}

#[test]
fn a_signal_to_reload_ends_no_role() {
    let fleet = Fleet::create();
    let mut running = fleet.start_all();
    for process in &running {
        let id = process.0.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    fleet.wait_in_force(1);
    for process in running.iter_mut().rev() {
        assert_eq!(terminate(process), Some(0));
    }
}

#[test]
fn keys_are_replaced_while_everything_runs() {
    let fleet = Fleet::create();
    let _running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    fleet.wait_in_force(1);
    let reloads = |role: &str| {
        let log = fs::read_to_string(fleet.log_path(role)).unwrap();
        log.matches("certificates_reloaded").count()
    };
    succeed(fleet.path(), &["keys", "rotate", "--dir", "keys", "--fleet", "fares"]);
    for role in ["control", "relay", "proxy"] {
        wait_until("the new authority is trusted", || reloads(role) >= 1);
    }
    let before: Vec<usize> = ["control", "relay", "proxy"].map(reloads).to_vec();
    for (role, name) in [("control", "control-1"), ("relay", "relay-1"), ("proxy", "proxy-1")] {
        let issue = ["keys", "issue", "--dir", "keys", "--role", role, "--name", name];
        succeed(fleet.path(), &[&issue[..], &["--zone", "zone-a"]].concat());
    }
    for (role, earlier) in ["control", "relay", "proxy"].into_iter().zip(before) {
        wait_until("the new certificate is used", || reloads(role) > earlier);
    }
    fleet.write_bundle(1_001);
    fleet.roll_out(2, 1);
    fleet.wait_in_force(2);
}

#[test]
fn a_replica_restarts_with_everything_accepted() {
    let fleet = Fleet::create();
    let mut running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    drop(running.remove(0));
    let _restarted = fleet.start("control", &[]);
    wait_until("control leads again", || get(fleet.metrics[0], "/readyz").is_some());
    let history = succeed(fleet.path(), &["bundle", "history", "-c", "alice.toml"]);
    let compact = history.replace(char::is_whitespace, "");
    assert!(compact.contains("\"generation\":1,"), "{history}");
    fleet.write_bundle(1_001);
    fleet.roll_out(2, 1);
    fleet.wait_in_force(2);
}

#[test]
fn a_backup_is_checked_restored_and_holds_what_was_accepted() {
    let fleet = Fleet::create();
    let mut running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    let folder = fleet.path();
    let while_running = run(folder, &["data", "backup", "data", "too-early"]);
    assert!(!while_running.status.success(), "a running replica's folder was copied");
    assert_eq!(terminate(&mut running[0]), Some(0));
    succeed(folder, &["data", "backup", "data", "backup"]);
    succeed(folder, &["data", "check", "backup"]);
    fs::remove_dir_all(folder.join("data")).unwrap();
    succeed(folder, &["data", "restore", "backup", "data"]);
    let _restarted = fleet.start("control", &[]);
    wait_until("control leads again", || get(fleet.metrics[0], "/readyz").is_some());
    let status = succeed(folder, &["status", "-c", "alice.toml"]);
    assert!(status.contains("newest generation   1"), "{status}");
    fleet.write_bundle(1_001);
    fleet.roll_out(2, 1);
    fleet.wait_in_force(2);
}

#[test]
fn random_bytes_on_every_port_stop_nothing() {
    let fleet = Fleet::create();
    let _running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    fleet.wait_in_force(1);
    let mut random = fastrand::Rng::with_seed(4);
    let [control, relay, proxy] = fleet.metrics;
    let ports = [fleet.control, fleet.api, fleet.relay, fleet.proxy, control, relay, proxy];
    for address in ports {
        for _ in 0..20 {
            let mut socket = TcpStream::connect(address).unwrap();
            let bytes: Vec<u8> = (0..random.usize(1..600)).map(|_| random.u8(..)).collect();
            let _ = socket.write_all(&bytes);
        }
    }
    fleet.write_bundle(1_001);
    fleet.roll_out(2, 1);
    fleet.wait_in_force(2);
    for metrics in fleet.metrics {
        assert!(get(metrics, "/healthz").is_some());
    }
}

#[test]
fn a_port_in_use_is_named() {
    let fleet = Fleet::create();
    for (role, address) in
        [("control", fleet.control), ("relay", fleet.relay), ("proxy", fleet.proxy)]
    {
        let _holder = TcpListener::bind(address).unwrap();
        let settings = format!("{role}.toml");
        let mut arguments = vec![role, "--settings", &settings];
        if role == "control" {
            arguments.push("--bootstrap");
        }
        let output = run_refused(&fleet, &arguments);
        assert!(output.contains(&address.to_string()), "{role}: {output}");
    }
}

#[test]
fn data_of_another_member_is_refused() {
    let fleet = Fleet::create();
    let mut running = fleet.start_all();
    assert_eq!(terminate(&mut running[0]), Some(0));
    let control = fs::read_to_string(fleet.path().join("control.toml")).unwrap();
    let other = control.replace("member_id = 1", "member_id = 2").replace("\nid = 1", "\nid = 2");
    let other = other.replace("control-1", "control-2");
    fleet.write("other.toml", &other);
    let issue = ["keys", "issue", "--dir", "keys", "--role", "control", "--name", "control-2"];
    succeed(fleet.path(), &[&issue[..], &["--zone", "zone-a"]].concat());
    let output = run_refused(&fleet, &["control", "--settings", "other.toml"]);
    assert!(output.contains("belongs to member 1"), "{output}");
}

#[test]
fn an_order_that_is_half_sent_when_control_would_end_is_answered() {
    let fleet = Fleet::create();
    let control = fleet.start("control", &["--bootstrap"]);
    wait_until("control leads", || get(fleet.metrics[0], "/readyz").is_some());
    let body = " ".repeat(LONG_BODY);
    let (first, second) = body.split_at(LONG_BODY / 2);
    let head = format!(
        "POST /v1/submit HTTP/1.1\r\nHost: control.example\r\nContent-Length: {LONG_BODY}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(fleet.api).expect("the replica listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    stream.write_all(format!("{head}{first}").as_bytes()).expect("the kernel accepts the bytes");
    thread::sleep(STEP_DELAY);
    let id = control.0.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().unwrap();
    thread::sleep(STEP_DELAY);
    stream.write_all(second.as_bytes()).expect("the kernel accepts the bytes");
    let mut line = [0; 12];
    let read = stream.read_exact(&mut line);
    assert!(read.is_ok(), "the replica exited without an answer: {read:?}");
}

/// Serves the platform's list, with one machine.
fn serve_machines(address: SocketAddr, backend: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let list = format!(
        "[{{\"service\":\"fares\",\"address\":\"{backend}\",\"incarnation\":1,\"state\":\"live\",\
         \"zone\":\"zone-a\",\"region\":\"south\"}}]"
    );
    serve_connections(listener, move |_| list.clone());
}

/// Starts a back end that says what it has read of each request; returns its address and the bodies.
fn start_backend() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(free_address()).expect("the address is free");
    let address = listener.local_addr().expect("it is bound");
    let bodies = Arc::new(Mutex::new(Vec::new()));
    let seen = bodies.clone();
    serve_connections(listener, move |body| {
        seen.lock().expect("no thread panicked").push(body.to_owned());
        "ran".to_owned()
    });
    (address, bodies)
}

/// Answers one request on each connection, in a thread of its own.
fn serve_connections(
    listener: TcpListener,
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                if let Ok(body) = read_request(&stream) {
                    let answer = answer(&body);
                    let length = answer.len();
                    let _ = write!(
                        &stream,
                        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{answer}"
                    );
                }
            });
        }
    });
}

/// Reads one request with a length; returns its body.
fn read_request(stream: &TcpStream) -> std::io::Result<String> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends bytes to the proxy, ends the stream in order or by a reset, and returns what comes back.
fn send_to_proxy(proxy: SocketAddr, bytes: &str, resets: bool) -> String {
    let mut stream = TcpStream::connect(proxy).expect("the proxy listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    stream.write_all(bytes.as_bytes()).expect("the kernel accepts the bytes");
    if resets {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it is set");
        return String::new();
    }
    stream.shutdown(Shutdown::Write).expect("the stream is open");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against half of an upload that passes for a whole request: a caller ended its stream between
/// two chunks, and the back end ran what had come.
#[test]
fn an_upload_that_breaks_off_runs_nowhere() {
    let fleet = Fleet::create();
    let (backend, bodies) = start_backend();
    serve_machines(fleet.platform, backend);
    let _running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    let head = "POST /pay HTTP/1.1\r\nHost: fares\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let whole = [
        format!("{head}Content-Length: 5\r\n\r\nwhole"),
        format!("{chunked}2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
        format!("{chunked}2\r\nwh\r\n3\r\nole\r\n0\r\nLast: yes\r\n\r\n"),
    ];
    wait_until("a call runs", || send_to_proxy(fleet.proxy, &whole[0], false).contains(" 200 "));
    let broken = [
        format!("{head}Content-Length: 9\r\n\r\nhalf"),
        format!("{chunked}4\r\nha"),
        format!("{chunked}4\r\nhalf"),
        format!("{chunked}4\r\nhalf\r\n"),
        format!("{chunked}4\r\nhalf\r\n5"),
        format!("{chunked}4\r\nhalf\r\n0\r\n"),
        format!("{chunked}4\r\nhalf\r\n0\r\nLast: yes\r\n"),
        format!("{chunked}4\r\nhalf\r\nzzz\r\n"),
    ];
    for bytes in &broken {
        let answer = send_to_proxy(fleet.proxy, bytes, false);
        assert!(!answer.contains(" 200 "), "{bytes:?}: {answer}");
        send_to_proxy(fleet.proxy, bytes, true);
    }
    for bytes in &whole {
        let answer = send_to_proxy(fleet.proxy, bytes, false);
        assert!(answer.contains(" 200 ") && answer.ends_with("ran"), "{bytes:?}: {answer}");
    }
    let bodies = bodies.lock().expect("no thread panicked");
    assert!(bodies.iter().all(|body| body == "whole"), "{bodies:?}");
}

#[test]
fn an_empty_folder_is_refused() {
    let fleet = Fleet::create();
    let output = run_refused(&fleet, &["control", "--settings", "control.toml"]);
    assert!(output.contains("is empty") && output.contains("--join"), "{output}");
}

/// Starts the control replica with a limit on its file size, beyond which writes fail.
fn start_with_small_disk(fleet: &Fleet) -> RunningProcess {
    let limited = format!(
        "trap '' XFSZ; ulimit -f {DISK_BLOCKS}; exec '{PROGRAM}' control --settings control.toml \
         --bootstrap --log-level error"
    );
    let child = Command::new("sh")
        .args(["-c", &limited])
        .current_dir(fleet.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    RunningProcess(child)
}

#[test]
fn a_full_disk_ends_the_replica_and_loses_nothing() {
    let fleet = Fleet::create();
    let mut limited = start_with_small_disk(&fleet);
    wait_until("control leads", || get(fleet.metrics[0], "/readyz").is_some());
    let mut random = fastrand::Rng::with_seed(9);
    let mut accepted = Vec::new();
    for version in 1..=MAX_VERSIONS {
        // Random text, since other text would be compressed to almost nothing.
        let value: String = (0..8_000).map(|_| random.alphanumeric()).collect();
        fleet.write("big.toml", &format!("[[secret]]\nname = \"big\"\nvalue = \"{value}\"\n"));
        let number = version.to_string();
        let submit = ["bundle", "submit", "big.toml", "--version", &number, "-c", "alice.toml"];
        if !run(fleet.path(), &submit).status.success() {
            break;
        }
        accepted.push(version);
    }
    assert_eq!(
        limited.0.wait().unwrap().code(),
        Some(74),
        "the failed write terminates the process"
    );
    assert!(!accepted.is_empty() && accepted.len() < MAX_VERSIONS as usize);
    let _restarted = fleet.start("control", &[]);
    wait_until("control leads again", || get(fleet.metrics[0], "/readyz").is_some());
    let listed = succeed(fleet.path(), &["bundle", "list", "-c", "alice.toml"]);
    let lines = listed.lines().filter(|line| line.contains("alice")).count();
    assert!(lines >= accepted.len(), "{} accepted: {listed}", accepted.len());
}

#[test]
fn commands_have_their_exit_codes() {
    let fleet = Fleet::create();
    let code = |arguments: &[&str]| run(fleet.path(), arguments).status.code();
    assert_eq!(code(&["bundle", "check", "missing.toml"]), Some(2));
    assert_eq!(code(&["settings", "check", "relay", "control.toml"]), Some(2));
    assert_eq!(code(&["settings", "check", "relay", "relay.toml"]), Some(0));
    assert_eq!(code(&["no-such-command"]), Some(2));
    let commands =
        ["control", "relay", "proxy", "bundle", "status", "members", "keys", "settings", "data"];
    for command in commands {
        assert_eq!(code(&[command, "--help"]), Some(0), "{command} --help");
    }
    assert_eq!(code(&["data", "check", "keys"]), Some(1));
}
