//! A stand-in back end: slots, cold start, draining, shedding, load, deadlines, counted runs.

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

/// Header with which callers mark a call, echoed in the answer.
pub const NONCE_HEADER: &str = "X-Lab-Nonce";
/// Header that asks for a body of so many bytes.
pub const SIZE_HEADER: &str = "X-Lab-Size";
/// Longest wait for the last calls on a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// How the back end behaves; changed by `POST /admin/KEY/VALUE`.
struct Behaviour {
    slots: u32,
    work_us: AtomicU64,
    /// Work takes ten times as long until this many milliseconds after the start.
    cold_ms: u64,
    draining: AtomicBool,
    /// Health keeps saying that all is well.
    lies: AtomicBool,
    /// Answers shed calls without its word that nothing ran.
    mute_shed: AtomicBool,
    /// Fails every call with a lost connection after running it.
    breaks: AtomicBool,
}

struct Backend {
    service: String,
    behaviour: Behaviour,
    running: AtomicU32,
    runs: AtomicU64,
    /// Where every call calls on: the next proxy and its service.
    next: Option<(SocketAddr, String)>,
    agent: ureq::Agent,
    log: File,
    started: Instant,
    stop: StopSignal,
}

/// Runs a back end until it is asked to stop.
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
    let log = OpenOptions::new()
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
            lies: AtomicBool::new(false),
            mute_shed: AtomicBool::new(false),
            breaks: AtomicBool::new(false),
        },
        running: AtomicU32::new(0),
        runs: AtomicU64::new(0),
        next: next_hop(&matches)?,
        agent: ureq::Agent::config_builder()
            .http_status_as_error(false)
            .no_delay(true)
            .proxy(None)
            .build()
            .into(),
        log,
        started: Instant::now(),
        stop: stop.clone(),
    });
    let listener = TcpListener::bind(listen).map_err(|error| format!("{listen}: {error}"))?;
    let served = backend.clone();
    std::thread::spawn(move || serve(listener, served));
    stop.wait();
    let limit = Instant::now() + STOP_LIMIT;
    let mut quiet = Instant::now();
    while Instant::now() < limit && quiet.elapsed() < Duration::from_millis(300) {
        if backend.running.load(Ordering::SeqCst) > 0 {
            quiet = Instant::now();
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
            backend.answer(&connection, request).ok_or_else(|| std::io::Error::other("broken"))
        })
    });
}

fn next_hop(matches: &getopts::Matches) -> Result<Option<(SocketAddr, String)>, crate::Failure> {
    let Some(text) = matches.opt_str("next") else { return Ok(None) };
    let address = text.parse().map_err(|_| "--next is not an address".to_owned())?;
    Ok(Some((address, matches.opt_str("next-service").unwrap_or_default())))
}

/// Releases a slot.
struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Backend {
    fn answer(&self, connection: &Connection, request: Request<Body>) -> Option<Response<Vec<u8>>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return Some(self.health());
        }
        if let Some(change) = path.strip_prefix("/admin/") {
            self.change(change);
            return Some(Response::new(Vec::new()));
        }
        self.call(connection, request)
    }

    fn health(&self) -> Response<Vec<u8>> {
        let draining = self.is_draining() && !self.behaviour.lies.load(Ordering::Relaxed);
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

    fn change(&self, change: &str) {
        let (name, value) = change.split_once('/').unwrap_or((change, "1"));
        let number: u64 = value.parse().unwrap_or(1);
        let behaviour = &self.behaviour;
        match name {
            "drain" => behaviour.draining.store(number != 0, Ordering::Relaxed),
            "lie" => behaviour.lies.store(number != 0, Ordering::Relaxed),
            "mute-shed" => behaviour.mute_shed.store(number != 0, Ordering::Relaxed),
            "break" => behaviour.breaks.store(number != 0, Ordering::Relaxed),
            "work-us" => behaviour.work_us.store(number, Ordering::Relaxed),
            _ => {}
        }
    }

    fn call(&self, connection: &Connection, request: Request<Body>) -> Option<Response<Vec<u8>>> {
        let (parts, body) = request.into_parts();
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let mut received = Vec::new();
        body.into_reader().read_to_end(&mut received).ok()?;
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let _slot = Slot(&self.running);
        let work = self.work();
        let too_late = text(forward::DEADLINE_HEADER)
            .and_then(|left| left.parse::<u64>().ok())
            .is_some_and(|left_ms| u128::from(left_ms) * 1_000 < work.as_micros());
        if running > self.behaviour.slots || too_late {
            return Some(self.shed());
        }
        // The run is counted before the work, so that a killed back end counts as having run.
        self.count_run(text("Idempotency-Key"));
        std::thread::sleep(work);
        if self.behaviour.breaks.load(Ordering::Relaxed) {
            if let Ok(socket) = connection.clone().downcast::<std::net::TcpStream>() {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
            return None;
        }
        if let Some(failed) = self.call_next(&parts.headers) {
            return Some(failed);
        }
        let size = text(SIZE_HEADER).and_then(|size| size.parse().ok()).unwrap_or(64);
        let body = answer_body(&self.service, text(NONCE_HEADER).unwrap_or("none"), size);
        Some(self.finish(Response::builder().status(200), body))
    }

    /// Calls the next proxy; an answer other than 200 is passed back as it came.
    fn call_next(&self, headers: &touche::HeaderMap) -> Option<Response<Vec<u8>>> {
        let (address, service) = self.next.as_ref()?;
        let mut request = self.agent.get(format!("http://{address}/{service}/next"));
        for name in [NONCE_HEADER, forward::DEADLINE_HEADER, forward::DEPTH_HEADER] {
            if let Some(value) = headers.get(name).and_then(|value| value.to_str().ok()) {
                request = request.header(name, value);
            }
        }
        let Ok(answer) = request.call() else {
            return Some(self.finish(Response::builder().status(502), Vec::new()));
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
        Some(self.finish(builder, Vec::new()))
    }

    fn work(&self) -> Duration {
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
        if !self.behaviour.mute_shed.load(Ordering::Relaxed) {
            builder = builder.header(verdict::VERDICT_HEADER, "not-run");
        }
        self.finish(builder, Vec::new())
    }

    fn finish(&self, builder: touche::http::response::Builder, body: Vec<u8>) -> Response<Vec<u8>> {
        let mut builder = builder.header(proxy::LOAD_HEADER, format!("{:.2}", self.load()));
        if self.is_draining() {
            builder = builder.header(proxy::BACKEND_STATE_HEADER, "draining");
        }
        if self.stop.is_set() {
            builder = builder.header("Connection", "close");
        }
        builder.body(body).expect("all headers are valid")
    }

    fn count_run(&self, key: Option<&str>) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = key {
            // One write per line: appends of a few bytes are not torn by other threads.
            let _ = (&self.log).write_all(format!("{key}\n").as_bytes());
        }
    }
}

/// The answer's body: what it answers, filled up to a size so that a cut is noticed.
pub fn answer_body(service: &str, nonce: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{service} {nonce} ").into_bytes();
    while body.len() < size {
        body.push(b'a' + (body.len() % 26) as u8);
    }
    body
}

/// Counts the runs per key in a back end's file.
pub fn read_runs(path: &std::path::Path, runs: &mut BTreeMap<String, u64>) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    for key in text.lines() {
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}
