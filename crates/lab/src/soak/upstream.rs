//! Stub upstreams. They record each run, register with the sidecar on the same machine, and crash
//! with all requests in progress when they run a poison request.

use super::clock::{Clock, EventList};
use super::machines::{Machines, SERVICE};
use super::server::{Handler, Reply, Server};
use http1::{Request, Response};
use serde_json::json;
use soak::{Crash, LimitStatement, Run};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const SLOTS: usize = 8;
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const MIN_WORK_MS: u64 = 2;
const MAX_WORK_MS: u64 = 40;
/// How long a request works that takes longer than usual, up to a little less than the timeout of a route.
const LONG_WORK_MS: std::ops::Range<u64> = 300..2_900;
/// Time from the start of a poison request to the crash, so that other requests are in progress
/// then.
const CRASH_DELAY: Duration = Duration::from_millis(15);
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Probability that a response is lost while responses are being lost.
const LOSS_PROBABILITY: f64 = 0.8;
/// Probability that a long upload is answered early and broken off.
const BREAK_OFF_PROBABILITY: f64 = 0.7;
/// Probability that a long upload is read late.
const LATE_READ_PROBABILITY: f64 = 0.5;
/// Longer than a connection to an unreachable machine stays open, shorter than the timeout of a route.
const LATE_READ_DELAY: Duration = Duration::from_millis(1_650);
/// Longer than what the buffers of a connection hold while nothing is read.
const LONG_UPLOAD_BYTES: usize = 400_000;
/// Marks the path of a poison request; the number of the request follows.
pub const POISON: &str = "/poison-";
/// Header with the id of a call.
pub const ID_HEADER: &str = "X-Chutecove-Attempt-Id";
/// Header that proves which upstream answered.
pub const SEAL_HEADER: &str = "X-Chutecove-Seal";
/// Header with the rate of calls that an upstream takes from all machines together.
pub const RATE_LIMIT_HEADER: &str = "X-Chutecove-Rate-Limit";
/// Header of an upstream that is leaving.
pub const LEAVING_HEADER: &str = "X-Chutecove-Leaving";

/// The upstream of one machine.
pub struct Upstream {
    registration: String,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Whether it has begun to deregister, and sends no heartbeat any more.
    leaving: AtomicBool,
    /// Whether the server is down between a crash and its restart.
    down: AtomicBool,
    stopped: AtomicBool,
    statements: Mutex<Statements>,
    limit_recorder: LimitRecorder,
}

/// Records the limits that one upstream states.
struct LimitRecorder {
    host: u8,
    clock: Clock,
    limits: EventList<LimitStatement>,
}

/// What the upstream states in its answers.
#[derive(Clone, Copy, Default)]
struct Statements {
    incarnation: u64,
    /// Calls per second that it takes.
    limit_per_s: Option<f64>,
    leaving: bool,
}

/// State shared by all upstreams: the clock, the events they record and the faults that affect
/// them.
#[derive(Clone)]
pub struct UpstreamEnvironment {
    /// Clock of the round.
    pub clock: Clock,
    /// Runs that started.
    pub runs: EventList<Run>,
    /// Limits that upstreams began to state.
    pub limits: EventList<LimitStatement>,
    /// Crashes caused by poison requests.
    pub crashes: EventList<Crash>,
    /// Whether most responses are currently lost.
    pub lose_responses: Arc<AtomicBool>,
    /// Whether upstreams give every request they get a whole answer.
    pub is_sound: bool,
    /// Probability that a request takes longer than usual.
    pub long_work_probability: f64,
}

/// Handles the requests of one upstream.
struct RequestHandler {
    host: u8,
    upstream: Arc<Upstream>,
    environment: UpstreamEnvironment,
}

impl Handler for RequestHandler {
    fn handle(&self, request: &Request) -> Reply {
        let UpstreamEnvironment { clock, runs, crashes, lose_responses, .. } = &self.environment;
        let path = request.path();
        if let Some((_, number)) = path.split_once(POISON) {
            thread::sleep(CRASH_DELAY);
            let poison = number.parse().unwrap_or(0);
            crashes.push(Crash { poison, machine: self.host, at: clock.now() });
            return Reply::StopServer;
        }
        let id = request.headers.number(ID_HEADER).unwrap_or(0);
        let incarnation = self.upstream.incarnation();
        runs.push(Run { call: id, machine: self.host, incarnation, at: clock.now() });
        thread::sleep(self.work_time());
        if lose_responses.load(Ordering::Relaxed) && fastrand::f64() < LOSS_PROBABILITY {
            return Reply::CloseConnection;
        }
        let response = Response::text(200, &expected_body(id, path, &request.body))
            .with_header(ID_HEADER, id.to_string());
        Reply::Respond(self.with_statements(response))
    }

    /// Begins to read some long uploads late, if upstreams break none off.
    fn read_delay(&self, received: &[u8]) -> Duration {
        let reads_late = self.environment.is_sound
            && Self::long_upload(received).is_some()
            && fastrand::f64() < LATE_READ_PROBABILITY;
        if reads_late {
            LATE_READ_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Answers some long uploads early, without a length, and breaks off midway.
    fn break_off(&self, received: &[u8]) -> Option<Vec<u8>> {
        if self.environment.is_sound {
            return None;
        }
        let (id, path) = Self::long_upload(received)?;
        if fastrand::f64() >= BREAK_OFF_PROBABILITY {
            return None;
        }
        let UpstreamEnvironment { clock, runs, .. } = &self.environment;
        let incarnation = self.upstream.incarnation();
        runs.push(Run { call: id, machine: self.host, incarnation, at: clock.now() });
        let body = expected_body(id, &path, &[]);
        let half = &body[..body.len() / 2];
        let seal = format!("seal-{}-{incarnation}", self.host);
        let head = format!("HTTP/1.1 200 OK\r\n{ID_HEADER}: {id}\r\n{SEAL_HEADER}: {seal}\r\n\r\n");
        Some([head.as_bytes(), half.as_bytes()].concat())
    }
}

impl RequestHandler {
    /// How long a request works.
    fn work_time(&self) -> Duration {
        let is_long = fastrand::f64() < self.environment.long_work_probability;
        let range = if is_long { LONG_WORK_MS } else { MIN_WORK_MS..MAX_WORK_MS };
        Duration::from_millis(fastrand::u64(range))
    }

    /// The upload of which the beginning has arrived: its id and path.
    fn long_upload(received: &[u8]) -> Option<(u64, String)> {
        let text = String::from_utf8_lossy(received);
        let (head, _) = text.split_once("\r\n\r\n")?;
        let field = |name: &str| {
            let fields = head.lines().filter_map(|line| line.split_once(':'));
            let mut found = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name));
            found.next().map(|(_, value)| value.trim().to_owned())
        };
        let bytes: usize = field("Content-Length")?.parse().ok()?;
        let path = head.split_whitespace().nth(1)?;
        (bytes >= LONG_UPLOAD_BYTES).then_some((field(ID_HEADER)?.parse().ok()?, path.to_owned()))
    }

    fn with_statements(&self, response: Response) -> Response {
        let Statements { incarnation, limit_per_s, leaving } = self.upstream.statements();
        let mut response =
            response.with_header(SEAL_HEADER, format!("seal-{}-{incarnation}", self.host));
        if let Some(per_s) = limit_per_s {
            response = response.with_header(RATE_LIMIT_HEADER, per_s.to_string());
        }
        match leaving {
            true => response.with_header(LEAVING_HEADER, "1"),
            false => response,
        }
    }
}

/// Returns the host and incarnation of the upstream that wrote a seal.
pub fn parse_seal(seal: &str) -> Option<(u8, u64)> {
    let (host, incarnation) = seal.strip_prefix("seal-")?.split_once('-')?;
    Some((host.parse().ok()?, incarnation.parse().ok()?))
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
            leaving: AtomicBool::new(false),
            down: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            limit_recorder: LimitRecorder {
                host,
                clock: environment.clock,
                limits: environment.limits.clone(),
            },
            statements: Mutex::new(Statements { incarnation: 1, ..Statements::default() }),
        });
        let address = SocketAddr::from((ip, machines.ports.upstream));
        let handler = Arc::new(RequestHandler { host, upstream: upstream.clone(), environment });
        let first = Server::start(address, handler.clone()).map_err(|error| error.to_string())?;
        let supervised = upstream.clone();
        thread::spawn(move || supervised.restart_after_crashes(first, address, &handler));
        let heartbeat_source = upstream.clone();
        thread::spawn(move || {
            while !heartbeat_source.stopped.load(Ordering::Relaxed) {
                if heartbeat_source.sends_heartbeats() {
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
        let id = self.instance_id();
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

    /// The id of the incarnation, which no other upstream has: a departure binds the whole fleet by it.
    fn instance_id(&self) -> String {
        format!("i-{}-{}", self.limit_recorder.host, self.incarnation())
    }

    fn sends_heartbeats(&self) -> bool {
        !self.down.load(Ordering::SeqCst) && !self.leaving.load(Ordering::SeqCst)
    }

    /// Deregisters, while it goes on serving; returns whether that was acknowledged.
    pub fn leave(&self) -> bool {
        self.leaving.store(true, Ordering::SeqCst);
        let url = format!("{}/{}/leave", self.registration, self.instance_id());
        let sent = super::agent().post(&url).send("");
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
        let mut statements = self.statements.lock().unwrap_or_else(PoisonError::into_inner);
        let incarnation = self.incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        *statements = Statements { incarnation, ..Statements::default() };
        self.draining.store(false, Ordering::SeqCst);
        self.leaving.store(false, Ordering::SeqCst);
    }

    fn statements(&self) -> Statements {
        *self.statements.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// States a limit in all answers from now on, or none.
    pub fn state_limit(&self, limit_per_s: Option<f64>) {
        let mut statements = self.statements.lock().unwrap_or_else(PoisonError::into_inner);
        statements.limit_per_s = limit_per_s;
        let LimitRecorder { host, clock, limits } = &self.limit_recorder;
        limits.push(LimitStatement {
            machine: *host,
            incarnation: statements.incarnation,
            at: clock.now(),
            per_s: limit_per_s,
        });
    }

    /// States in all answers from now on that it is leaving, and announces it in no other way.
    pub fn state_leaving(&self) {
        self.statements.lock().unwrap_or_else(PoisonError::into_inner).leaving = true;
    }
}

impl Upstream {
    /// Tells the threads of the upstream to stop.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
