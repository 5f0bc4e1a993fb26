//! Stand-in upstreams: they count their runs, register with the sidecar beside them, and end with all
//! that they work on when they run a poison request.

use super::clock::{Clock, Shared};
use super::machines::{Machines, SERVICE};
use super::server::{Handler, Reply, Server};
use http1::{Request, Response};
use serde_json::json;
use soak::{Crash, Run};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SLOTS: usize = 8;
const LOOK: Duration = Duration::from_millis(5);
const BEAT: Duration = Duration::from_millis(300);
const SHORTEST_WORK_MS: u64 = 2;
const LONGEST_WORK_MS: u64 = 40;
/// From the start of a poison run to the end of its upstream: others begin meanwhile.
const TIME_TO_CRASH: Duration = Duration::from_millis(15);
const TIME_TO_RESTART: Duration = Duration::from_millis(600);
/// Part of the answers that is lost while upstreams are lossy.
const LOST_PART: f64 = 0.8;
/// Requests with this in their path are poison; a number follows that names them.
pub const POISON: &str = "/poison-";
/// Header that carries a call's id.
pub const ID_HEADER: &str = "X-Chutecove-Attempt-Id";

/// One upstream.
pub struct Upstream {
    registration: String,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Whether there is none between two lives.
    down: AtomicBool,
    ended: AtomicBool,
}

/// What upstreams take down, and what befalls all of them.
#[derive(Clone)]
pub struct Surroundings {
    /// Time.
    pub clock: Clock,
    /// Runs that began.
    pub runs: Shared<Run>,
    /// Ends by poison requests.
    pub crashes: Shared<Crash>,
    /// Whether most answers are lost now.
    pub lossy: Arc<AtomicBool>,
}

/// What an upstream does with a request.
struct Work {
    host: u8,
    around: Surroundings,
}

impl Handler for Work {
    fn answer(&self, request: &Request) -> Reply {
        let Surroundings { clock, runs, crashes, lossy } = &self.around;
        let path = request.path();
        if let Some((_, number)) = path.split_once(POISON) {
            thread::sleep(TIME_TO_CRASH);
            let poison = number.parse().unwrap_or(0);
            crashes.push(Crash { poison, machine: self.host, at: clock.now() });
            return Reply::End;
        }
        let id = request.headers.number(ID_HEADER).unwrap_or(0);
        runs.push(Run { call: id, machine: self.host, at: clock.now() });
        thread::sleep(Duration::from_millis(fastrand::u64(SHORTEST_WORK_MS..LONGEST_WORK_MS)));
        if lossy.load(Ordering::Relaxed) && fastrand::f64() < LOST_PART {
            return Reply::Cut;
        }
        let response = Response::text(200, &answer_to(id, path, &request.body))
            .with_header("X-Chutecove-Seal", format!("seal-{}", self.host))
            .with_header(ID_HEADER, id.to_string());
        Reply::Answer(response)
    }
}

/// The whole answer to a call with this body.
pub fn answer_to(id: u64, path: &str, body: &[u8]) -> String {
    let sum = check_sum(body);
    format!("{id} {path} {} {sum} {}", body.len(), "x".repeat((id % 3_000) as usize))
}

/// A sum that notices bytes that are missing, changed or in another order.
fn check_sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| (sum * 31 + u64::from(*byte)) % 1_000_000_007)
}

impl Upstream {
    /// Starts the upstream of a machine.
    pub fn start(
        machines: &Machines,
        host: u8,
        around: Surroundings,
    ) -> Result<Arc<Self>, crate::Failure> {
        let ip = machines.ip(host);
        let upstream = Arc::new(Upstream {
            registration: format!("http://{ip}:{}/v1/instances", machines.ports.registration),
            incarnation: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            down: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let address = SocketAddr::from((ip, machines.ports.upstream));
        let work = Arc::new(Work { host, around });
        let first = Server::start(address, work.clone()).map_err(|error| error.to_string())?;
        let living = upstream.clone();
        thread::spawn(move || living.live(first, address, &work));
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.ended.load(Ordering::Relaxed) {
                if !beating.down.load(Ordering::SeqCst) {
                    beating.beat();
                }
                thread::sleep(BEAT);
            }
        });
        Ok(upstream)
    }

    /// Starts again after each end, as another incarnation.
    fn live(&self, first: Server, address: SocketAddr, work: &Arc<Work>) {
        let mut server = first;
        while !self.ended.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            if !server.is_ending() {
                continue;
            }
            self.down.store(true, Ordering::SeqCst);
            thread::sleep(TIME_TO_RESTART);
            match Server::start(address, work.clone()) {
                Ok(next) => server = next,
                Err(error) => {
                    println!("upstream at {address} not started again: {error}");
                    continue;
                }
            }
            self.return_anew();
            self.down.store(false, Ordering::SeqCst);
        }
        server.end();
    }

    /// One message to the sidecar; whether it was acknowledged.
    fn beat(&self) -> bool {
        let id = format!("i-{}", self.incarnation.load(Ordering::SeqCst));
        let body = json!({
            "service": SERVICE,
            "slots": SLOTS,
            "draining": self.draining.load(Ordering::SeqCst),
            "sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
        });
        let url = format!("{}/{id}/heartbeat", self.registration);
        let sent = super::agent().post(&url).send(body.to_string());
        sent.is_ok_and(|answer| answer.status() == 200)
    }

    /// Says that it leaves; whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.draining.store(true, Ordering::SeqCst);
        !self.down.load(Ordering::SeqCst) && self.beat()
    }

    /// Which incarnation it is; one that ended and began again is another.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Comes back as another incarnation.
    pub fn return_anew(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.draining.store(false, Ordering::SeqCst);
    }
}

impl Upstream {
    /// Lets its threads end.
    pub fn finish(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}
