//! An upstream that ends, with all that it works on, while it runs certain requests, and is back a
//! moment later as a new incarnation.

use super::Fleet;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests with this in their path crash it.
pub const POISON: &str = "poison";
const RUN_TIME: Duration = Duration::from_millis(40);
/// From the start of a run to the crash: others begin meanwhile.
const TIME_TO_CRASH: Duration = Duration::from_millis(25);
const TIME_TO_RESTART: Duration = Duration::from_millis(700);
const HEARTBEAT: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(2);

/// Shared by all incarnations at one address.
pub struct CrashingUpstream {
    host: u8,
    address: (Ipv4Addr, u16),
    /// Incarnations that ended.
    pub crashes: AtomicU64,
    crashing: AtomicBool,
    /// Paths of runs that began.
    pub runs: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    over: AtomicBool,
}

impl CrashingUpstream {
    /// Starts it, and keeps it registered with the sidecar beside it.
    pub fn start(fleet: &Arc<Fleet>, host: u8) -> Arc<Self> {
        let upstream = Arc::new(CrashingUpstream {
            host,
            address: (fleet.ip(host), fleet.ports.upstream),
            crashes: AtomicU64::new(0),
            crashing: AtomicBool::new(false),
            runs: Mutex::default(),
            streams: Mutex::default(),
            over: AtomicBool::new(false),
        });
        let (served, registered) = (upstream.clone(), upstream.clone());
        std::thread::spawn(move || served.live());
        let fleet = fleet.clone();
        std::thread::spawn(move || registered.stay_registered(&fleet));
        upstream
    }

    /// Ends this incarnation, whatever it runs.
    pub fn crash(&self) {
        self.crashing.store(true, Ordering::SeqCst);
    }

    /// Lets its threads end.
    pub fn finish(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::SeqCst)
    }

    fn live(self: &Arc<Self>) {
        while !self.over.load(Ordering::SeqCst) {
            let listener = TcpListener::bind(self.address).expect("its address");
            listener.set_nonblocking(true).expect("set");
            self.crashing.store(false, Ordering::SeqCst);
            while !self.crashing.load(Ordering::SeqCst) && !self.over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => self.serve(stream),
                    Err(_) => std::thread::sleep(LOOK),
                }
            }
            drop(listener);
            for stream in self.streams.lock().expect("not poisoned").drain(..) {
                // The other side may have closed it.
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.crashes.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(TIME_TO_RESTART);
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        stream.set_nonblocking(false).expect("set");
        let held = stream.try_clone().expect("cloned");
        self.streams.lock().expect("not poisoned").push(held);
        let upstream = self.clone();
        std::thread::spawn(move || upstream.answer_all(stream));
    }

    /// Answers one request after the other, without bodies.
    fn answer_all(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let mut stream = stream;
        loop {
            let first = lines.next()?.ok()?;
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
            let path = first.split(' ').nth(1)?.to_owned();
            let is_poison = path.contains(POISON);
            self.runs.lock().expect("not poisoned").push(path);
            if is_poison {
                std::thread::sleep(TIME_TO_CRASH);
                self.crash();
                return None;
            }
            std::thread::sleep(RUN_TIME);
            let host = self.host;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal-{host}\r\n\
                 X-Chutecove-Attempt-Id: {attempt_id}\r\nContent-Length: 4\r\n\r\ndone"
            );
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn stay_registered(&self, fleet: &Fleet) {
        let mut sequence = 0;
        while !self.over.load(Ordering::SeqCst) {
            if !self.crashing.load(Ordering::SeqCst) {
                sequence += 1;
                let id = format!("i-{}-{}", self.host, self.crashes());
                fleet.register(self.host, &id, sequence, false);
            }
            std::thread::sleep(HEARTBEAT);
        }
    }
}
