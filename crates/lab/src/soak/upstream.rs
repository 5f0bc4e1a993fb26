//! Stand-in upstreams: they count their runs and register with the sidecar beside them.

use super::clock::{Clock, Shared};
use super::machines::{Machines, SERVICE};
use serde_json::json;
use soak::Run;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SLOTS: usize = 8;
const BEAT: Duration = Duration::from_millis(300);
const SHORTEST_WORK_MS: u64 = 2;
const LONGEST_WORK_MS: u64 = 40;
/// Header that carries a call's id.
pub const ID_HEADER: &str = "X-Chutecove-Attempt-Id";

/// One upstream.
pub struct Upstream {
    registration: String,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
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
    /// Starts the upstream of a machine; its runs go into `runs`.
    pub fn start(
        machines: &Machines,
        host: u8,
        clock: Clock,
        runs: Shared<Run>,
    ) -> Result<Arc<Self>, crate::Failure> {
        let ip = machines.ip(host);
        let upstream = Arc::new(Upstream {
            registration: format!("http://{ip}:{}/v1/instances", machines.ports.registration),
            incarnation: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let address = SocketAddr::from((ip, machines.ports.upstream));
        let server = rouille::Server::new(address, move |request| {
            let id = request.header(ID_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
            runs.push(Run { call: id, machine: host, at: clock.now() });
            let mut body = Vec::new();
            let read = request.data().map(|mut data| data.read_to_end(&mut body));
            if !matches!(read, None | Some(Ok(_))) {
                return rouille::Response::empty_400();
            }
            thread::sleep(Duration::from_millis(fastrand::u64(SHORTEST_WORK_MS..LONGEST_WORK_MS)));
            rouille::Response::text(answer_to(id, &request.url(), &body))
                .with_additional_header("X-Chutecove-Seal", format!("seal-{host}"))
                .with_additional_header(ID_HEADER, id.to_string())
        });
        let server = server.map_err(|error| error.to_string())?.pool_size(SLOTS);
        thread::spawn(move || server.run());
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.ended.load(Ordering::Relaxed) {
                beating.beat();
                thread::sleep(BEAT);
            }
        });
        Ok(upstream)
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
        self.beat()
    }

    /// Comes back as another incarnation.
    pub fn return_anew(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.draining.store(false, Ordering::SeqCst);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}
