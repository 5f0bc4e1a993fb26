//! Open-loop callers that check every response and resend charges under the same key.

use super::backend::{response_body, NONCE_HEADER, SIZE_HEADER};
use super::ledger::{Ledger, ReportedOutcome};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use verdict::VERDICT_HEADER;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that the histograms record, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Attempts per charge, including the first.
const MAX_CHARGE_ATTEMPTS: usize = 6;
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// One kind of call.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// Service, which is also the first segment of the path.
    pub service: String,
    /// Whether the call is a charge with an idempotency key.
    pub is_charge: bool,
    /// Requested size of the response body, bytes.
    pub answer_bytes: usize,
}

/// Load that callers generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses that calls are sent to. Each thread uses one; charges are resent through the
    /// others.
    pub targets: Vec<SocketAddr>,
    /// Kinds of calls, used in turn.
    pub kinds: Vec<CallKind>,
    /// Number of caller threads.
    pub threads: usize,
    /// Calls per second of all threads together.
    pub rate: f64,
    /// Prefix of the nonces and idempotency keys, unique to the run.
    pub key_prefix: String,
    /// Time allowed per call, sent to the proxy as the deadline; a later response counts as late.
    pub deadline: Option<Duration>,
}

/// Counts of the outcomes of calls.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls sent, including resent ones.
    pub sent: u64,
    /// Complete and correct responses in time.
    pub answered: u64,
    /// Refused calls by verdict.
    pub refused: BTreeMap<String, u64>,
    /// Complete and correct responses after the caller's deadline; not counted in `answered`.
    pub late: u64,
    /// Connections that the proxy refused, so that nothing was sent.
    pub unreachable: u64,
    /// Calls that ended with an error between caller and proxy.
    pub cut: u64,
    /// Responses with an unexpected body, or with an error status and no verdict.
    pub wrong: u64,
    /// Descriptions of some failed calls.
    pub examples: Vec<String>,
    /// Latency of answered calls, measured from their scheduled time, microseconds.
    pub latency: Histogram<u64>,
    /// What callers were told about each charge.
    pub ledger: Ledger,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Tally {
            sent: 0,
            answered: 0,
            late: 0,
            unreachable: 0,
            refused: BTreeMap::new(),
            cut: 0,
            wrong: 0,
            examples: Vec::new(),
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the histogram bounds are valid"),
            ledger: Ledger::default(),
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: Tally) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.late += other.late;
        self.unreachable += other.unreachable;
        self.cut += other.cut;
        self.wrong += other.wrong;
        for (verdict, count) in other.refused {
            *self.refused.entry(verdict).or_default() += count;
        }
        let free_examples = 8_usize.saturating_sub(self.examples.len());
        self.examples.extend(other.examples.into_iter().take(free_examples));
        let _ = self.latency.add(&other.latency);
        self.ledger.merge(other.ledger);
    }

    fn add_example(&mut self, text: String) {
        if self.examples.len() < 4 {
            self.examples.push(text);
        }
    }
}

/// Running caller threads.
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Tally>>,
}

impl RunningLoad {
    /// Starts the caller threads.
    pub fn start(plan: &LoadPlan) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..plan.threads)
            .map(|number| {
                let (plan, stop) = (plan.clone(), stop.clone());
                thread::spawn(move || Caller::new(plan, number).run(&stop))
            })
            .collect();
        RunningLoad { stop, threads }
    }

    /// Stops the callers and returns the sum of their tallies.
    pub fn finish(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        let mut tally = Tally::new();
        for thread in self.threads {
            match thread.join() {
                Ok(thread_tally) => tally.merge(thread_tally),
                Err(_) => tally.add_example("a caller thread panicked".to_owned()),
            }
        }
        tally
    }
}

struct Caller {
    plan: LoadPlan,
    number: usize,
    agent: ureq::Agent,
    tally: Tally,
}

enum CallOutcome {
    Answered,
    /// Refused with this verdict and kind of refusal.
    Refused(String, String),
    /// The proxy refused the connection, so nothing was sent.
    Unreachable,
    Cut(String),
    Wrong(String),
}

impl Caller {
    fn new(plan: LoadPlan, number: usize) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .no_delay(true)
            .proxy(None)
            .build();
        Caller { plan, number, agent: config.into(), tally: Tally::new() }
    }

    fn run(mut self, stop: &AtomicBool) -> Tally {
        let interval = Duration::from_secs_f64(self.plan.threads as f64 / self.plan.rate);
        // Threads start at different times within the interval, so that they do not call in
        // lockstep.
        let offset = interval.mul_f64(self.number as f64 / self.plan.threads as f64);
        let mut scheduled = Instant::now() + offset;
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let pause = scheduled.saturating_duration_since(Instant::now());
            thread::sleep(pause);
            let kinds = &self.plan.kinds;
            let kind = kinds[(self.number + count) % kinds.len()].clone();
            self.make_call(&kind, count, scheduled);
            scheduled += interval;
            count += 1;
        }
        self.tally
    }

    fn make_call(&mut self, kind: &CallKind, count: usize, scheduled: Instant) {
        let nonce = format!("{}-{}-{count}", self.plan.key_prefix, self.number);
        let attempts = if kind.is_charge { MAX_CHARGE_ATTEMPTS } else { 1 };
        for attempt in 0..attempts {
            let target = (self.number + attempt) % self.plan.targets.len();
            let outcome = self.send(self.plan.targets[target], kind, &nonce);
            self.tally.sent += 1;
            if kind.is_charge {
                self.tally.ledger.record(&nonce, reported_outcome(&outcome));
            }
            let final_outcome = matches!(outcome, CallOutcome::Answered | CallOutcome::Wrong(_));
            self.count(outcome, scheduled);
            if final_outcome {
                return;
            }
            thread::sleep(RESEND_DELAY);
        }
    }

    fn send(&self, target: SocketAddr, kind: &CallKind, nonce: &str) -> CallOutcome {
        let uri = format!("http://{target}/{}/{nonce}", kind.service);
        let method = if kind.is_charge { "POST" } else { "GET" };
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(uri)
            .header(NONCE_HEADER, nonce)
            .header(SIZE_HEADER, kind.answer_bytes);
        if kind.is_charge {
            request = request.header("Idempotency-Key", nonce);
        }
        if let Some(deadline) = self.plan.deadline {
            request = request.header(forward::DEADLINE_HEADER, deadline.as_millis() as u64);
        }
        let body = if kind.is_charge { format!("charge {nonce}") } else { String::new() };
        let answered = match kind.is_charge {
            true => request.body(body).map(|request| self.agent.run(request)),
            false => request.body(()).map(|request| self.agent.run(request)),
        };
        match answered {
            Ok(Ok(mut answer)) => {
                let body = answer.body_mut().read_to_vec();
                check_response(kind, nonce, &answer, body)
            }
            Ok(Err(error)) if is_refused_connection(&error) => CallOutcome::Unreachable,
            Ok(Err(error)) => CallOutcome::Cut(error.to_string()),
            Err(error) => CallOutcome::Cut(error.to_string()),
        }
    }

    fn is_late(&self, scheduled: Instant) -> bool {
        self.plan.deadline.is_some_and(|deadline| scheduled.elapsed() > deadline)
    }

    fn count(&mut self, outcome: CallOutcome, scheduled: Instant) {
        match outcome {
            CallOutcome::Answered if self.is_late(scheduled) => self.tally.late += 1,
            CallOutcome::Unreachable => self.tally.unreachable += 1,
            CallOutcome::Answered => {
                self.tally.answered += 1;
                let latency_us = scheduled.elapsed().as_micros() as u64;
                let _ = self.tally.latency.record(latency_us.min(MAX_LATENCY_US));
            }
            CallOutcome::Refused(verdict, kind) => {
                self.tally.add_example(format!("refused: {kind}"));
                *self.tally.refused.entry(verdict).or_default() += 1;
            }
            CallOutcome::Cut(text) => {
                self.tally.cut += 1;
                self.tally.add_example(format!("cut: {text}"));
            }
            CallOutcome::Wrong(text) => {
                self.tally.wrong += 1;
                self.tally.add_example(format!("wrong: {text}"));
            }
        }
    }
}

fn reported_outcome(outcome: &CallOutcome) -> ReportedOutcome {
    match outcome {
        CallOutcome::Answered => ReportedOutcome::Answered,
        CallOutcome::Unreachable => ReportedOutcome::NotRun,
        CallOutcome::Refused(verdict, _) if verdict == "not-run" => ReportedOutcome::NotRun,
        _ => ReportedOutcome::MayHaveRun,
    }
}

fn is_refused_connection(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns the kind of refusal from a proxy's response body; a backend's refusal has no body.
fn refusal_kind(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let kind = parsed.as_ref().and_then(|body| body["message"].as_str());
    kind.unwrap_or("by the back end").to_owned()
}

fn check_response(
    kind: &CallKind,
    nonce: &str,
    answer: &ureq::http::Response<ureq::Body>,
    body: Result<Vec<u8>, ureq::Error>,
) -> CallOutcome {
    let body = match body {
        Ok(body) => body,
        Err(error) => return CallOutcome::Cut(error.to_string()),
    };
    let status = answer.status().as_u16();
    if status == 200 {
        let expected = response_body(&kind.service, nonce, kind.answer_bytes);
        if body == expected {
            return CallOutcome::Answered;
        }
        return CallOutcome::Wrong(format!("{nonce} got {}", String::from_utf8_lossy(&body)));
    }
    match answer.headers().get(VERDICT_HEADER).and_then(|verdict| verdict.to_str().ok()) {
        Some(verdict) => CallOutcome::Refused(verdict.to_owned(), refusal_kind(&body)),
        None => CallOutcome::Wrong(format!("{nonce} got status {status} without a verdict")),
    }
}
