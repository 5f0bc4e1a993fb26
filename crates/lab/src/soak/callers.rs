//! Caller threads, each of which sends calls through one sidecar. Half of them open a connection
//! for each call and stop calling while their sidecar is not ready; the other half reuse a
//! persistent connection until it is closed, and half of these send several calls on it at once.

use super::clock::{Clock, EventList};
use super::kept::{KeptRequest, PersistentConnection, ResponseOutcome};
use super::machines::{host_bit, Machines, CALLERS};
use super::operator::{BASE_HOST, BASE_PATH};
use super::upstream::{
    expected_body, parse_seal, ID_HEADER, LEAVING_HEADER, POISON, RATE_LIMIT_HEADER, SEAL_HEADER,
};
use http1::Headers;
use soak::{Call, CallOutcome, PassedOn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const CALL_PAUSE_MS: std::ops::Range<u64> = 5..40;
const POISON_PAUSE_MS: std::ops::Range<u64> = 20..120;
const REFUSED_STATUS: u16 = 503;
/// How long a caller that comes back keeps its connection behind a refusal.
const HOLD_MS: std::ops::Range<u64> = 40..240;
/// Calls that a pipelining caller sends at once.
const PIPELINED_CALLS: std::ops::RangeInclusive<usize> = 1..=4;
/// Every n-th call uses a route that only one configuration version has.
const VERSIONED_CALL_INTERVAL: u64 = 6;
/// Every n-th call is a charge, which must not be repeated.
const CHARGE_CALL_INTERVAL: u64 = 3;
/// Every n-th charge has a body, long enough that sidecars stream it under flow-control grants. They
/// are the charges with a remainder of 1, since every even one uses a versioned route.
const UPLOAD_CHARGE_INTERVAL: u64 = 32;
const UPLOAD_BYTES: std::ops::Range<usize> = 9_000..900_000;

/// The running caller threads of a soak round.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Which callers a round has.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Machines that have callers.
    pub hosts: Vec<u8>,
    /// Callers at each machine.
    pub per_machine: usize,
    /// Whether a quarter of them come back to a sidecar that has refused them.
    pub some_return: bool,
}

/// State of one caller thread.
struct Caller {
    /// Persistent connection; `None` for a caller that opens one per call.
    connection: Option<PersistentConnection>,
    /// Whether it sends further calls on its connection before the first one is answered.
    pipelines: bool,
    /// Whether it calls a sidecar that is not ready as well, and keeps a connection for a while behind a
    /// refusal.
    returns: bool,
    host: u8,
    base: String,
    next_id: Arc<AtomicU64>,
    version: Arc<AtomicU64>,
    clock: Clock,
    observations: Observations,
}

/// What callers observe.
#[derive(Clone, Default)]
pub struct Observations {
    /// Calls and how they ended.
    pub calls: EventList<Call>,
    /// Statements of upstreams in answers.
    pub passed_on: EventList<PassedOn>,
}

impl Callers {
    /// Starts callers. The [`host_bit`] of a machine in `inactive_callers` tells the callers there to open
    /// no connections. `version` is the newest configuration version sent.
    pub fn start(
        machines: &Machines,
        inactive_callers: &Arc<AtomicU64>,
        plan: &CallerPlan,
        version: &Arc<AtomicU64>,
        clock: Clock,
        observations: &Observations,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
        for host in plan.hosts.iter().copied() {
            for number in 0..plan.per_machine {
                let address = SocketAddr::from((machines.ip(host), machines.ports.outbound));
                let connection = (number % 2 == 0).then(|| PersistentConnection::new(address));
                let mut caller = Caller {
                    connection,
                    pipelines: number % 4 == 0,
                    returns: plan.some_return && number % 4 == 1,
                    host,
                    base: format!("http://{}:{}", machines.ip(host), machines.ports.outbound),
                    next_id: next_id.clone(),
                    version: version.clone(),
                    clock,
                    observations: observations.clone(),
                };
                let (stop, inactive_callers) = (stop.clone(), inactive_callers.clone());
                threads.push(thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let inactive =
                            inactive_callers.load(Ordering::SeqCst) & host_bit(host) != 0;
                        let connected =
                            caller.connection.as_ref().is_some_and(PersistentConnection::is_open);
                        if !inactive || connected || caller.returns {
                            caller.call();
                        }
                        thread::sleep(Duration::from_millis(fastrand::u64(CALL_PAUSE_MS)));
                    }
                }));
            }
        }
        Callers { stop, threads }
    }

    /// Stops all callers after their current call.
    pub fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// A call that has not been sent.
struct PlannedCall {
    id: u64,
    path: String,
    /// Configuration version whose route it uses.
    version: Option<u64>,
    repeatable: bool,
}

impl PlannedCall {
    /// Body of the call, if it has a connection of its own.
    fn body(&self) -> Vec<u8> {
        let is_upload =
            !self.repeatable && self.id / CHARGE_CALL_INTERVAL % UPLOAD_CHARGE_INTERVAL == 1;
        let bytes = if is_upload { fastrand::usize(UPLOAD_BYTES) } else { 0 };
        (0..bytes).map(|index| (index as u64 * 7 + self.id) as u8).collect()
    }

    fn kept_request(&self) -> KeptRequest {
        let mut headers = Headers::default();
        headers.push("Host", BASE_HOST);
        headers.push(ID_HEADER, self.id.to_string());
        KeptRequest { path: self.path.clone(), headers }
    }
}

impl Caller {
    fn plan(&self) -> PlannedCall {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let is_charge = id.is_multiple_of(CHARGE_CALL_INTERVAL);
        let newest = self.version.load(Ordering::SeqCst);
        let versioned = id.is_multiple_of(VERSIONED_CALL_INTERVAL) && newest > 1;
        let version = versioned.then(|| newest - fastrand::u64(0..=1));
        let path = match version {
            Some(version) => format!("/v{version}/{id}"),
            None if is_charge => format!("/charge/{id}"),
            None => format!("{BASE_PATH}{id}"),
        };
        PlannedCall { id, path, version, repeatable: !is_charge || version.is_some() }
    }

    fn call(&mut self) {
        let mut calls = vec![self.plan()];
        if self.pipelines {
            for _ in 1..fastrand::usize(PIPELINED_CALLS) {
                calls.push(self.plan());
            }
            // Callers send only what may be repeated before the answer to an earlier call.
            if calls.len() > 1 {
                calls.retain(|call| call.repeatable);
            }
        }
        let sent = self.clock.now();
        let outcomes = match &mut self.connection {
            Some(connection) => {
                let requests: Vec<KeptRequest> =
                    calls.iter().map(PlannedCall::kept_request).collect();
                let answers = connection.get_all(&requests);
                answers.iter().for_each(|answer| self.note_statements(answer));
                calls.iter().zip(answers).map(|(call, answer)| to_outcome(answer, call)).collect()
            }
            None => calls.iter().map(|call| self.send_request(call)).collect::<Vec<_>>(),
        };
        let ended = self.clock.now();
        for (call, outcome) in calls.into_iter().zip(outcomes) {
            let PlannedCall { id, version, repeatable, .. } = call;
            let machine = self.host;
            self.observations.calls.push(Call {
                id,
                machine,
                repeatable,
                version,
                sent,
                ended,
                outcome,
            });
        }
    }

    /// Records what the answer of an upstream on the persistent connection states of the upstream.
    fn note_statements(&self, answer: &ResponseOutcome) {
        if let ResponseOutcome::Answered(response) = answer {
            self.note_passed_on(|name| response.headers.text(name));
        }
    }

    fn note_passed_on<'a>(&self, header: impl Fn(&str) -> Option<&'a str>) {
        let Some((upstream, incarnation)) = header(SEAL_HEADER).and_then(parse_seal) else {
            return;
        };
        let limited = header(RATE_LIMIT_HEADER).is_some();
        let leaving = header(LEAVING_HEADER).is_some();
        if limited || leaving {
            let (machine, at) = (self.host, self.clock.now());
            let passed_on = PassedOn { machine, upstream, incarnation, at, limited, leaving };
            self.observations.passed_on.push(passed_on);
        }
    }

    fn send_request(&self, call: &PlannedCall) -> CallOutcome {
        let PlannedCall { id, path, .. } = call;
        let body = call.body();
        let url = format!("{}{path}", self.base);
        let (agent, id_text) = (super::agent(), id.to_string());
        let result = match body.is_empty() {
            true => agent.get(url).header("Host", BASE_HOST).header(ID_HEADER, id_text).call(),
            false => {
                agent.post(url).header("Host", BASE_HOST).header(ID_HEADER, id_text).send(&body)
            }
        };
        match result {
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => {
                CallOutcome::NotConnected
            }
            Err(ureq::Error::Io(error)) if is_refused(&error) => CallOutcome::NotConnected,
            Err(_) => CallOutcome::Cut,
            Ok(mut resp) => {
                let header = |name: &str| resp.headers().get(name)?.to_str().ok();
                self.note_passed_on(header);
                let status = resp.status().as_u16();
                if self.returns && status == REFUSED_STATUS {
                    thread::sleep(Duration::from_millis(fastrand::u64(HOLD_MS)));
                }
                match resp.body_mut().read_to_string() {
                    Ok(text) => CallOutcome::Answered {
                        status,
                        body_matches: text == expected_body(*id, path, &body),
                    },
                    Err(_) => CallOutcome::Cut,
                }
            }
        }
    }
}

fn to_outcome(answer: ResponseOutcome, call: &PlannedCall) -> CallOutcome {
    match answer {
        ResponseOutcome::NotConnected => CallOutcome::NotConnected,
        ResponseOutcome::ClosedBetween => CallOutcome::ClosedBetween,
        ResponseOutcome::Cut => CallOutcome::Cut,
        ResponseOutcome::Answered(response) => {
            let body_matches = response.body == expected_body(call.id, &call.path, &[]).as_bytes();
            CallOutcome::Answered { status: response.status, body_matches }
        }
    }
}

/// Starts a caller that repeats one poison request through randomly chosen sidecars for `time`.
pub fn repeat_poison(machines: &Machines, number: u64, time: Duration) -> JoinHandle<()> {
    let bases = CALLERS
        .map(|host| format!("http://{}:{}{BASE_PATH}", machines.ip(host), machines.ports.outbound));
    thread::spawn(move || {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let base = &bases[fastrand::usize(..bases.len())];
            let url = format!("{}{POISON}{number}", base.trim_end_matches('/'));
            // The response does not matter: the request is repeated in any case.
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
