//! Callers: each a thread that calls through one sidecar. Half of them open a connection for each call
//! and go elsewhere when the sidecar is not ready; half keep theirs and use it until it is gone.

use super::clock::{Clock, Shared};
use super::kept::{KeptConnection, KeptEnd};
use super::machines::{Machines, CALLERS};
use super::operator::{BASE_HOST, BASE_PATH};
use super::upstream::{answer_to, ID_HEADER, POISON};
use http1::Headers;
use soak::{Call, CallOutcome};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const PAUSE_MS: std::ops::Range<u64> = 5..40;
const POISON_PAUSE_MS: std::ops::Range<u64> = 20..120;
/// One of so many calls asks for the route of a version.
const VERSIONED_ONE_OF: u64 = 6;
/// One of so many calls must not be repeated.
const CHARGE_ONE_OF: u64 = 3;
/// One of so many of those has a body that goes from sidecar to sidecar as it is granted.
const UPLOAD_ONE_OF: u64 = 4;
const UPLOAD_BYTES: std::ops::Range<usize> = 9_000..200_000;

/// What the callers of a soak share.
pub struct Callers {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// One caller.
struct Caller {
    /// The connection that it keeps, if it is one that does.
    kept: Option<KeptConnection>,
    host: u8,
    base: String,
    next_id: Arc<AtomicU64>,
    version: Arc<AtomicU64>,
    clock: Clock,
    calls: Shared<Call>,
}

impl Callers {
    /// Starts `per_machine` callers at each machine of [`CALLERS`]; those of a machine whose bit is
    /// set in `away` have gone elsewhere. `version` is the newest one sent.
    pub fn start(
        machines: &Machines,
        away: &Arc<AtomicU64>,
        per_machine: usize,
        version: &Arc<AtomicU64>,
        clock: Clock,
        calls: &Shared<Call>,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
        for (place, host) in CALLERS.into_iter().enumerate() {
            for number in 0..per_machine {
                let address = SocketAddr::from((machines.ip(host), machines.ports.outbound));
                let kept = (number % 2 == 0).then(|| KeptConnection::new(address));
                let mut caller = Caller {
                    kept,
                    host,
                    base: format!("http://{}:{}", machines.ip(host), machines.ports.outbound),
                    next_id: next_id.clone(),
                    version: version.clone(),
                    clock,
                    calls: calls.clone(),
                };
                let (ended, away) = (ended.clone(), away.clone());
                threads.push(thread::spawn(move || {
                    while !ended.load(Ordering::Relaxed) {
                        let gone = away.load(Ordering::SeqCst) & (1 << place) != 0;
                        let open = caller.kept.as_ref().is_some_and(KeptConnection::is_open);
                        if !gone || open {
                            caller.call();
                        }
                        thread::sleep(Duration::from_millis(fastrand::u64(PAUSE_MS)));
                    }
                }));
            }
        }
        Callers { ended, threads }
    }

    /// Lets every caller finish its call.
    pub fn finish(self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl Caller {
    fn call(&mut self) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let repeatable = !id.is_multiple_of(CHARGE_ONE_OF);
        let newest = self.version.load(Ordering::SeqCst);
        let versioned = id.is_multiple_of(VERSIONED_ONE_OF) && newest > 1;
        let version = versioned.then(|| newest - fastrand::u64(0..=1));
        let path = match version {
            Some(version) => format!("/v{version}/{id}"),
            None if repeatable => format!("{BASE_PATH}{id}"),
            None => format!("/charge/{id}"),
        };
        let upload = self.kept.is_none()
            && !repeatable
            && version.is_none()
            && (id / CHARGE_ONE_OF).is_multiple_of(UPLOAD_ONE_OF);
        let bytes = if upload { fastrand::usize(UPLOAD_BYTES) } else { 0 };
        let body: Vec<u8> = (0..bytes).map(|place| (place as u64 * 7 + id) as u8).collect();
        let sent = self.clock.now();
        let outcome = match &mut self.kept {
            Some(kept) => ask_on(kept, id, &path),
            None => self.ask(id, &path, &body),
        };
        let ended = self.clock.now();
        let repeatable = repeatable || version.is_some();
        self.calls.push(Call { id, machine: self.host, repeatable, version, sent, ended, outcome });
    }

    fn ask(&self, id: u64, path: &str, body: &[u8]) -> CallOutcome {
        let url = format!("{}{path}", self.base);
        let (agent, id_text) = (super::agent(), id.to_string());
        let answered = match body.is_empty() {
            true => agent.get(url).header("Host", BASE_HOST).header(ID_HEADER, id_text).call(),
            false => {
                agent.post(url).header("Host", BASE_HOST).header(ID_HEADER, id_text).send(body)
            }
        };
        match answered {
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => {
                CallOutcome::NotConnected
            }
            Err(ureq::Error::Io(error)) if is_refused(&error) => CallOutcome::NotConnected,
            Err(_) => CallOutcome::Cut,
            Ok(mut resp) => {
                let status = resp.status().as_u16();
                match resp.body_mut().read_to_string() {
                    Ok(text) => CallOutcome::Answered {
                        status,
                        body_matches: text == answer_to(id, path, body),
                    },
                    Err(_) => CallOutcome::Cut,
                }
            }
        }
    }
}

fn ask_on(kept: &mut KeptConnection, id: u64, path: &str) -> CallOutcome {
    let mut headers = Headers::default();
    headers.push("Host", BASE_HOST);
    headers.push(ID_HEADER, id.to_string());
    match kept.get(path, &headers) {
        KeptEnd::NotConnected => CallOutcome::NotConnected,
        KeptEnd::ClosedBetween => CallOutcome::ClosedBetween,
        KeptEnd::Cut => CallOutcome::Cut,
        KeptEnd::Answered(response) => {
            let body_matches = response.body == answer_to(id, path, &[]).as_bytes();
            CallOutcome::Answered { status: response.status, body_matches }
        }
    }
}

/// A caller that sends one poison request again and again, to whichever sidecar, for a time.
pub fn repeat_poison(machines: &Machines, number: u64, time: Duration) -> JoinHandle<()> {
    let bases = CALLERS
        .map(|host| format!("http://{}:{}{BASE_PATH}", machines.ip(host), machines.ports.outbound));
    thread::spawn(move || {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let base = &bases[fastrand::usize(..bases.len())];
            let url = format!("{}{POISON}{number}", base.trim_end_matches('/'));
            // Whatever it is answered, it comes again.
            drop(super::agent().get(url).header("Host", BASE_HOST).call());
            thread::sleep(Duration::from_millis(fastrand::u64(POISON_PAUSE_MS)));
        }
    })
}

fn is_refused(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::AddrNotAvailable
    )
}
