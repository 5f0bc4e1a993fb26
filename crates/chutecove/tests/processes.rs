//! Tests of the processes and the command line of `chutecove`, including operator mistakes and invalid input.

mod secured_fleet;

use secured_fleet::{
    get, run, run_refused, succeed, terminate, wait_until, Fleet, RunningProcess, PROGRAM, SECRET,
    WAIT_TIMEOUT,
};
use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Delay between the steps of a stop.
const STEP_DELAY: Duration = Duration::from_millis(300);
/// Length of a request body that is too long to be read together with its head.
const LONG_BODY: usize = 8_192;
/// Limit of the file size that simulates a small disk, in blocks of at least 512 bytes.
const DISK_BLOCKS: u32 = 200;
const MAX_VERSIONS: u32 = 60;

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
