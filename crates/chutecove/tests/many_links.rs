//! Many links to one coordinator: what they cost, and that nobody who speaks is left for them.

mod fleet;

use fleet::{wait, Fleet, Running};
use mesh::{
    decode_frame, encode_frame, Greeting, NodeAddress, NodeRecord, Purpose, ToCoordinator,
    ToSidecar, PROTOCOL_VERSION,
};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Command;
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

/// A sidecar that links and pings, and does no more.
struct Hollow {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Hollow {
    fn link(fleet: &Fleet, coordinator: u8, number: u16) -> Self {
        let address = SocketAddr::from((fleet.ip(coordinator), fleet.ports.mesh));
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket option");
        let mut bytes = Vec::new();
        let greeting = Greeting {
            protocol: PROTOCOL_VERSION,
            fleet: "small".to_owned(),
            purpose: Purpose::Sidecar,
        };
        encode_frame(&greeting, &mut bytes);
        let [high, low] = number.to_be_bytes();
        let record = NodeRecord {
            address: NodeAddress { ip: Ipv4Addr::new(10, 9, high, low), port: 1 },
            life: 1,
            sequence: 1,
            zone: "a".to_owned(),
            service: "hollow".to_owned(),
            stopping: false,
            instance: None,
        };
        encode_frame(&ToCoordinator::Report(record), &mut bytes);
        stream.write_all(&bytes).expect("it is read");
        Hollow { stream, input: Vec::new() }
    }

    fn next(&mut self) -> ToSidecar {
        loop {
            if let Some((frame, length)) = decode_frame(&self.input).expect("a frame") {
                self.input.drain(..length);
                return frame;
            }
            let mut piece = [0; 4_096];
            let count = self.stream.read(&mut piece).expect("an answer in time");
            assert!(count > 0, "the link was ended");
            self.input.extend_from_slice(&piece[..count]);
        }
    }

    /// The coordinator answers a ping on this link.
    fn is_served(&mut self, asked_at: u64) {
        let mut bytes = Vec::new();
        encode_frame(&ToCoordinator::Ping { asked_at }, &mut bytes);
        self.stream.write_all(&bytes).expect("it is read");
        loop {
            // Others were asked for by the thread that keeps the link alive.
            if matches!(self.next(), ToSidecar::Pong { asked_at: found, .. } if found == asked_at) {
                return;
            }
        }
    }
}

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

fn signal(process: &Running, name: &str) {
    let sent = Command::new("kill").args([name, &process.id().to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "{name}");
}

#[test]
fn all_that_connected_while_a_coordinator_stood_still_are_served() {
    let fleet = Fleet::new(8);
    let coordinator = fleet.start_coordinator(1, true);
    let is_up = || TcpStream::connect((fleet.ip(1), fleet.ports.mesh)).is_ok();
    wait("it listens", is_up);
    signal(&coordinator, "-STOP");
    let mut links: Vec<Hollow> =
        (0..WAITING).map(|number| Hollow::link(&fleet, 1, number)).collect();
    signal(&coordinator, "-CONT");
    links.iter_mut().for_each(|link| link.is_served(1));
}
