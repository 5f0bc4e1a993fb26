//! An upstream leaves while the sidecar beside it has just been restarted and is cut off from the
//! core. The sidecar acknowledges that, and the upstream serves for some seconds more, as it may.

use crate::configuration::{document, Route, HOST};
use crate::cut::CutLink;
use crate::fleet::{Fleet, CONTACT_MS, DRAIN_MS};
use crate::http::{self, Connection, Head};
use crate::record::Record;
use crate::upstream::{answer_whole, Handler, Upstream, HEARTBEAT_MS};
use crate::Outcome;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a killed process is down.
const DOWN: Duration = Duration::from_millis(300);
/// How long after the kill the cut lasts.
const CUT: Duration = Duration::from_millis(5_000);
/// How much longer than `DRAIN_MS` the upstream serves after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(10);
const CLIENT_INTERVAL: Duration = Duration::from_millis(40);
/// Clients at once, and how long an order takes: more than the slots of one upstream hold, so that both
/// upstreams are needed.
const CLIENTS: u32 = 6;
const WORK: Duration = Duration::from_millis(60);

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let text = |error: std::io::Error| error.to_string();
    let fleet = Fleet::new(record, "forgotten-leave").map_err(text)?;
    let core = fleet.core();
    let seeds = core[0].seeds.clone();
    for machine in &core {
        fleet.start(machine, true).map_err(text)?;
    }
    let link = CutLink::start(&fleet);
    let caller = fleet.sidecar(1, 1, "quotebook", seeds.clone());
    let leaver = fleet.sidecar(2, 2, "orderdesk", link.seeds.clone());
    let other = fleet.sidecar(3, 3, "orderdesk", seeds);
    for machine in [&caller, &leaver, &other] {
        fleet.start(machine, true).map_err(text)?;
    }
    let routes =
        [Route { name: "r-order", prefix: "/order/", kind: "unsafe", service: "orderdesk" }];
    fleet
        .configure(&core, 1, 0, &document(1, &["quotebook", "orderdesk"], &routes))
        .ok_or("the first configuration was not acknowledged")?;
    let runs: Arc<Mutex<Vec<u64>>> = Arc::default();
    let handler: Handler = {
        let runs = runs.clone();
        Arc::new(move |upstream, head, connection| {
            // One that is meant for another instance gets 421 and does not count.
            if head.get("x-expect-instance").is_none_or(|expected| expected == upstream.id) {
                runs.lock().unwrap().push(upstream.record.now_ms());
            }
            thread::sleep(WORK);
            answer_whole(upstream, head, connection)
        })
    };
    let leaving = Upstream::start(&fleet, &leaver, "i-leaver", handler);
    let staying = Upstream::start(
        &fleet,
        &other,
        "i-other",
        Arc::new(|upstream: &Upstream, head: &Head, connection: &mut Connection| {
            thread::sleep(WORK);
            answer_whole(upstream, head, connection)
        }),
    );
    for machine in [&caller, &leaver, &other] {
        if !fleet.wait_ready(machine, Duration::from_secs(15)) {
            return Err(format!("{} is not ready", machine.name));
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let stop = Arc::new(AtomicBool::new(false));
    let address = fleet.address(&caller, fleet.ports.outbound);
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || send_orders(&record, client, address, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if runs.lock().unwrap().is_empty() {
        return Err("the upstream got no request before it left".to_owned());
    }
    // Just after a heartbeat, so that the next one is due after the departure.
    *leaving.acknowledged_at.lock().unwrap() = None;
    let beat_at = wait_for(|| *leaving.acknowledged_at.lock().unwrap(), HEARTBEAT_MS * 3)
        .ok_or("no heartbeat was acknowledged")?;
    if trouble {
        record.note("the machine sidecar-2 is cut off from the core");
        link.set(true);
    }
    let cut_at = Instant::now();
    if trouble {
        fleet.kill(&leaver);
        thread::sleep(DOWN);
        fleet.start(&leaver, false).map_err(text)?;
    }
    let started_at = record.now_ms();
    let before_beat = Duration::from_millis(HEARTBEAT_MS - 100);
    thread::sleep(before_beat.saturating_sub(beat_at.elapsed()));
    let acknowledged_at = leave(&leaving).ok_or("the departure was not acknowledged")?;
    record.note("the departure of i-leaver is acknowledged");
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if trouble {
        record.note("the cut is over");
        link.set(false);
    }
    let joined_at = record.now_ms();
    thread::sleep(Duration::from_millis(DRAIN_MS) + SERVES_ON);
    stop.store(true, Ordering::SeqCst);
    leaving.end();
    let answered: u32 = clients.into_iter().map(|client| client.join().unwrap_or_default()).sum();
    staying.end();
    // All machines are in touch from then on.
    let in_touch_at = joined_at.max(started_at) + CONTACT_MS;
    let bound = (acknowledged_at + DRAIN_MS).max(in_touch_at);
    let runs = runs.lock().unwrap();
    let before = runs.iter().filter(|at| **at < acknowledged_at).count();
    let late = runs.iter().filter(|at| **at > acknowledged_at + DRAIN_MS).count();
    let counted = runs.iter().filter(|at| **at > bound).count();
    record.note(format!(
        "acknowledged at {acknowledged_at} ms; all machines in touch from {in_touch_at} ms; runs of \
         i-leaver: {before} before the acknowledgement, {late} later than {DRAIN_MS} ms after it, \
         {counted} of those while all machines were in touch; orders answered with success \
         {answered}"
    ));
    if before == 0 || answered == 0 {
        return Err("too little traffic".to_owned());
    }
    Ok(if counted > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Reports the departure until it is acknowledged; returns when that was.
fn leave(upstream: &Upstream) -> Option<u64> {
    (0..3).find_map(|_| upstream.leave().then(|| upstream.record.now_ms()))
}

fn wait_for<T>(mut found: impl FnMut() -> Option<T>, longest_ms: u64) -> Option<T> {
    let end = Instant::now() + Duration::from_millis(longest_ms);
    while Instant::now() < end {
        if let Some(value) = found() {
            return Some(value);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Sends one order after the other; returns how many were answered with success.
fn send_orders(
    record: &Record,
    client: u32,
    address: std::net::SocketAddr,
    stop: &AtomicBool,
) -> u32 {
    let (mut number, mut answered) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("order-{client}-{number}");
        let head = format!(
            "POST /order/{client}/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\n"
        );
        let status = http::call(address, &head, b"{}", Duration::from_secs(4))
            .map_or(0, |answer| answer.head.status());
        record.note(format!("client gets {status} to {id}"));
        answered += u32::from(status == 200);
        thread::sleep(CLIENT_INTERVAL);
    }
    answered
}
