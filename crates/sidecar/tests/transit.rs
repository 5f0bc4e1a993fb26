//! How long calls waited on their way, and what happens to those that waited too long.

mod common;

use common::{NAMES, SERVICE};
use expect_test::{expect, Expect};
use http1::{Headers, Request};
use mesh::{Departure, HopRequest, InstanceRecord, InstanceState};
use sidecar::{ConnectionId, JobAction, JobMetrics, Jobs, LogSample, Source, TransitTimes};
use std::rc::Rc;
use telemetry::Registry;

const CLOCK: u32 = 0xbeef;
/// Offset of the sender's clock: its value when the receiver's clock is at 0.
const SENDER_OFFSET_MS: u64 = 70_000;

fn departure(clock: u32, at_ms: u64) -> Departure {
    Departure { clock, at_ms }
}

#[test]
fn what_goes_beyond_the_shortest_way_was_waited() {
    let mut transits = TransitTimes::default();
    let trips = [(100, 103), (200, 202), (300, 2_902), (3_000, 3_005)];
    let waited = trips.map(|(sent, arrived)| {
        transits.waited_ms(departure(CLOCK, SENDER_OFFSET_MS + sent), arrived)
    });
    expect![[r#"
        [
            0,
            0,
            2600,
            3,
        ]
    "#]]
    .assert_debug_eq(&waited);
}

#[test]
fn a_sender_that_started_again_has_another_clock() {
    let mut transits = TransitTimes::default();
    transits.waited_ms(departure(CLOCK, SENDER_OFFSET_MS), 2);
    assert_eq!(transits.waited_ms(departure(CLOCK + 1, 5), 50_000), 0);
    assert_eq!(transits.waited_ms(departure(CLOCK, SENDER_OFFSET_MS + 50_010), 50_020), 8);
}

#[test]
fn clocks_that_drift_apart_do_not_look_like_queues() {
    let mut transits = TransitTimes::default();
    let mut longest = 0;
    for second in 0..3_600_u64 {
        // The receiver's clock is faster by one part in a thousand.
        let waited = transits.waited_ms(departure(CLOCK, second * 1_000), second * 1_001);
        longest = longest.max(waited);
    }
    assert!(longest <= 120, "{longest} ms");
}

#[test]
fn stamps_that_make_no_sense_and_endless_clocks_are_borne() {
    let mut transits = TransitTimes::default();
    for clock in 0..20_000 {
        transits.waited_ms(departure(clock, u64::from(clock)), 10);
    }
    assert_eq!(transits.waited_ms(departure(CLOCK, u64::MAX / 4), 10), 0);
    assert!(transits.waited_ms(departure(CLOCK, 0), 10) > 0);
}

/// An inbound side that has measured the minimum transit time from its peer.
fn jobs() -> Jobs {
    let metrics = JobMetrics::new(&Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let record = InstanceRecord {
        id: "i-1".to_owned(),
        state: InstanceState::Ready,
        slots: 2,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    };
    jobs.gate.on_report(&record, 1, 0);
    jobs.refresh_limit(0);
    assert_eq!(describe(&begin(&mut jobs, 0, 1_000, 0, 2)), "runs, 1000 ms left");
    jobs
}

fn source(slot: u64) -> Source {
    Source::Peer { connection: ConnectionId::for_tests(1), slot }
}

fn hop(deadline_ms: u64, sent: u64) -> HopRequest {
    HopRequest {
        deadline_ms,
        patience_ms: 150,
        rank: 1,
        target_ms: 600,
        repeatable: true,
        service: SERVICE.to_owned(),
        instance: None,
        departure: Some(departure(CLOCK, SENDER_OFFSET_MS + sent)),
        suspect: false,
        nested: false,
        repeat: false,
        hedge: false,
        usual_ms: 0,
        rate_limit: None,
    }
}

fn begin(jobs: &mut Jobs, slot: u64, deadline_ms: u64, sent: u64, now: u64) -> Vec<JobAction> {
    let mut headers = Headers::default();
    headers.push(NAMES.attempt_id, "7");
    let request = Request {
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers,
        body: bytes::Bytes::new(),
    };
    jobs.begin(source(slot), Rc::new(request), &hop(deadline_ms, sent), now)
}

fn describe(actions: &[JobAction]) -> String {
    let description = |action: &JobAction| match action {
        JobAction::Run { request, .. } => {
            format!("runs, {} ms left", request.headers.text(NAMES.deadline_ms).unwrap_or("-"))
        }
        JobAction::Reply { reply, .. } => format!("{:?}", reply.outcome),
        JobAction::Abort(_) => "aborts".to_owned(),
        JobAction::Probe { .. } => "probes".to_owned(),
        JobAction::Grant { bytes, .. } => format!("grants {bytes}"),
    };
    let descriptions: Vec<String> = actions.iter().map(description).collect();
    match descriptions.is_empty() {
        true => "waits".to_owned(),
        false => descriptions.join(", "),
    }
}

fn check(deadline_ms: u64, way_ms: u64, expected: Expect) {
    let mut jobs = jobs();
    let sent = 500;
    let actions = begin(&mut jobs, 1, deadline_ms, sent, sent + 2 + way_ms);
    expected.assert_eq(&describe(&actions));
}

#[test]
fn time_on_the_way_is_taken_off_the_deadline() {
    check(1_000, 0, expect!["runs, 1000 ms left"]);
    check(1_000, 250, expect!["runs, 750 ms left"]);
}

#[test]
fn a_call_whose_deadline_passed_on_the_way_is_never_run() {
    check(200, 199, expect!["runs, 1 ms left"]);
    check(200, 200, expect!["Refused"]);
    check(600, 2_600, expect!["Refused"]);
}

#[test]
fn a_call_whose_caller_may_have_left_meanwhile_is_never_run() {
    check(10_000, 400, expect!["runs, 9600 ms left"]);
    check(10_000, 401, expect!["Refused"]);
}

#[test]
fn time_on_the_way_counts_as_waiting() {
    let mut jobs = jobs();
    begin(&mut jobs, 1, 1_000, 10, 12);
    // Both slots are occupied; a call takes 100 ms, so the next one would wait for 50 ms.
    assert_eq!(describe(&begin(&mut jobs, 2, 1_000, 20, 22 + 90)), "waits");
    assert_eq!(describe(&begin(&mut jobs, 3, 1_000, 30, 32 + 90)), "Refused");
}

#[test]
fn an_offer_that_was_late_on_the_way_is_refused_before_its_body() {
    let mut jobs = jobs();
    let actions = jobs.offer(source(1), "7", &hop(10_000, 500), 60_000, 502 + 401);
    assert_eq!(describe(&actions), "Refused");
    let actions = jobs.offer(source(2), "8", &hop(10_000, 1_000), 60_000, 1_002);
    assert_eq!(describe(&actions), "grants 32768");
}

#[test]
fn a_sender_that_tells_no_departure_is_served_as_before() {
    let text = "1000 150 1 600 1 fares -";
    let hop = HopRequest::decode(text).expect("an earlier version's header");
    assert_eq!((hop.departure, hop.encode().as_str()), (None, text));
    let told = HopRequest { departure: Some(departure(CLOCK, 77)), ..hop };
    assert_eq!(told.encode(), "1000 150 1 600 1 fares - beef 77");
    assert_eq!(HopRequest::decode(&told.encode()), Some(told));
}
