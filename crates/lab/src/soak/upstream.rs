//! Stub upstreams. They record each run, register with the sidecar on the same machine, and crash
//! with all requests in progress when they run a poison request.

use super::clock::{Clock, EventList};
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
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const MIN_WORK_MS: u64 = 2;
const MAX_WORK_MS: u64 = 40;
/// Time from the start of a poison request to the crash, so that other requests are in progress
/// then.
const CRASH_DELAY: Duration = Duration::from_millis(15);
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Probability that a response is lost while responses are being lost.
const LOSS_PROBABILITY: f64 = 0.8;
/// Marks the path of a poison request; the number of the request follows.
pub const POISON: &str = "/poison-";
/// Header with the id of a call.
pub const ID_HEADER: &str = "X-Chutecove-Attempt-Id";

/// The upstream of one machine.
pub struct Upstream {
    registration: String,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Whether the server is down between a crash and its restart.
    down: AtomicBool,
    stopped: AtomicBool,
}

/// State shared by all upstreams: the clock, the events they record and the faults that affect
/// them.
#[derive(Clone)]
pub struct UpstreamEnvironment {
    /// Clock of the round.
    pub clock: Clock,
    /// Runs that started.
    pub runs: EventList<Run>,
    /// Crashes caused by poison requests.
    pub crashes: EventList<Crash>,
    /// Whether most responses are currently lost.
    pub lose_responses: Arc<AtomicBool>,
}

/// Handles the requests of one upstream.
struct RequestHandler {
    host: u8,
    environment: UpstreamEnvironment,
}

impl Handler for RequestHandler {
    fn handle(&self, request: &Request) -> Reply {
        let UpstreamEnvironment { clock, runs, crashes, lose_responses } = &self.environment;
        let path = request.path();
        if let Some((_, number)) = path.split_once(POISON) {
            thread::sleep(CRASH_DELAY);
            let poison = number.parse().unwrap_or(0);
            crashes.push(Crash { poison, machine: self.host, at: clock.now() });
            return Reply::StopServer;
        }
        let id = request.headers.number(ID_HEADER).unwrap_or(0);
        runs.push(Run { call: id, machine: self.host, at: clock.now() });
        thread::sleep(Duration::from_millis(fastrand::u64(MIN_WORK_MS..MAX_WORK_MS)));
        if lose_responses.load(Ordering::Relaxed) && fastrand::f64() < LOSS_PROBABILITY {
            return Reply::CloseConnection;
        }
        let response = Response::text(200, &expected_body(id, path, &request.body))
            .with_header("X-Chutecove-Seal", format!("seal-{}", self.host))
            .with_header(ID_HEADER, id.to_string());
        Reply::Respond(response)
    }
}

/// Returns the complete response body to a call with this request body.
pub fn expected_body(id: u64, path: &str, body: &[u8]) -> String {
    let sum = checksum(body);
    format!("{id} {path} {} {sum} {}", body.len(), "x".repeat((id % 3_000) as usize))
}

/// Returns a checksum that detects missing, changed and reordered bytes.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| (sum * 31 + u64::from(*byte)) % 1_000_000_007)
}

impl Upstream {
    /// Starts the upstream of a machine and its heartbeats.
    pub fn start(
        machines: &Machines,
        host: u8,
        environment: UpstreamEnvironment,
    ) -> Result<Arc<Self>, crate::Failure> {
        let ip = machines.ip(host);
        let upstream = Arc::new(Upstream {
            registration: format!("http://{ip}:{}/v1/instances", machines.ports.registration),
            incarnation: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            down: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let address = SocketAddr::from((ip, machines.ports.upstream));
        let handler = Arc::new(RequestHandler { host, environment });
        let first = Server::start(address, handler.clone()).map_err(|error| error.to_string())?;
        let supervised = upstream.clone();
        thread::spawn(move || supervised.restart_after_crashes(first, address, &handler));
        let heartbeat_source = upstream.clone();
        thread::spawn(move || {
            while !heartbeat_source.stopped.load(Ordering::Relaxed) {
                if !heartbeat_source.down.load(Ordering::SeqCst) {
                    heartbeat_source.send_heartbeat();
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(upstream)
    }

    /// Restarts the server after each crash, as a new incarnation.
    fn restart_after_crashes(
        &self,
        first: Server,
        address: SocketAddr,
        handler: &Arc<RequestHandler>,
    ) {
        let mut server = first;
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(CRASH_POLL_INTERVAL);
            if !server.is_stopping() {
                continue;
            }
            self.down.store(true, Ordering::SeqCst);
            thread::sleep(RESTART_DELAY);
            match Server::start(address, handler.clone()) {
                Ok(next) => server = next,
                Err(error) => {
                    println!("failed to restart the upstream at {address}: {error}");
                    continue;
                }
            }
            self.begin_new_incarnation();
            self.down.store(false, Ordering::SeqCst);
        }
        server.stop();
    }

    /// Sends a heartbeat to the sidecar and returns whether it was acknowledged.
    fn send_heartbeat(&self) -> bool {
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

    /// Announces that the upstream is draining and returns whether that was acknowledged.
    pub fn announce_draining(&self) -> bool {
        self.draining.store(true, Ordering::SeqCst);
        !self.down.load(Ordering::SeqCst) && self.send_heartbeat()
    }

    /// Returns the incarnation number, which increases with every restart.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Continues as a new incarnation that is not draining.
    pub fn begin_new_incarnation(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.draining.store(false, Ordering::SeqCst);
    }
}

impl Upstream {
    /// Tells the threads of the upstream to stop.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
