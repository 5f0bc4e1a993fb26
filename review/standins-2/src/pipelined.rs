//! Clients send further safe requests before the first one is answered; then the sidecar beside them is
//! asked to stop. Every request that it passed on to an upstream must be answered.

use crate::client::{is_ready, request};
use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::operator::{configure, Route};
use crate::record::Record;
use crate::upstream::Upstream;
use crate::Outcome;
use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const CORES: u8 = 4;
const FRONT: u8 = 11;
const UPSTREAMS: [u8; 2] = [12, 13];
const CONNECTIONS: usize = 4;
const REQUESTS: usize = 4;

pub fn run(trouble: bool, record: &Record) -> io::Result<Outcome> {
    let mut fleet = Fleet::new(CORES, &[FRONT, UPSTREAMS[0], UPSTREAMS[1]])?;
    for host in 1..=CORES {
        fleet.set_up_core(host, true)?;
    }
    fleet.set_up_sidecar(FRONT, "balance-svc", ZONES[0])?;
    let work = Duration::from_millis(550);
    let _balance = Upstream::start(&fleet, FRONT, "balance-svc", ZONES[0], work, record)?;
    let mut upstreams = Vec::new();
    for (number, host) in UPSTREAMS.into_iter().enumerate() {
        fleet.set_up_sidecar(host, "fares-svc", ZONES[number + 1])?;
        upstreams.push(Upstream::start(
            &fleet,
            host,
            "fares-svc",
            ZONES[number + 1],
            work,
            record,
        )?);
    }
    for host in 1..=CORES {
        fleet.start(host, "coordinator")?;
    }
    for host in [FRONT, UPSTREAMS[0], UPSTREAMS[1]] {
        fleet.start(host, "sidecar")?;
    }
    let route = Route {
        prefix: "/trips/",
        kind: "safe",
        service: "fares-svc",
        timeout_ms: 5_000,
        target_ms: 1_500,
    };
    if !configure(&fleet, &[route], record) {
        return Ok(Outcome::NotRun("the configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(5));
    if ![FRONT, UPSTREAMS[0], UPSTREAMS[1]].iter().all(|host| is_ready(&fleet, *host)) {
        return Ok(Outcome::NotRun("a sidecar is not ready"));
    }

    let address = fleet.at(FRONT, "outbound");
    let mut clients = Vec::new();
    for connection in 0..CONNECTIONS {
        clients.push(http::connect(address, Duration::from_secs(8))?);
        let _ = connection;
    }
    for number in 0..REQUESTS {
        for (connection, stream) in clients.iter_mut().enumerate() {
            let id = id_of(connection, number);
            stream.write_all(
                request("GET", &format!("/trips/{connection}/{number}"), &id).as_bytes(),
            )?;
            record.note(&format!("client {connection} sent {id}"));
        }
        thread::sleep(Duration::from_millis(40));
    }
    // All have been passed on when the signal comes.
    thread::sleep(Duration::from_millis(100));
    if trouble {
        fleet.signal(FRONT, "-TERM")?;
        record.say(&format!("SIGTERM to the sidecar of host {FRONT} at {:.3}", record.now()));
    }
    let signalled = record.now();
    let readers: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(connection, stream)| {
            let record = record.clone();
            thread::spawn(move || answered(connection, stream, &record))
        })
        .collect();
    let mut served = BTreeSet::new();
    for reader in readers {
        served.extend(reader.join().unwrap_or_default());
    }
    if trouble {
        let ended = fleet.ends_within(FRONT, Duration::from_secs(7));
        record.say(&format!("the sidecar has ended: {ended}"));
    }
    let runs = upstreams.iter().flat_map(|upstream| upstream.runs());
    let passed_on: BTreeSet<String> =
        runs.filter(|run| run.at < signalled).map(|run| run.id).collect();
    let lost: Vec<&String> = passed_on.iter().filter(|id| !served.contains(*id)).collect();
    record.say(&format!(
        "passed on to an upstream before the signal: {}; answered: {}; passed on and their connection \
         ended without an answer: {}",
        passed_on.len(),
        served.len(),
        lost.len()
    ));
    if passed_on.len() < CONNECTIONS * REQUESTS {
        return Ok(Outcome::NotRun("not all requests were passed on before the signal"));
    }
    Ok(if lost.is_empty() { Outcome::Held } else { Outcome::Broken })
}

fn id_of(connection: usize, number: usize) -> String {
    format!("p{connection:07x}{number:08x}")
}

/// Reads the answers on a connection; returns the ids of the requests that were answered.
fn answered(connection: usize, stream: TcpStream, record: &Record) -> Vec<String> {
    let mut reader = BufReader::new(stream);
    let mut ids = Vec::new();
    for number in 0..REQUESTS {
        let id = id_of(connection, number);
        match http::read(&mut reader) {
            Ok(Some(answer)) => {
                let close = answer.header("connection").unwrap_or("keep-alive").to_owned();
                record.note(&format!("answer to {id}: {} (Connection: {close})", answer.status()));
                ids.push(id);
            }
            other => {
                let end = other.map(|_| "the connection has ended");
                record.note(&format!("no answer to {id}: {end:?}"));
            }
        }
    }
    ids
}
