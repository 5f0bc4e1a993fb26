//! Many links to one coordinator: what they cost, and that nobody who speaks is left for them.

mod fleet;

use fleet::hollow::Hollow;
use fleet::{wait, Fleet, Running};
use mesh::{encode_frame, ToCoordinator};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Links of hollow sidecars to one coordinator.
const LINKS: u16 = 400;
/// Connections that never greet: more than are borne at once.
const HALF_OPEN: usize = 1_200;
/// Threads of a coordinator, whatever the number of links: its loops, and one or two for each of the
/// others.
const MOST_THREADS: usize = 64;

const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps links alive: a sidecar that says nothing for some seconds is taken for gone.
struct Pinging(Arc<AtomicBool>);

impl Pinging {
    fn start(links: &[Hollow]) -> Self {
        let clone = |link: &Hollow| link.stream.try_clone().expect("a descriptor");
        let mut streams: Vec<TcpStream> = links.iter().map(clone).collect();
        let over = Arc::new(AtomicBool::new(false));
        let ended = over.clone();
        thread::spawn(move || {
            let mut ping = Vec::new();
            encode_frame(&ToCoordinator::Ping { asked_at: 0 }, &mut ping);
            while !ended.load(Ordering::SeqCst) {
                for stream in &mut streams {
                    // A link that was ended shows where its answers are read.
                    let _ = stream.write_all(&ping);
                }
                thread::sleep(PING_INTERVAL);
            }
        });
        Pinging(over)
    }
}

impl Drop for Pinging {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn threads(process: &Running) -> usize {
    let path = format!("/proc/{}/status", process.id());
    let status = fs::read_to_string(path).expect("a process that runs");
    let line = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a line");
    line.trim().parse().expect("a number")
}

#[test]
fn links_of_sidecars_cost_no_threads_and_keep_nobody_out() {
    let fleet = Fleet::new(7);
    let mut coordinators: Vec<Option<Running>> =
        (1..=3).map(|host| Some(fleet.start_coordinator(host, true))).collect();
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    let mut links: Vec<Hollow> = (0..LINKS).map(|number| Hollow::link(&fleet, 1, number)).collect();
    let _pinging = Pinging::start(&links);
    links.iter_mut().for_each(|link| link.is_served(1));
    let used = coordinators[0].as_ref().map(threads);
    assert!(used.is_some_and(|used| used <= MOST_THREADS), "{used:?} threads");

    // Connections that say nothing: the oldest of them give way, nobody who speaks does.
    let address = SocketAddr::from((fleet.ip(1), fleet.ports.mesh));
    let silent: Vec<TcpStream> =
        (0..HALF_OPEN).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    links.iter_mut().for_each(|link| link.is_served(2));
    // One that greets meanwhile.
    Hollow::link(&fleet, 1, LINKS).is_served(3);

    // Another coordinator starts again and finds its way in among them.
    drop(coordinators[1].take());
    coordinators[1] = Some(fleet.start_coordinator(2, false));
    wait("an order is taken", || fleet.order(2, 5, 6, "two") == Some(200));
    wait("it is read", || fleet.read() == Some((6, "two".to_owned())));
    drop(silent);
    links.iter_mut().for_each(|link| link.is_served(4));
}

/// Connections that are opened while the process stands still: more than are accepted at once.
const WAITING: u16 = 100;

#[test]
fn all_that_connected_while_a_coordinator_stood_still_are_served() {
    let fleet = Fleet::new(8);
    let coordinator = fleet.start_coordinator(1, true);
    let is_up = || TcpStream::connect((fleet.ip(1), fleet.ports.mesh)).is_ok();
    wait("it listens", is_up);
    coordinator.signal("-STOP");
    let mut links: Vec<Hollow> =
        (0..WAITING).map(|number| Hollow::link(&fleet, 1, number)).collect();
    coordinator.signal("-CONT");
    links.iter_mut().for_each(|link| link.is_served(1));
}
