//! A stand-in of an upstream: it registers with the sidecar on its machine and runs requests.

use crate::fleet::{Fleet, Machine};
use crate::http::{self, Connection, Head};
use crate::record::Record;
use crate::sys;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HEARTBEAT_MS: u64 = 1_500;
const SLOTS: u32 = 4;
/// An acknowledgement counts only if it arrives within this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// What an upstream does with a request whose head was read; false ends the connection.
pub type Handler = Arc<dyn Fn(&Upstream, &Head, &mut Connection) -> bool + Send + Sync>;

pub struct Upstream {
    pub id: String,
    pub record: Record,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    sequence: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    /// When the last heartbeat was acknowledged.
    pub acknowledged_at: Mutex<Option<Instant>>,
    handler: Handler,
}

impl Upstream {
    pub fn start(fleet: &Fleet, machine: &Machine, id: &str, handler: Handler) -> Arc<Self> {
        let address = fleet.address(machine, fleet.ports.app);
        let listener = TcpListener::bind(address).expect("the address of the upstream is free");
        sys::set_small_windows(&listener);
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            record: fleet.record.clone(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address,
            control: fleet.address(machine, fleet.ports.control),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            acknowledged_at: Mutex::new(None),
            handler,
        });
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while beating.beating.load(Ordering::SeqCst) {
                if beating.beat() {
                    *beating.acknowledged_at.lock().unwrap() = Some(Instant::now());
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        upstream
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::of(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let go_on = if head.target() == "/healthz" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.write(answer.as_bytes()).is_ok()
            } else {
                (self.handler)(self, &head, &mut connection)
            };
            if !go_on || self.ended.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Upstream { service, zone, address, .. } = self;
        let body = format!(
            "{{\"Address\":\"{address}\",\"Info\":{{\"Service\":\"{service}\",\
             \"Generation\":\"v1\",\"Zone\":\"{zone}\",\"Slots\":{SLOTS}}},\"Status\":{{\
             \"State\":\"ready\",\"Sequence\":{sequence},\"ColdRemainingMs\":0}}}}"
        );
        self.report("instances.heartbeat", &body)
    }

    /// Reports that it leaves; true if that is acknowledged.
    pub fn leave(&self) -> bool {
        self.beating.store(false, Ordering::SeqCst);
        self.report("instances.leave", "{}")
    }

    fn report(&self, call: &str, body: &str) -> bool {
        let Upstream { id, control, .. } = self;
        let head = format!(
            "POST /-/rpc?call={call}&of={id} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\n"
        );
        let answer = http::call(*control, &head, body.as_bytes(), ACK_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.head.status());
        self.record.note(format!("{id} sends {call}, answer {status}"));
        (200..300).contains(&status)
    }

    /// Ends: nothing is served any more.
    pub fn end(&self) {
        self.beating.store(false, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener so that it is closed.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        self.record.note(format!("{} ends", self.id));
    }
}

/// Answers with a framed body that names the request, and keeps the connection.
pub fn answer_whole(upstream: &Upstream, head: &Head, connection: &mut Connection) -> bool {
    if connection.read_body(head.length()).is_err() {
        return false;
    }
    let id = head.get("x-attempt-id").unwrap_or("-");
    if head.get("x-expect-instance").is_some_and(|expected| expected != upstream.id) {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return connection.write(answer.as_bytes()).is_ok();
    }
    upstream.record.note(format!("{} runs {id}", upstream.id));
    let body = format!("answer to {id}");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(answer.as_bytes()).is_ok()
}
