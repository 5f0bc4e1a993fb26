//! Planned stops that overlap, of the sidecar that calls and of the one beside the upstream, beside callers
//! that come back after each refusal.

mod fleet;

use fleet::late_upstream::start_upstream;
use fleet::raw_http::{read_head, skip_body};
use fleet::{configuration, wait_until, Fleet, RunningProcess, SERVICE};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CALLER: u8 = 11;
const UPSTREAM: u8 = 12;
const MS: Duration = Duration::from_millis(1);
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a request works, and how long its caller waits: more than half of a planned stop.
const WORK_MS: u64 = 2_800;
const DEADLINE_MS: u64 = 3_000;
/// From the signal to the sidecar beside the upstream until the one to the sidecar that calls.
const OVERLAP: Duration = Duration::from_millis(1_000);
/// When calls are sent, after the first signal: while peers are still served.
const CALLS_AFTER_MS: std::ops::Range<u64> = 1_700..2_700;
const CALL_INTERVAL_MS: usize = 150;
/// How long a refused caller keeps its connection.
const HOLD: Duration = Duration::from_millis(120);
const RETURNING_CALLERS: usize = 12;

struct World {
    fleet: Arc<Fleet>,
    begun: Arc<AtomicUsize>,
    caller: RunningProcess,
    upstream: RunningProcess,
    _coordinators: Vec<RunningProcess>,
}

impl World {
    fn start(network: u8) -> Self {
        let fleet = Arc::new(Fleet::new(network));
        let coordinators = (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
        let begun = start_upstream(&fleet, UPSTREAM, None);
        let caller = fleet.start_sidecar(CALLER, "callers");
        let upstream = fleet.start_sidecar(UPSTREAM, SERVICE);
        let mut document = configuration(5, "one");
        document["objects"][1]["Route"]["timeout_ms"] = json!(9_000);
        wait_until("the first configuration is accepted", || {
            fleet.put_document(2, 0, &document) == Some(200)
        });
        wait_until("the upstream registers", || fleet.register(UPSTREAM, "i-1", 1, false));
        let world = World { fleet, begun, caller, upstream, _coordinators: coordinators };
        wait_until("a call is served", || {
            world.fleet.call(CALLER, "/one/x").is_some_and(|(status, _)| status == 200)
        });
        world.begun.store(0, Ordering::SeqCst);
        world
    }
}

/// The answer to one call: its status and the lines of its head; `None` if the connection ended without one.
struct CallEnd {
    status: String,
    lines: Vec<String>,
}

fn request(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: fares.example\r\nX-Chutecove-Attempt-Id: {id}\r\n\
         X-Chutecove-Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends bytes on a connection of their own and reads the answer.
fn exchange(fleet: &Fleet, bytes: &str, hold: Duration) -> Option<CallEnd> {
    let mut stream = TcpStream::connect((fleet.ip(CALLER), fleet.ports.outbound)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    skip_body(&mut reader, &head)?;
    thread::sleep(hold);
    Some(CallEnd { status: head.target, lines: head.lines })
}

/// Guards against an order that is taken by a sidecar that ends before it, so that the sender answers 502.
#[test]
fn a_call_that_outlasts_the_stop_of_its_peer_is_refused_or_answered() {
    let world = World::start(46);
    world.upstream.signal("-TERM");
    let signaled_at = Instant::now();
    thread::sleep(OVERLAP);
    world.caller.signal("-TERM");
    let mut calls = Vec::new();
    for after_ms in CALLS_AFTER_MS.step_by(CALL_INTERVAL_MS) {
        thread::sleep((after_ms as u32 * MS).saturating_sub(signaled_at.elapsed()));
        let fleet = world.fleet.clone();
        let bytes = request(&format!("/one/work/{WORK_MS}"), &format!("o-{after_ms}"), DEADLINE_MS);
        calls.push(thread::spawn(move || exchange(&fleet, &bytes, Duration::ZERO)));
    }
    let ends: Vec<Option<CallEnd>> =
        calls.into_iter().map(|call| call.join().expect("no panic")).collect();
    let statuses: Vec<&str> =
        ends.iter().map(|end| end.as_ref().map_or("cut", |end| end.status.as_str())).collect();
    let broken: Vec<&&str> =
        statuses.iter().filter(|status| !["200", "503"].contains(status)).collect();
    assert_eq!(broken, Vec::<&&str>::new(), "of {statuses:?}");
    let served = statuses.iter().filter(|status| **status == "200").count();
    assert_eq!(world.begun.load(Ordering::SeqCst), served, "what was refused did not run");
}

/// Guards against stops that wait for whoever was refused last, so that none ends before its limit.
#[test]
fn a_stop_beside_callers_that_come_back_ends_before_its_limit() {
    let mut world = World::start(47);
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..RETURNING_CALLERS)
        .map(|number| {
            let (fleet, stopped) = (world.fleet.clone(), stopped.clone());
            thread::spawn(move || {
                let bytes = request("/one/work/5", &format!("c-{number}"), DEADLINE_MS);
                while !stopped.load(Ordering::SeqCst) {
                    exchange(&fleet, &bytes, HOLD);
                    thread::sleep(MS);
                }
            })
        })
        .collect();
    world.caller.signal("-TERM");
    wait_until("the sidecar has ended", || !world.caller.is_running());
    stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("no panic"));
    wait_until("its last line is read", || world.caller.has_logged(&["sidecar_stopped"]));
    let ended_early = ["sidecar_stopped", "at_limit=false", "in_flight=0"];
    assert!(world.caller.has_logged(&ended_early), "it ended at the limit of its stop");
}

/// Guards against a 408 to a request that begins to arrive at the end of a stop: its caller is told when to
/// come back.
#[test]
fn a_request_that_begins_to_arrive_at_the_end_of_a_stop_is_refused_with_a_time() {
    let mut world = World::start(48);
    let fleet = world.fleet.clone();
    let long = request("/one/work/8000", "w-1", 9_000);
    let at_work = thread::spawn(move || exchange(&fleet, &long, Duration::ZERO));
    wait_until("the upstream works", || world.begun.load(Ordering::SeqCst) == 1);
    world.caller.signal("-TERM");
    // Whoever is refused with a whole request sends half of one next; the last ones are there at the end.
    let mut halves = Vec::new();
    while world.caller.is_running() && !world.caller.has_logged(&["sidecar_ends_calls"]) {
        let fleet = world.fleet.clone();
        halves.push(thread::spawn(move || {
            exchange(&fleet, "POST /one/x HTTP/1.1\r\nHost: fares.example\r\n", Duration::ZERO)
        }));
        thread::sleep(100 * MS);
    }
    let ends = halves.into_iter().filter_map(|half| half.join().expect("no panic"));
    let late: Vec<CallEnd> = ends.collect();
    at_work.join().expect("no panic");
    let refused = late.iter().filter(|end| end.status == "503");
    let told = refused.filter(|end| end.lines.iter().any(|line| line.starts_with("Retry-After")));
    assert!(told.count() > 0, "{:?}", late.iter().map(|end| &end.status).collect::<Vec<_>>());
}
