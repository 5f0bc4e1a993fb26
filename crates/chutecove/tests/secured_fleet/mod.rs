//! Test harness that runs a fleet with keys: one control replica, one relay and one proxy.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_chutecove");
pub const FIRST_PORT: u32 = 10_000;
pub const PORT_COUNT: u32 = 10_000;
/// Lowest of the 64 second octets of loopback addresses that these tests use; each one covers 65,536
/// process ids.
pub const BASE_SECOND_OCTET: u32 = 128;
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
pub const SECRET: &str = "hidden-7f3a9c-value";

/// A process that is killed when the value is dropped.
pub struct RunningProcess(pub Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet of one control replica, one relay and one proxy, with its files in one folder.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub control: SocketAddr,
    pub api: SocketAddr,
    pub relay: SocketAddr,
    pub proxy: SocketAddr,
    /// Where the relay asks for the platform's list of machines; nobody answers unless a test does.
    pub platform: SocketAddr,
    pub metrics: [SocketAddr; 3],
}

/// Returns a loopback address that is unique to this run of the tests; it is derived from the process id.
pub fn unique_ip() -> Ipv4Addr {
    let [high, middle, low] = [16, 8, 0].map(|shift| std::process::id() >> shift);
    Ipv4Addr::new(127, (BASE_SECOND_OCTET + high % 64) as u8, middle as u8, low as u8)
}

/// Returns a free address with a port below the range of ephemeral ports, each one only once: the tests run
/// in parallel, and a port assigned by the system could be taken before the process starts. When parallel
/// runs shared an IP address, they took each other's ports in that time and connected to each other's
/// processes ("the signature is not operator 'alice's").
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from((unique_ip(), port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).current_dir(folder).output().unwrap()
}

pub fn succeed(folder: &Path, arguments: &[&str]) -> String {
    let output = run(folder, arguments);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {stderr}");
    String::from_utf8(output.stdout).unwrap()
}

pub fn tls_settings(name: &str) -> String {
    format!(
        "[tls]\nauthority = \"keys/authority.pem\"\ncertificate = \"keys/{name}.pem\"\n\
         key = \"keys/{name}.key\"\n"
    )
}

/// Number of log lines of each process that are printed if the test fails.
pub const LOG_LINES_SHOWN: usize = 60;

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
    pub fn create() -> Self {
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

    pub fn path(&self) -> &Path {
        self.folder.path()
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path().join(name), text).unwrap();
    }

    pub fn make_keys(&self) {
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

    pub fn write_settings(&self) {
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

    pub fn log_path(&self, role: &str) -> PathBuf {
        self.path().join(format!("{role}.log"))
    }

    pub fn start(&self, role: &str, extra_arguments: &[&str]) -> RunningProcess {
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

    pub fn start_all(&self) -> Vec<RunningProcess> {
        let processes = vec![
            self.start("control", &["--bootstrap"]),
            self.start("relay", &[]),
            self.start("proxy", &[]),
        ];
        wait_until("control leads", || get(self.metrics[0], "/readyz").is_some());
        processes
    }

    /// Submits a bundle as one operator, approves it as the other and rolls it out.
    pub fn roll_out(&self, version: u64, expected: u64) {
        let folder = self.path();
        let version = version.to_string();
        let submit = ["bundle", "submit", "bundle.toml", "--version", &version, "-c", "alice.toml"];
        let output = succeed(folder, &submit);
        let digest = output.split_whitespace().find(|word| word.len() == 64).expect("a digest");
        succeed(folder, &["bundle", "approve", digest, "-c", "bob.toml"]);
        let expected = expected.to_string();
        succeed(folder, &["bundle", "roll", digest, "--expect", &expected, "-c", "alice.toml"]);
    }

    pub fn write_bundle(&self, timeout_ms: u32) {
        self.write(
            "bundle.toml",
            &format!(
                "[[service]]\nname = \"fares\"\n[[secret]]\nname = \"token\"\nvalue = \"{SECRET}\"\n\
                 [[route]]\nname = \"all\"\npath_prefix = \"/\"\nservice = \"fares\"\n\
                 secret = \"token\"\nrepeatable = true\ntimeout_ms = {timeout_ms}\n"
            ),
        );
    }

    pub fn wait_in_force(&self, generation: u64) {
        let expected = format!("\"generation\":{generation}");
        wait_until("the generation is in force", || {
            get(self.metrics[2], "/status").is_some_and(|status| status.contains(&expected))
        });
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<String> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5))).build().into();
    let mut answer = agent.get(format!("http://{address}{path}")).call().ok()?;
    answer.body_mut().read_to_string().ok()
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn terminate(running: &mut RunningProcess) -> Option<i32> {
    let id = running.0.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().unwrap();
    running.0.wait().unwrap().code()
}

/// Starts a role that must refuse to run; returns its output.
pub fn run_refused(fleet: &Fleet, arguments: &[&str]) -> String {
    let output = run(fleet.path(), arguments);
    assert!(!output.status.success(), "{arguments:?} started");
    String::from_utf8(output.stderr).unwrap() + &String::from_utf8(output.stdout).unwrap()
}
