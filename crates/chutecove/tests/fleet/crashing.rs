//! A test upstream that crashes while it runs certain requests, with all other requests in flight, and
//! restarts shortly afterwards as a new incarnation.

use super::Fleet;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests whose path contains this text crash the upstream.
pub const POISON: &str = "poison";
const REQUEST_DURATION: Duration = Duration::from_millis(40);
/// Time from the start of a poison request to the crash, in which other requests start.
const CRASH_DELAY: Duration = Duration::from_millis(25);
const RESTART_DELAY: Duration = Duration::from_millis(700);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State that all incarnations at one address share.
pub struct CrashingUpstream {
    host: u8,
    address: (Ipv4Addr, u16),
    /// Number of incarnations that have crashed.
    pub crashes: AtomicU64,
    crashing: AtomicBool,
    /// Paths of the requests that have started.
    pub started_paths: Mutex<Vec<String>>,
    connections: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

impl CrashingUpstream {
    /// Starts the upstream and keeps it registered with its sidecar.
    pub fn start(fleet: &Arc<Fleet>, host: u8) -> Arc<Self> {
        let upstream = Arc::new(CrashingUpstream {
            host,
            address: (fleet.ip(host), fleet.ports.upstream),
            crashes: AtomicU64::new(0),
            crashing: AtomicBool::new(false),
            started_paths: Mutex::default(),
            connections: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let (server, registrant) = (upstream.clone(), upstream.clone());
        std::thread::spawn(move || server.run_incarnations());
        let fleet = fleet.clone();
        std::thread::spawn(move || registrant.send_heartbeats(&fleet));
        upstream
    }

    /// Crashes the current incarnation, including the requests it runs.
    pub fn crash(&self) {
        self.crashing.store(true, Ordering::SeqCst);
    }

    /// Tells the threads of the upstream to exit.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    fn run_incarnations(self: &Arc<Self>) {
        while !self.stopped.load(Ordering::SeqCst) {
            let listener = TcpListener::bind(self.address).expect("the address can be bound");
            listener.set_nonblocking(true).expect("the socket mode is set");
            self.crashing.store(false, Ordering::SeqCst);
            while !self.crashing.load(Ordering::SeqCst) && !self.stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => self.serve(stream),
                    Err(_) => std::thread::sleep(ACCEPT_POLL_INTERVAL),
                }
            }
            drop(listener);
            for stream in self.connections.lock().expect("not poisoned").drain(..) {
                // The peer may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.crashes.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(RESTART_DELAY);
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        stream.set_nonblocking(false).expect("the socket mode is set");
        let connection = stream.try_clone().expect("cloned");
        self.connections.lock().expect("not poisoned").push(connection);
        let upstream = self.clone();
        std::thread::spawn(move || upstream.answer_requests(stream));
    }

    /// Answers the requests of a connection one after the other; they have no bodies.
    fn answer_requests(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let mut stream = stream;
        loop {
            let request_line = lines.next()?.ok()?;
            let mut attempt_id = String::new();
            loop {
                let line = lines.next()?.ok()?;
                if line.is_empty() {
                    break;
                }
                let (name, value) = line.split_once(':')?;
                if name.eq_ignore_ascii_case("x-chutecove-attempt-id") {
                    attempt_id = value.trim().to_owned();
                }
            }
            let path = request_line.split(' ').nth(1)?.to_owned();
            let crashes_upstream = path.contains(POISON);
            self.started_paths.lock().expect("not poisoned").push(path);
            if crashes_upstream {
                std::thread::sleep(CRASH_DELAY);
                self.crash();
                return None;
            }
            std::thread::sleep(REQUEST_DURATION);
            let host = self.host;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal-{host}\r\n\
                 X-Chutecove-Attempt-Id: {attempt_id}\r\nContent-Length: 4\r\n\r\ndone"
            );
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn send_heartbeats(&self, fleet: &Fleet) {
        let mut sequence = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            if !self.crashing.load(Ordering::SeqCst) {
                sequence += 1;
                let id = format!("i-{}-{}", self.host, self.crashes());
                fleet.register(self.host, &id, sequence, false);
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}
