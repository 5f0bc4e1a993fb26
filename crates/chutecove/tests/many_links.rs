//! Many connections to one coordinator: they need no threads of their own, and idle connections do not
//! displace active ones.

mod fleet;

use fleet::hollow::FakeSidecar;
use fleet::{wait_until, Fleet, RunningProcess};
use mesh::{encode_frame, ToCoordinator};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Connections of fake sidecars to one coordinator.
const CONNECTIONS: u16 = 400;
/// Connections that never send a greeting; more than the coordinator keeps open at once.
const SILENT_CONNECTIONS: usize = 1_200;
/// Maximum number of threads of a coordinator, independent of the number of connections: its event loops,
/// and one or two for each other coordinator.
const MAX_THREADS: usize = 64;

const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps connections alive with pings; the coordinator drops a sidecar that is silent for some seconds.
struct PingThread(Arc<AtomicBool>);

impl PingThread {
    fn start(links: &[FakeSidecar]) -> Self {
        let clone = |link: &FakeSidecar| link.stream.try_clone().expect("the socket can be cloned");
        let mut streams: Vec<TcpStream> = links.iter().map(clone).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_requested = stopped.clone();
        thread::spawn(move || {
            let mut ping = Vec::new();
            encode_frame(&ToCoordinator::Ping { asked_at: 0 }, &mut ping);
            while !stop_requested.load(Ordering::SeqCst) {
                for stream in &mut streams {
                    // A closed connection is detected where its pongs are read.
                    let _ = stream.write_all(&ping);
                }
                thread::sleep(PING_INTERVAL);
            }
        });
        PingThread(stopped)
    }
}

impl Drop for PingThread {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn thread_count(process: &RunningProcess) -> usize {
    let path = format!("/proc/{}/status", process.id());
    let status = fs::read_to_string(path).expect("the process runs");
    let line =
        status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("the line Threads");
    line.trim().parse().expect("a number")
}

#[test]
fn links_of_sidecars_cost_no_threads_and_keep_nobody_out() {
    let fleet = Fleet::new(7);
    let mut coordinators: Vec<Option<RunningProcess>> =
        (1..=3).map(|host| Some(fleet.start_coordinator(host, true))).collect();
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    let mut links: Vec<FakeSidecar> =
        (0..CONNECTIONS).map(|number| FakeSidecar::connect(&fleet, 1, number)).collect();
    let _ping_thread = PingThread::start(&links);
    links.iter_mut().for_each(|link| link.assert_ping_answered(1));
    let count = coordinators[0].as_ref().map(thread_count);
    assert!(count.is_some_and(|count| count <= MAX_THREADS), "{count:?} threads");

    // The oldest silent connections are closed in favor of new ones; active connections are not.
    let address = SocketAddr::from((fleet.ip(1), fleet.ports.mesh));
    let silent: Vec<TcpStream> = (0..SILENT_CONNECTIONS)
        .map(|_| TcpStream::connect(address).expect("the coordinator listens"))
        .collect();
    links.iter_mut().for_each(|link| link.assert_ping_answered(2));
    // A sidecar that connects meanwhile is served.
    FakeSidecar::connect(&fleet, 1, CONNECTIONS).assert_ping_answered(3);

    // A restarted coordinator can connect among them.
    drop(coordinators[1].take());
    coordinators[1] = Some(fleet.start_coordinator(2, false));
    wait_until("a configuration is accepted", || {
        fleet.put_configuration(2, 5, 6, "two") == Some(200)
    });
    wait_until("the configuration is read", || {
        fleet.read_configuration() == Some((6, "two".to_owned()))
    });
    drop(silent);
    links.iter_mut().for_each(|link| link.assert_ping_answered(4));
}

/// Connections opened while the process is suspended; more than it accepts in one round.
const QUEUED_CONNECTIONS: u16 = 100;

#[test]
fn all_that_connected_while_a_coordinator_stood_still_are_served() {
    let fleet = Fleet::new(8);
    let coordinator = fleet.start_coordinator(1, true);
    let is_listening = || TcpStream::connect((fleet.ip(1), fleet.ports.mesh)).is_ok();
    wait_until("the coordinator listens", is_listening);
    coordinator.signal("-STOP");
    let mut links: Vec<FakeSidecar> =
        (0..QUEUED_CONNECTIONS).map(|number| FakeSidecar::connect(&fleet, 1, number)).collect();
    coordinator.signal("-CONT");
    links.iter_mut().for_each(|link| link.assert_ping_answered(1));
}
