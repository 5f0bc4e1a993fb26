//! An upstream says that it leaves and is acknowledged; then many processes are killed at one moment.
//! A heartbeat that it had sent before arrives late. Requests must not reach it later than `DrainMs`
//! after the acknowledgement.

use crate::client::{ask, is_ready, Sent};
use crate::fleet::{Fleet, ZONES};
use crate::operator::{configure, Route};
use crate::record::Record;
use crate::upstream::Upstream;
use crate::Outcome;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const CORES: u8 = 4;
/// Host of the clients.
const FRONT: u8 = 11;
/// Host of the upstream that leaves.
const LEAVING: u8 = 12;
/// Host of an upstream of the same service that stays.
const STAYING: u8 = 13;
/// How long the heartbeat is held up.
const LATE: Duration = Duration::from_millis(2_500);
/// How long the killed processes are down: the pages say, at most a second for the core.
const DOWN: Duration = Duration::from_millis(600);
/// How long the upstream serves after the acknowledgement: `DrainMs` and many seconds more.
const SERVES_S: f64 = 16.0;
const DRAIN_S: f64 = 2.0;
/// `ContactMs`, twice: clients that count send later than this after the last start.
const CONTACT_S: f64 = 6.0;

pub fn run(trouble: bool, record: &Record) -> io::Result<Outcome> {
    let mut fleet = Fleet::new(CORES, &[FRONT, LEAVING, STAYING])?;
    for host in 1..=CORES {
        fleet.set_up_core(host, true)?;
    }
    fleet.set_up_sidecar(FRONT, "balance-svc", ZONES[0])?;
    fleet.set_up_sidecar(LEAVING, "payments-svc", ZONES[1])?;
    fleet.set_up_sidecar(STAYING, "payments-svc", ZONES[2])?;
    let work = Duration::from_millis(290);
    let _balance = Upstream::start(&fleet, FRONT, "balance-svc", ZONES[0], work, record)?;
    let leaving = Upstream::start(&fleet, LEAVING, "payments-svc", ZONES[1], work, record)?;
    let _staying = Upstream::start(&fleet, STAYING, "payments-svc", ZONES[2], work, record)?;
    for host in 1..=CORES {
        fleet.start(host, "coordinator")?;
    }
    for host in [FRONT, LEAVING, STAYING] {
        fleet.start(host, "sidecar")?;
    }
    let route = Route {
        prefix: "/topup/",
        kind: "unsafe",
        service: "payments-svc",
        timeout_ms: 2_500,
        target_ms: 800,
    };
    if !configure(&fleet, &[route], record) {
        return Ok(Outcome::NotRun("the configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(2));
    if ![FRONT, LEAVING, STAYING].iter().all(|host| is_ready(&fleet, *host)) {
        return Ok(Outcome::NotRun("a sidecar is not ready"));
    }

    let clients = Clients::start(&fleet, record);
    thread::sleep(Duration::from_secs(4));
    if leaving.runs().is_empty() {
        return Ok(Outcome::NotRun("the upstream got no requests before"));
    }
    // It never says `draining`: it says first that it leaves, and serves on.
    leaving.stop_beats();
    leaving.beat_late(LATE);
    thread::sleep(Duration::from_millis(50));
    let Some(acknowledged) = leaving.leave(Duration::from_secs(3)) else {
        return Ok(Outcome::NotRun("the leave was not acknowledged"));
    };
    record.say(&format!("the leave was acknowledged at {acknowledged:.3}"));
    thread::sleep(Duration::from_millis(300));
    let mut back = acknowledged;
    if trouble {
        let mut hosts: Vec<u8> = fleet.cores().collect();
        hosts.push(LEAVING);
        fleet.kill(&hosts);
        record.say(&format!(
            "killed at {:.3}: the core and the sidecar of host {LEAVING}",
            record.now()
        ));
        thread::sleep(DOWN);
        for host in 1..=CORES {
            // Only the first start is on empty disks.
            fleet.set_up_core(host, false)?;
            fleet.start(host, "coordinator")?;
        }
        fleet.start(LEAVING, "sidecar")?;
        back = record.now();
        record.say(&format!("all started again at {back:.3}"));
    }
    while record.now() < acknowledged + SERVES_S {
        thread::sleep(Duration::from_millis(50));
    }
    // It ends as it said, while clients go on.
    leaving.end();
    thread::sleep(Duration::from_secs(1));
    let sent = clients.stop();
    fleet.note_log(
        LEAVING,
        &["endpoint_state", "instance_", "end_acknowledged", "sidecar_started"],
        record,
    );

    let sent_at = |id: &str| sent.iter().find(|sent| sent.id == id).map(|sent| sent.at);
    let late: Vec<_> =
        leaving.runs().into_iter().filter(|run| run.at > acknowledged + DRAIN_S).collect();
    let calm = late.iter().filter(|run| sent_at(&run.id).is_some_and(|at| at > back + CONTACT_S));
    let calm = calm.count();
    let unanswered = |id: &str| sent.iter().any(|sent| sent.id == id && sent.status != 200);
    let lost = late.iter().filter(|run| unanswered(&run.id)).count();
    let after = sent.iter().filter(|sent| sent.at > back + CONTACT_S).count();
    record.say(&format!(
        "requests that reached the upstream later than {DRAIN_S} s after the acknowledgement: {}; of them \
         sent later than {CONTACT_S} s after the last start: {calm} (of {after} sent then); of all these, \
         run and never answered with success, since the upstream ended as it had said: {lost}",
        late.len()
    ));
    if after < 20 {
        return Ok(Outcome::NotRun("too few requests were sent"));
    }
    Ok(match calm {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}

/// Clients on the front machine that send 20 requests a second, each on a connection of its own.
struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    thread: thread::JoinHandle<()>,
}

impl Clients {
    fn start(fleet: &Fleet, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let (stopped, all, record) = (stop.clone(), sent.clone(), record.clone());
        let address = fleet.at(FRONT, "outbound");
        let thread = thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let (all, record) = (all.clone(), record.clone());
                thread::spawn(move || {
                    let id = format!("c{number:015x}");
                    let path = format!("/topup/{number}");
                    let sent = ask(address, "POST", &path, &id, &record);
                    all.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
                });
                thread::sleep(Duration::from_millis(50));
            }
        });
        Clients { stop, sent, thread }
    }

    fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
        thread::sleep(Duration::from_secs(3));
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }
}
