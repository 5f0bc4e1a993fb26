//! A sound upstream: works on requests, rejects those meant for another incarnation, and tells the
//! sidecar beside it of itself.

use crate::fleet::Fleet;
use crate::http::{self, Message};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Heartbeats are sent this often (`HeartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request that the upstream has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
}

pub struct Upstream {
    pub id: String,
    service: String,
    zone: String,
    application: SocketAddrV4,
    control: SocketAddrV4,
    work: Duration,
    sequence: AtomicU64,
    beats: AtomicBool,
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Upstream {
    /// Starts an upstream beside the sidecar of a host.
    pub fn start(
        fleet: &Fleet,
        host: u8,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let upstream = Arc::new(Upstream {
            id: format!("i-{host:02x}5a{:04x}", std::process::id() & 0xffff),
            service: service.to_owned(),
            zone: zone.to_owned(),
            application: fleet.at(host, "application"),
            control: fleet.at(host, "control"),
            work,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
            connections: Mutex::default(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(upstream.application)?;
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                let _ = beating.beat();
                let known = beating.sequence.load(Ordering::SeqCst) > 2;
                thread::sleep(if known { HEARTBEAT } else { Duration::from_millis(300) });
            }
        });
        Ok(upstream)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(held) = stream.try_clone() {
            self.connections.lock().unwrap_or_else(PoisonError::into_inner).push(held);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
            let meant_for = request.header("x-expect-instance").unwrap_or(&self.id);
            if meant_for != self.id {
                self.record.note(&format!("upstream {} rejects {id}: 421", self.id));
                if answer(&mut writer, 421, &id, "X-Not-Executed: 1\r\n", b"").is_err() {
                    return;
                }
                continue;
            }
            self.note_run(&request, &id);
            thread::sleep(self.work);
            let seal = format!("X-Server-Seal: {}.{id}\r\n", self.id);
            let body = format!("{} did {id}", self.id);
            if answer(&mut writer, 200, &id, &seal, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn note_run(&self, request: &Message, id: &str) {
        self.record.note(&format!("upstream {} runs {id} ({})", self.id, request.first));
        let run = Run { at: self.record.now(), id: id.to_owned() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The next heartbeat: its path and body.
    pub fn next_beat(&self) -> (String, String, u64) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let path = format!("/-/rpc?call=instances.heartbeat&of={}", self.id);
        let body = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Generation\":\"v1\",\"Zone\":\"{}\",\
             \"Slots\":18}},\"Status\":{{\"State\":\"ready\",\"Sequence\":{sequence},\
             \"ColdRemainingMs\":0}}}}",
            self.application, self.service, self.zone
        );
        (path, body, sequence)
    }

    fn beat(&self) -> io::Result<u16> {
        let (path, body, _) = self.next_beat();
        self.tell(&path, body.as_bytes())
    }

    /// Sends something to the control address of this machine, and waits a second for the answer.
    fn tell(&self, path: &str, body: &[u8]) -> io::Result<u16> {
        let headers = [("Content-Type", "application/json")];
        http::call(self.control, path, &headers, body, Duration::from_secs(1))
            .map(|answer| answer.status())
    }

    /// Stops the regular heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Sends a heartbeat that is held up on its way, by a proxy that opens its own connection to the
    /// control address when the time is over.
    pub fn beat_late(self: &Arc<Self>, delay: Duration) {
        let (path, body, sequence) = self.next_beat();
        self.record.note(&format!(
            "upstream {} sends heartbeat {sequence} (ready); it is held up for {} ms",
            self.id,
            delay.as_millis()
        ));
        let upstream = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let answer = upstream.tell(&path, body.as_bytes());
            upstream.record.note(&format!(
                "heartbeat {sequence} of upstream {} (ready) has arrived: {answer:?}",
                upstream.id
            ));
        });
    }

    /// Says that it leaves, until that is acknowledged; returns when it was.
    pub fn leave(&self, longest: Duration) -> Option<f64> {
        let until = self.record.now() + longest.as_secs_f64();
        let path = format!("/-/rpc?call=instances.leave&of={}", self.id);
        while self.record.now() < until {
            let sent = self.record.now();
            let answer = self.tell(&path, b"");
            self.record.note(&format!(
                "upstream {} said at {sent:.3} that it leaves: {answer:?}",
                self.id
            ));
            if matches!(answer, Ok(200..=299)) {
                return Some(self.record.now());
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Ends: takes no new connections and closes all.
    pub fn end(&self) {
        self.stop_beats();
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.application.into(), Duration::from_millis(200));
        for stream in self.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.note(&format!("upstream {} has ended", self.id));
    }
}

fn answer(
    writer: &mut TcpStream,
    status: u16,
    id: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nX-Attempt-Id: {id}\r\n{headers}X-Server-Load: 1,0,18\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}
