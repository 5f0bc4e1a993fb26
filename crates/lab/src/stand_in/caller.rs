//! Callers: open-loop, with checks of every answer, resending charges under their key.

use super::backend::{answer_body, NONCE_HEADER, SIZE_HEADER};
use super::ledger::{Ledger, Told};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use verdict::VERDICT_HEADER;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency the histograms hold, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Tries of one charge, the first included.
const MAX_CHARGE_TRIES: usize = 6;
const RESEND_PAUSE: Duration = Duration::from_millis(150);

/// One kind of call.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// Service, which is also the path's first segment.
    pub service: String,
    /// Whether it is a charge with a key.
    pub is_charge: bool,
    /// Size of the answer asked for, bytes.
    pub answer_bytes: usize,
}

/// What callers do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where calls are sent; each thread uses one address, charges may be resent through others.
    pub targets: Vec<SocketAddr>,
    /// Kinds, chosen in turn.
    pub kinds: Vec<CallKind>,
    /// Caller threads.
    pub threads: usize,
    /// Calls a second in all.
    pub rate: f64,
    /// Prefix of charge keys, unique to the run.
    pub key_prefix: String,
    /// Time a caller gives each call, told to the proxy; an answer after it counts as late.
    pub deadline: Option<Duration>,
}

/// What became of the calls.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls sent.
    pub sent: u64,
    /// Whole answers to the own request.
    pub answered: u64,
    /// Refusals by verdict and kind.
    pub refused: BTreeMap<String, u64>,
    /// Whole answers after the caller's deadline, not counted as answered.
    pub late: u64,
    /// Connections that the proxy did not accept: nothing was sent.
    pub unreachable: u64,
    /// Connections lost between caller and proxy: cut calls.
    pub cut: u64,
    /// Answers that belong to another call, or are not whole, marked as complete.
    pub wrong: u64,
    /// Examples of what went wrong.
    pub examples: Vec<String>,
    /// Latency of answered calls from their scheduled time, microseconds.
    pub latency: Histogram<u64>,
    /// Charges.
    pub ledger: Ledger,
}

impl Tally {
    /// Nothing yet.
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
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            ledger: Ledger::default(),
        }
    }

    /// Adds another tally.
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
        let room = 8_usize.saturating_sub(self.examples.len());
        self.examples.extend(other.examples.into_iter().take(room));
        let _ = self.latency.add(&other.latency);
        self.ledger.merge(other.ledger);
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < 4 {
            self.examples.push(text);
        }
    }
}

/// Callers that run in threads of their own.
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Tally>>,
}

impl RunningLoad {
    /// Starts the callers.
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

    /// Ends the callers and adds their tallies up.
    pub fn finish(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        let mut tally = Tally::new();
        for thread in self.threads {
            match thread.join() {
                Ok(own) => tally.merge(own),
                Err(_) => tally.example("a caller thread ended early".to_owned()),
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

enum CallEnd {
    Answered,
    /// Verdict, and the kind of refusal.
    Refused(String, String),
    /// Nothing was sent: the proxy does not listen.
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
        // Threads start at different times within the interval, or they would call in step.
        let phase = interval.mul_f64(self.number as f64 / self.plan.threads as f64);
        let mut scheduled = Instant::now() + phase;
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            let pause = scheduled.saturating_duration_since(Instant::now());
            thread::sleep(pause);
            let kinds = &self.plan.kinds;
            let kind = kinds[(self.number + count) % kinds.len()].clone();
            self.one_call(&kind, count, scheduled);
            scheduled += interval;
            count += 1;
        }
        self.tally
    }

    fn one_call(&mut self, kind: &CallKind, count: usize, scheduled: Instant) {
        let nonce = format!("{}-{}-{count}", self.plan.key_prefix, self.number);
        let tries = if kind.is_charge { MAX_CHARGE_TRIES } else { 1 };
        for attempt in 0..tries {
            let target = (self.number + attempt) % self.plan.targets.len();
            let end = self.send(self.plan.targets[target], kind, &nonce);
            self.tally.sent += 1;
            if kind.is_charge {
                self.tally.ledger.record(&nonce, told(&end));
            }
            let done = matches!(end, CallEnd::Answered | CallEnd::Wrong(_));
            self.count(end, scheduled);
            if done {
                return;
            }
            thread::sleep(RESEND_PAUSE);
        }
    }

    fn send(&self, target: SocketAddr, kind: &CallKind, nonce: &str) -> CallEnd {
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
                judge(kind, nonce, &answer, body)
            }
            Ok(Err(error)) if is_refused_connection(&error) => CallEnd::Unreachable,
            Ok(Err(error)) => CallEnd::Cut(error.to_string()),
            Err(error) => CallEnd::Cut(error.to_string()),
        }
    }

    fn is_late(&self, scheduled: Instant) -> bool {
        self.plan.deadline.is_some_and(|deadline| scheduled.elapsed() > deadline)
    }

    fn count(&mut self, end: CallEnd, scheduled: Instant) {
        match end {
            CallEnd::Answered if self.is_late(scheduled) => self.tally.late += 1,
            CallEnd::Unreachable => self.tally.unreachable += 1,
            CallEnd::Answered => {
                self.tally.answered += 1;
                let latency_us = scheduled.elapsed().as_micros() as u64;
                let _ = self.tally.latency.record(latency_us.min(MAX_LATENCY_US));
            }
            CallEnd::Refused(verdict, kind) => {
                self.tally.example(format!("refused: {kind}"));
                *self.tally.refused.entry(verdict).or_default() += 1;
            }
            CallEnd::Cut(text) => {
                self.tally.cut += 1;
                self.tally.example(format!("cut: {text}"));
            }
            CallEnd::Wrong(text) => {
                self.tally.wrong += 1;
                self.tally.example(format!("wrong: {text}"));
            }
        }
    }
}

fn told(end: &CallEnd) -> Told {
    match end {
        CallEnd::Answered => Told::Answered,
        CallEnd::Unreachable => Told::NotRun,
        CallEnd::Refused(verdict, _) if verdict == "not-run" => Told::NotRun,
        _ => Told::MayHaveRun,
    }
}

fn is_refused_connection(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// The kind in a proxy's refusal; a back end's own has no body.
fn refusal_kind(body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let kind = parsed.as_ref().and_then(|body| body["message"].as_str());
    kind.unwrap_or("by the back end").to_owned()
}

fn judge(
    kind: &CallKind,
    nonce: &str,
    answer: &ureq::http::Response<ureq::Body>,
    body: Result<Vec<u8>, ureq::Error>,
) -> CallEnd {
    let body = match body {
        Ok(body) => body,
        Err(error) => return CallEnd::Cut(error.to_string()),
    };
    let status = answer.status().as_u16();
    if status == 200 {
        let expected = answer_body(&kind.service, nonce, kind.answer_bytes);
        if body == expected {
            return CallEnd::Answered;
        }
        return CallEnd::Wrong(format!("{nonce} got {}", String::from_utf8_lossy(&body)));
    }
    match answer.headers().get(VERDICT_HEADER).and_then(|verdict| verdict.to_str().ok()) {
        Some(verdict) => CallEnd::Refused(verdict.to_owned(), refusal_kind(&body)),
        None => CallEnd::Wrong(format!("{nonce} got status {status} without a verdict")),
    }
}
