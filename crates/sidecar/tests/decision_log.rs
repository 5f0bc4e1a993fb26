//! Every decision on a call is logged with its reasons. Bodies and unrelated headers are not
//! logged.

mod common;

use common::*;
use expect_test::expect;
use http1::{Answer, ExchangeError, Headers, Request, Response};
use mesh::{HopOutcome, HopRequest, InstanceRecord, InstanceState};
use sidecar::{
    AttemptEnd, ConnectionId, JobAction, JobMetrics, Jobs, LogSample, Source, UpstreamEnd,
};
use std::fmt::{self, Write};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use telemetry::Registry;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

const SECRET: &str = "card-4711";

/// Records each event as one line.
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<String>>>);

impl LogLines {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[derive(Default)]
struct Line {
    event: String,
    fields: String,
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.event = format!("{value:?}"),
            name => write!(self.fields, " {name}={value:?}").expect("text"),
        }
    }
}

impl Subscriber for LogLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut line = Line::default();
        event.record(&mut line);
        let line = format!("{}{}", line.event, line.fields);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// The log lines of a scenario.
fn logged_lines(scenario: impl FnOnce()) -> Vec<String> {
    let lines = LogLines::default();
    tracing::subscriber::with_default(lines.clone(), scenario);
    lines.take()
}

/// The log of a scenario on the outbound side.
fn outbound(scenario: impl FnOnce(&mut World)) -> String {
    let mut world = World::with_upstreams(1);
    logged_lines(|| scenario(&mut world)).join("\n")
}

/// Begins a call and ends its attempt after 40 ms.
fn end(world: &mut World, path: &str, end: AttemptEnd) {
    let (attempt, _) = sent(&world.begin("GET", path)).expect("placed");
    world.calls.ended(attempt, end, world.now + 40);
}

#[test]
fn the_outbound_side_tells_how_each_call_was_placed_and_how_it_ended() {
    let answered = outbound(|world| end(world, "/safe/1", replied(HopOutcome::Answered, 200)));
    expect![[r#"
        call_placed id=id-1 route=safe service=fares rank=1 target_ms=600 try_number=1 to=10.0.0.1:8300 patience_ms=150 left_ms=1992 told_ms=2000
        hop_replied id=id-1 to=10.0.0.1:8300 try_number=1 outcome=Answered status=200 running=1 queued=0 limit=9 spent_ms=100"#]].assert_eq(&answered);
    let refused = outbound(|world| end(world, "/unsafe/1", replied(HopOutcome::Refused, 503)));
    expect![[r#"
        call_placed id=id-1 route=unsafe service=fares rank=1 target_ms=600 try_number=1 to=10.0.0.1:8300 patience_ms=150 left_ms=1992 told_ms=2000
        hop_replied id=id-1 to=10.0.0.1:8300 try_number=1 outcome=Refused status=503 running=1 queued=0 limit=9 spent_ms=100
        call_refused id=id-1 route=unsafe service=fares tries=1 retry_after_ms=80 held_ms=40 trail=10.0.0.1:8300@40ms:refused/503:1+0of9 verdict="not-run""#]].assert_eq(&refused);
    let lost = outbound(|world| end(world, "/unsafe/1", AttemptEnd::Lost));
    expect![[r#"
        call_placed id=id-1 route=unsafe service=fares rank=1 target_ms=600 try_number=1 to=10.0.0.1:8300 patience_ms=150 left_ms=1992 told_ms=2000
        hop_failed id=id-1 to=10.0.0.1:8300 try_number=1 outcome="lost" held_ms=40 left_ms=1960
        call_failed id=id-1 route=unsafe service=fares tries=1 arrivals=1 held_ms=40 trail=10.0.0.1:8300@40ms:lost/0:0+0of0 verdict="may-have-run""#]].assert_eq(&lost);
    let timed_out = outbound(|world| {
        world.begin("GET", "/safe/1");
        world.calls.tick(world.now + TIMEOUT_MS);
    });
    expect![[r#"
        call_placed id=id-1 route=safe service=fares rank=1 target_ms=600 try_number=1 to=10.0.0.1:8300 patience_ms=150 left_ms=1992 told_ms=2000
        call_timed_out id=id-1 route=safe service=fares tries=1 held_ms=2000 trail=- at=Some("10.0.0.1:8300") verdict="may-have-run""#]].assert_eq(&timed_out);
    let cancelled = outbound(|world| {
        world.begin("GET", "/safe/1");
        let connection = world.connection();
        world.calls.connection_ended(connection, world.now + 5);
    });
    expect![[r#"
        call_placed id=id-1 route=safe service=fares rank=1 target_ms=600 try_number=1 to=10.0.0.1:8300 patience_ms=150 left_ms=1992 told_ms=2000
        call_cancelled id=id-1 tries=1"#]].assert_eq(&cancelled);
    let without_route = outbound(|world| drop(world.begin("GET", "/nowhere/")));
    expect!["call_without_route id=id-1 host=fares.example path=/nowhere/ generation=1 current=true confirmed_ms_ago=Some(0)"].assert_eq(&without_route);
}

#[test]
fn a_call_that_is_held_back_tells_why() {
    let text = outbound(|world| {
        for _ in 0..30 {
            let actions = world.begin("GET", "/unsafe/1");
            if let Some((attempt, _)) = sent(&actions) {
                world.calls.ended(attempt, replied(HopOutcome::Refused, 503), world.now);
            }
        }
    });
    let held_back = text.lines().find(|line| line.contains("like_calls_are_late"));
    expect![[r#"call_refused id=id-5 route=unsafe service=fares reason="like_calls_are_late" part=0.40 retry_after_ms=409 verdict="not-run""#]].assert_eq(held_back.expect("some calls are shed"));
}

/// The log of a scenario on the inbound side.
fn inbound(scenario: impl FnOnce(&mut Jobs)) -> String {
    let metrics = JobMetrics::new(&Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let id = "i-1".to_owned();
    let state = InstanceState::Ready;
    let record = InstanceRecord {
        id,
        state,
        slots: 1,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    };
    jobs.gate.on_report(&record, 1, 0);
    jobs.refresh_limit(0);
    logged_lines(|| scenario(&mut jobs)).join("\n")
}

fn begin(jobs: &mut Jobs, slot: u64, service: &str) -> Vec<JobAction> {
    let mut headers = Headers::default();
    headers.push(NAMES.attempt_id, format!("id-{slot}"));
    headers.push("Authorization", SECRET);
    let body = SECRET.as_bytes().to_vec();
    let request =
        Request { method: "POST".to_owned(), target: "/".to_owned(), headers, body: body.into() };
    let hop = HopRequest {
        deadline_ms: 1_000,
        patience_ms: 50,
        rank: 1,
        target_ms: 600,
        repeatable: false,
        service: service.to_owned(),
        instance: None,
        departure: None,
        suspect: false,
        nested: false,
        repeat: false,
        hedge: false,
        usual_ms: 0,
        rate_limit: None,
    };
    let source = Source::Peer { connection: ConnectionId::for_tests(1), slot };
    jobs.begin(source, Rc::new(request), &hop, 10)
}

/// Begins a job and ends it 60 ms later; the probe that a failure may cause finds the upstream
/// alive.
fn end_first(jobs: &mut Jobs, end: UpstreamEnd) {
    let actions = begin(jobs, 1, SERVICE);
    let JobAction::Run { job, .. } = &actions[0] else { panic!("not started") };
    let ended = jobs.ended(*job, end, 70);
    if matches!(ended[..], [JobAction::Probe { again: false }]) {
        found_alive(jobs, 70);
    }
}

fn answered(response: Response) -> UpstreamEnd {
    UpstreamEnd::Answered(Answer { response, reusable: true })
}

#[test]
fn the_inbound_side_tells_who_was_let_to_the_upstream_and_what_came_of_it() {
    let sealed = Response::empty(200).with_header(NAMES.seal, "s");
    let served = inbound(|jobs| end_first(jobs, answered(sealed)));
    expect![[r#"
        job_started id=id-1 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        job_ended id=id-1 outcome=Answered status=200 spent_ms=60 running=0 queued=0"#]]
    .assert_eq(&served);
    let unsealed = inbound(|jobs| end_first(jobs, answered(Response::empty(200))));
    expect![[r#"
        job_started id=id-1 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        answer_without_seal id=id-1 status=200
        job_ended id=id-1 outcome=Unknown status=502 spent_ms=60 running=0 queued=0"#]]
    .assert_eq(&unsealed);
    let broken = inbound(|jobs| end_first(jobs, UpstreamEnd::Failed(ExchangeError::CutShort)));
    expect![[r#"
        job_started id=id-1 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        upstream_failed id=id-1 fingerprint=d9541b5bf63471cb error=the answer was cut short instance=Some("i-1")
        job_ended id=id-1 outcome=Unknown status=502 spent_ms=65 running=0 queued=0"#]]
    .assert_eq(&broken);
    let refused = inbound(|jobs| {
        begin(jobs, 1, "another");
        begin(jobs, 2, SERVICE);
        begin(jobs, 3, SERVICE);
    });
    expect![[r#"
        job_refused id=id-1 reason="other_service" running=0 queued=0 limit=1 held_ms=0 retry_after_ms=0 verdict="not-run"
        job_started id=id-2 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        job_refused id=id-3 reason="no_room" running=1 queued=0 limit=1 held_ms=0 retry_after_ms=50 verdict="not-run""#]].assert_eq(&refused);
    let left = inbound(|jobs| {
        begin(jobs, 1, SERVICE);
        jobs.connection_ended(ConnectionId::for_tests(1), 30);
    });
    expect![[r#"
        job_started id=id-1 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        job_cancelled id=id-1 started=true"#]]
    .assert_eq(&left);
    let crashed = inbound(|jobs| {
        let actions = begin(jobs, 1, SERVICE);
        let JobAction::Run { job, .. } = &actions[0] else { panic!("not started") };
        jobs.ended(*job, UpstreamEnd::Failed(ExchangeError::NoAnswer), 70);
        jobs.probed(false, 72);
    });
    expect![[r#"
        job_started id=id-1 instance=Some("i-1") waited_ms=0 left_ms=1000 running=1 limit=1
        upstream_ended instance=i-1 running=1 suspects=1
        requests_suspected instance=i-1 count=1
        upstream_failed id=id-1 fingerprint=d9541b5bf63471cb error=the connection ended without an answer instance=Some("i-1")
        job_ended id=id-1 outcome=Unknown status=502 spent_ms=62 running=0 queued=0"#]].assert_eq(&crashed);
    for text in [served, unsealed, broken, refused, left, crashed] {
        assert!(!text.contains(SECRET), "{text}");
    }
}
