//! Clients upload files of the largest size that the configuration allows. A platform stand-in ends
//! processes whose memory is above their machine's, as the pages say.

use crate::client::{ask, is_ready};
use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::operator::{configure, Route, HOST};
use crate::record::Record;
use crate::upstream::Upstream;
use crate::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Write};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const CORES: u8 = 3;
/// Hosts of the clients.
const FRONTS: [u8; 2] = [11, 12];
const UPSTREAMS: [u8; 2] = [13, 14];
const ROUNDS: usize = 5;
/// Uploads at once on each front machine.
const CLIENTS: usize = 5;
/// `MaxBodyBytes` of the configuration.
const LARGEST_BYTES: usize = 67_108_864;
/// The largest body in the site file.
const USUAL_BYTES: usize = 360_000;
/// `MemoryMb` of a sidecar's machine, in kB; taken as binary megabytes.
const MEMORY_KB: u64 = 260 * 1_024;
const DEADLINE_MS: u64 = 3_000;
/// How long the platform waits before it starts a process that ended again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The rule counts machines on which processes end this often.
const ENDS: usize = 3;
/// And this many such machines at least.
const MACHINES: usize = 2;

pub fn run(trouble: bool, record: &Record) -> io::Result<Outcome> {
    let hosts = [FRONTS[0], FRONTS[1], UPSTREAMS[0], UPSTREAMS[1]];
    let mut fleet = Fleet::new(CORES, &hosts)?;
    for host in 1..=CORES {
        fleet.set_up_core(host, true)?;
        fleet.start(host, "coordinator")?;
    }
    let work = Duration::from_millis(140);
    let mut upstreams = Vec::new();
    for (number, host) in hosts.into_iter().enumerate() {
        let service = if UPSTREAMS.contains(&host) { "drawvault" } else { "quotebook" };
        let zone = ZONES[number % 3];
        fleet.set_up_sidecar(host, service, zone)?;
        upstreams.push(Upstream::start(&fleet, host, service, zone, work, record)?);
        fleet.start(host, "sidecar")?;
    }
    let route = Route {
        prefix: "/drawings/",
        kind: "upload",
        service: "drawvault",
        timeout_ms: 3_000,
        target_ms: 500,
    };
    let orders = Route {
        prefix: "/orders/",
        kind: "unsafe",
        service: "drawvault",
        timeout_ms: 3_000,
        target_ms: 500,
    };
    if !configure(&fleet, &[route, orders], record) {
        return Ok(Outcome::NotRun("the configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(3));
    if !hosts.iter().all(|host| is_ready(&fleet, *host)) {
        return Ok(Outcome::NotRun("a sidecar is not ready"));
    }

    let bytes = if trouble { LARGEST_BYTES } else { USUAL_BYTES };
    let addresses = FRONTS.map(|front| fleet.at(front, "outbound"));
    let platform = Platform::new(fleet);
    let asking = Arc::new(AtomicBool::new(true));
    let clerks = addresses.map(|address| order(address, asking.clone(), record));
    let body: Arc<[u8]> = vec![b'd'; bytes].into();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for (front, address) in addresses.into_iter().enumerate() {
            for client in 0..CLIENTS {
                let (body, record) = (body.clone(), record.clone());
                let id = format!("d{round:03x}{front:04x}{client:08x}");
                clients.push(thread::spawn(move || upload(address, &id, &body, &record)));
            }
        }
        // The platform looks while the clients upload.
        while clients.iter().any(|client| !client.is_finished()) {
            platform.look(&hosts, record);
            thread::sleep(Duration::from_millis(1));
        }
        for client in clients {
            *outcomes.entry(client.join().unwrap_or_default()).or_default() += 1;
        }
        let quiet = Instant::now() + Duration::from_secs(4);
        while Instant::now() < quiet {
            platform.look(&hosts, record);
            thread::sleep(Duration::from_millis(10));
        }
    }
    asking.store(false, Ordering::SeqCst);
    let orders: Vec<(String, u16)> =
        clerks.into_iter().flat_map(|clerk| clerk.join().unwrap_or_default()).collect();
    let ran: BTreeSet<String> =
        upstreams.iter().flat_map(|upstream| upstream.runs()).map(|run| run.id).collect();
    let lost = orders.iter().filter(|(id, status)| *status == 0 && ran.contains(id)).count();
    record.say(&format!(
        "orders (small and unsafe) of other clients on the same machines: {}; run, and their connection \
         ended without an answer: {lost}",
        orders.len()
    ));
    let state = platform.lock();
    for (host, peak) in &state.peaks {
        let ends = state.ends.get(host).copied().unwrap_or(0);
        record.say(&format!(
            "host {host}: peak {peak} kB of {MEMORY_KB}, ended {ends} times for memory"
        ));
    }
    record.say(&format!("uploads of {bytes} bytes, by answer: {outcomes:?}"));
    let machines = state.ends.values().filter(|ends| **ends >= ENDS).count();
    record.say(&format!("machines on which processes ended {ENDS} times or more: {machines}"));
    Ok(if machines >= MACHINES { Outcome::Broken } else { Outcome::Held })
}

/// Sends small unsafe requests, ten a second; returns their ids and answers, 0 for none.
fn order(
    address: SocketAddrV4,
    asking: Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<Vec<(String, u16)>> {
    let record = record.clone();
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut number = 0;
        while asking.load(Ordering::SeqCst) {
            number += 1;
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let id = format!("e{:02x}{number:013x}", address.ip().octets()[3]);
                let sent = ask(address, "POST", &format!("/orders/{number}"), &id, &record);
                (sent.id, sent.status)
            }));
            thread::sleep(Duration::from_millis(100));
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    })
}

/// Uploads a body and returns how that ended.
fn upload(address: SocketAddrV4, id: &str, body: &[u8], record: &Record) -> String {
    let ask = || -> io::Result<u16> {
        let mut stream = http::connect(address, Duration::from_millis(DEADLINE_MS))?;
        let head = format!(
            "POST /drawings/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        Ok(http::read(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status()))
    };
    let sent = record.now();
    let outcome = match ask() {
        Ok(0) => "closed without an answer".to_owned(),
        Ok(status) => status.to_string(),
        Err(error) => format!("{:?}", error.kind()),
    };
    record.note(&format!("client sent {id} at {sent:.3} ({} bytes): {outcome}", body.len()));
    outcome
}

/// The platform: ends processes above their memory, and starts again what ended.
struct Platform(Mutex<State>);

struct State {
    fleet: Fleet,
    peaks: BTreeMap<u8, u64>,
    ends: BTreeMap<u8, usize>,
    starts_at: BTreeMap<u8, Instant>,
}

impl Platform {
    fn new(fleet: Fleet) -> Self {
        let (peaks, ends) = (BTreeMap::new(), BTreeMap::new());
        Platform(Mutex::new(State { fleet, peaks, ends, starts_at: BTreeMap::new() }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn look(&self, hosts: &[u8], record: &Record) {
        let mut state = self.lock();
        for host in hosts {
            if let Some(at) = state.starts_at.get(host).copied() {
                if Instant::now() >= at {
                    state.starts_at.remove(host);
                    let started = state.fleet.start(*host, "sidecar");
                    record
                        .note(&format!("the sidecar of host {host} is started again: {started:?}"));
                }
                continue;
            }
            let Some(memory_kb) = state.fleet.memory_kb(*host) else { continue };
            let peak = state.peaks.entry(*host).or_default();
            *peak = memory_kb.max(*peak);
            if memory_kb > MEMORY_KB {
                state.fleet.kill(&[*host]);
                *state.ends.entry(*host).or_default() += 1;
                state.starts_at.insert(*host, Instant::now() + RESTART_DELAY);
                record
                    .note(&format!("the sidecar of host {host} has {memory_kb} kB and is killed"));
            }
        }
    }
}
