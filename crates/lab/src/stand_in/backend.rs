//! `chutecove-lab backend`: a stub backend with slots, cold start, draining, load shedding, load
//! reports, deadlines and a count of runs per key.

use getopts::Options;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::StopSignal;
use touche::{Body, Connection, HttpBody, Request, Response, Server};

/// Header with a caller's identifier of a call, which the response body echoes.
pub const NONCE_HEADER: &str = "X-Lab-Nonce";
/// Header with the requested size of the response body, bytes.
pub const SIZE_HEADER: &str = "X-Lab-Size";
/// Longest time that a planned stop waits for calls in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Behaviour of the backend; a request to `/admin/KEY/VALUE` changes it.
struct Behaviour {
    slots: u32,
    work_us: AtomicU64,
    /// Length of the cold start after the process start, milliseconds; calls take ten times as long
    /// then.
    cold_ms: u64,
    draining: AtomicBool,
    /// Whether the health response hides that the backend is draining.
    hides_draining: AtomicBool,
    /// Whether responses to shed calls lack the verdict that the call did not run.
    sheds_without_verdict: AtomicBool,
    /// Whether every call ends with a closed connection after it has run.
    breaks_connections: AtomicBool,
}

struct Backend {
    service: String,
    behaviour: Behaviour,
    running: AtomicU32,
    runs: AtomicU64,
    /// Address and service that each call is passed on to.
    next_hop: Option<(SocketAddr, String)>,
    agent: ureq::Agent,
    runs_log: File,
    started: Instant,
    stop: StopSignal,
}

/// Runs a backend until a stop signal arrives.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let mut options = Options::new();
    options.reqopt("", "listen", "address", "ADDRESS");
    options.reqopt("", "service", "service", "NAME");
    options.reqopt("", "runs-file", "file that counts runs", "FILE");
    options.optopt("", "slots", "calls run at once (20)", "N");
    options.optopt("", "work-us", "time a call takes, microseconds (200)", "US");
    options.optopt("", "cold-ms", "time during which calls take ten times as long (0)", "MS");
    options.optopt("", "next", "call this proxy for each call", "ADDRESS");
    options.optopt("", "next-service", "service to call there", "NAME");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let number = |name: &str, default: u64| {
        matches.opt_get_default(name, default).map_err(|error| format!("--{name}: {error}"))
    };
    let listen: SocketAddr = matches
        .opt_str("listen")
        .and_then(|text| text.parse().ok())
        .ok_or("--listen is not an address")?;
    let runs_file = matches.opt_str("runs-file").unwrap_or_default();
    let runs_log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&runs_file)
        .map_err(|error| format!("{runs_file}: {error}"))?;
    let stop = StopSignal::install().map_err(|error| error.to_string())?;
    let backend = Arc::new(Backend {
        service: matches.opt_str("service").unwrap_or_default(),
        behaviour: Behaviour {
            slots: number("slots", 20)? as u32,
            work_us: AtomicU64::new(number("work-us", 200)?),
            cold_ms: number("cold-ms", 0)?,
            draining: AtomicBool::new(false),
            hides_draining: AtomicBool::new(false),
            sheds_without_verdict: AtomicBool::new(false),
            breaks_connections: AtomicBool::new(false),
        },
        running: AtomicU32::new(0),
        runs: AtomicU64::new(0),
        next_hop: parse_next_hop(&matches)?,
        agent: ureq::Agent::config_builder()
            .http_status_as_error(false)
            .no_delay(true)
            .proxy(None)
            .build()
            .into(),
        runs_log,
        started: Instant::now(),
        stop: stop.clone(),
    });
    let listener = TcpListener::bind(listen).map_err(|error| format!("{listen}: {error}"))?;
    let served_backend = backend.clone();
    std::thread::spawn(move || serve(listener, served_backend));
    stop.wait();
    let deadline = Instant::now() + STOP_TIMEOUT;
    let mut last_busy = Instant::now();
    while Instant::now() < deadline && last_busy.elapsed() < Duration::from_millis(300) {
        if backend.running.load(Ordering::SeqCst) > 0 {
            last_busy = Instant::now();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn serve(listener: TcpListener, backend: Arc<Backend>) {
    let connections = std::iter::from_fn(move || loop {
        match listener.accept() {
            Ok((socket, _)) => return Some(socket),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    });
    let server = Server::builder().max_threads(512).nodelay(true).from_connections(connections);
    let _ = server.make_service(move |connection: &Connection| {
        let backend = backend.clone();
        let connection = connection.clone();
        Ok::<_, Infallible>(move |request: Request<Body>| {
            backend
                .respond(&connection, request)
                .ok_or_else(|| std::io::Error::other("connection closed by fault injection"))
        })
    });
}

fn parse_next_hop(
    matches: &getopts::Matches,
) -> Result<Option<(SocketAddr, String)>, crate::Failure> {
    let Some(text) = matches.opt_str("next") else { return Ok(None) };
    let address = text.parse().map_err(|_| "--next is not an address".to_owned())?;
    Ok(Some((address, matches.opt_str("next-service").unwrap_or_default())))
}

/// Releases a slot when dropped.
struct SlotGuard<'a>(&'a AtomicU32);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Backend {
    fn respond(
        &self,
        connection: &Connection,
        request: Request<Body>,
    ) -> Option<Response<Vec<u8>>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return Some(self.health());
        }
        if let Some(change) = path.strip_prefix("/admin/") {
            self.apply_change(change);
            return Some(Response::new(Vec::new()));
        }
        self.call(connection, request)
    }

    fn health(&self) -> Response<Vec<u8>> {
        let draining = self.is_draining() && !self.behaviour.hides_draining.load(Ordering::Relaxed);
        let state = if draining { "draining" } else { "ready" };
        let load = self.load();
        let body = serde_json::json!({ "state": state, "load": load }).to_string();
        Response::new(body.into_bytes())
    }

    fn is_draining(&self) -> bool {
        self.behaviour.draining.load(Ordering::Relaxed) || self.stop.is_set()
    }

    fn load(&self) -> f64 {
        f64::from(self.running.load(Ordering::Relaxed)) / f64::from(self.behaviour.slots)
    }

    fn apply_change(&self, change: &str) {
        let (name, value) = change.split_once('/').unwrap_or((change, "1"));
        let number: u64 = value.parse().unwrap_or(1);
        let behaviour = &self.behaviour;
        match name {
            "drain" => behaviour.draining.store(number != 0, Ordering::Relaxed),
            "lie" => behaviour.hides_draining.store(number != 0, Ordering::Relaxed),
            "mute-shed" => behaviour.sheds_without_verdict.store(number != 0, Ordering::Relaxed),
            "break" => behaviour.breaks_connections.store(number != 0, Ordering::Relaxed),
            "work-us" => behaviour.work_us.store(number, Ordering::Relaxed),
            _ => {}
        }
    }

    fn call(&self, connection: &Connection, request: Request<Body>) -> Option<Response<Vec<u8>>> {
        let (parts, body) = request.into_parts();
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let mut request_body = Vec::new();
        body.into_reader().read_to_end(&mut request_body).ok()?;
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let _slot = SlotGuard(&self.running);
        let work = self.work_time();
        let deadline_too_short = text(forward::DEADLINE_HEADER)
            .and_then(|left| left.parse::<u64>().ok())
            .is_some_and(|left_ms| u128::from(left_ms) * 1_000 < work.as_micros());
        if running > self.behaviour.slots || deadline_too_short {
            return Some(self.shed());
        }
        // Count the run before the work, so that a call on a backend that is killed counts as
        // having run.
        self.count_run(text("Idempotency-Key"));
        std::thread::sleep(work);
        if self.behaviour.breaks_connections.load(Ordering::Relaxed) {
            if let Ok(socket) = connection.clone().downcast::<std::net::TcpStream>() {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
            return None;
        }
        if let Some(failure_response) = self.call_next_hop(&parts.headers) {
            return Some(failure_response);
        }
        let size = text(SIZE_HEADER).and_then(|size| size.parse().ok()).unwrap_or(64);
        let body = response_body(&self.service, text(NONCE_HEADER).unwrap_or("none"), size);
        Some(self.build_response(Response::builder().status(200), body))
    }

    /// Calls the next hop; returns the response to pass back if its status is not 200.
    fn call_next_hop(&self, headers: &touche::HeaderMap) -> Option<Response<Vec<u8>>> {
        let (address, service) = self.next_hop.as_ref()?;
        let mut request = self.agent.get(format!("http://{address}/{service}/next"));
        for name in [NONCE_HEADER, forward::DEADLINE_HEADER, forward::DEPTH_HEADER] {
            if let Some(value) = headers.get(name).and_then(|value| value.to_str().ok()) {
                request = request.header(name, value);
            }
        }
        let Ok(answer) = request.call() else {
            return Some(self.build_response(Response::builder().status(502), Vec::new()));
        };
        if answer.status() == 200 {
            return None;
        }
        let mut builder = Response::builder().status(answer.status().as_u16());
        for name in [verdict::VERDICT_HEADER, proxy::HOP_HEADER] {
            if let Some(value) = answer.headers().get(name).and_then(|value| value.to_str().ok()) {
                builder = builder.header(name, value);
            }
        }
        Some(self.build_response(builder, Vec::new()))
    }

    fn work_time(&self) -> Duration {
        let work = Duration::from_micros(self.behaviour.work_us.load(Ordering::Relaxed));
        let cold = self.started.elapsed().as_millis() < u128::from(self.behaviour.cold_ms);
        if cold {
            work * 10
        } else {
            work
        }
    }

    fn shed(&self) -> Response<Vec<u8>> {
        let mut builder = Response::builder().status(503).header("Retry-After", "1");
        if !self.behaviour.sheds_without_verdict.load(Ordering::Relaxed) {
            builder = builder.header(verdict::VERDICT_HEADER, "not-run");
        }
        self.build_response(builder, Vec::new())
    }

    fn build_response(
        &self,
        builder: touche::http::response::Builder,
        body: Vec<u8>,
    ) -> Response<Vec<u8>> {
        let mut builder = builder.header(proxy::LOAD_HEADER, format!("{:.2}", self.load()));
        if self.is_draining() {
            builder = builder.header(proxy::BACKEND_STATE_HEADER, "draining");
        }
        if self.stop.is_set() {
            builder = builder.header("Connection", "close");
        }
        builder.body(body).expect("all response headers are valid")
    }

    fn count_run(&self, key: Option<&str>) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = key {
            // A single write per line, so that lines of concurrent threads do not mix.
            let _ = (&self.runs_log).write_all(format!("{key}\n").as_bytes());
        }
    }
}

/// Returns the response body to a call, padded to `size` bytes so that truncation is detected.
pub fn response_body(service: &str, nonce: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{service} {nonce} ").into_bytes();
    while body.len() < size {
        body.push(b'a' + (body.len() % 26) as u8);
    }
    body
}

/// Adds the runs per key in a backend's runs file to `runs`.
pub fn read_runs(path: &std::path::Path, runs: &mut BTreeMap<String, u64>) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    for key in text.lines() {
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}
