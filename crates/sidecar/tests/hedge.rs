//! Hedging of calls that take longer than nearly all similar calls.

mod common;

use common::*;
use expect_test::expect;
use http1::Response;
use mesh::{HopOutcome, HopReply, NodeAddress, UpstreamLoad};
use sidecar::{Attempt, AttemptEnd, CallAction, Initiator};
use std::fmt::Write;
use std::net::Ipv4Addr;

const USUAL_MS: u32 = 100;
const SLOTS: u32 = 9;
/// Number of calls from which the usual time of a route is learned.
const SAMPLES: u32 = 300;

fn upstream(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn answered(spent_ms: u32, status: u16) -> AttemptEnd {
    let reply = HopReply { spent_ms, service_time_percent: 100, ..reply(HopOutcome::Answered) };
    AttemptEnd::Replied(reply, Response::empty(status))
}

/// Reports that each upstream runs this many calls.
fn report_loads(world: &mut World, running: u32) {
    for host in 1..=3 {
        let load = UpstreamLoad::new(running, 0, USUAL_MS).with_service_time_percent(100);
        world.calls.view.note_load(&upstream(host), load, world.now);
    }
}

/// Three idle upstreams and known usual times. One call in thirty takes seven times as long as the
/// others.
fn trained() -> World {
    train(World::with_upstreams(3))
}

fn train(mut world: World) -> World {
    for path in ["/safe/1", "/unsafe/1"] {
        for number in 0..SAMPLES {
            let (attempt, _) = sent(&world.begin("GET", path)).expect("placed");
            let spent_ms = if number % 30 == 7 { 7 * USUAL_MS } else { USUAL_MS };
            world.calls.ended(attempt, answered(spent_ms, 200), world.now);
        }
    }
    // Newer load reports from coordinators replace those in the answers.
    world.now += 1_000;
    report_loads(&mut world, 0);
    world
}

struct Hedged {
    world: World,
    first: Attempt,
    second: Attempt,
    to: [NodeAddress; 2],
}

/// A call with two active attempts.
fn hedged() -> Hedged {
    let mut world = trained();
    let (first, first_to) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let (second, second_to) = sent(&wait(&mut world, 500)).expect("hedged");
    Hedged { world, first, second, to: [first_to, second_to] }
}

/// Advances the time in steps of 10 ms and collects the actions.
fn wait(world: &mut World, ms: u64) -> Vec<CallAction> {
    let mut actions = Vec::new();
    for _ in 0..ms / 10 {
        world.now += 10;
        actions.extend(world.calls.tick(world.now));
    }
    actions
}

fn aborted(actions: &[CallAction]) -> Vec<Attempt> {
    let attempts = actions.iter().filter_map(|action| match action {
        CallAction::Abort(attempt) => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

#[test]
fn a_slow_call_is_sent_to_a_second_upstream_and_the_first_good_answer_wins() {
    for second_wins in [true, false] {
        let Hedged { mut world, first, second, to } = hedged();
        assert_ne!(to[0], to[1]);
        assert_eq!((world.calls.counts.hedges, world.calls.counts.repeats), (1, 1));
        let (winner, loser) = if second_wins { (second, first) } else { (first, second) };
        let actions = world.calls.ended(winner, answered(USUAL_MS, 200), world.now);
        assert_eq!(status(&actions), Some(200));
        assert_eq!(aborted(&actions), [loser]);
        assert_eq!(world.calls.in_flight(), 0);
        // A late answer of the other attempt is ignored.
        assert!(world.calls.ended(loser, answered(USUAL_MS, 200), world.now).is_empty());
        assert_eq!(world.calls.counts.answered, u64::from(SAMPLES) * 2 + 1);
        assert_eq!(world.calls.counts.hedges_won, u64::from(second_wins));
        for host in 1..=3 {
            let upstream = world.calls.view.get(&upstream(host)).expect("known");
            assert_eq!(upstream.outstanding, 0, "{host}");
        }
        assert!(wait(&mut world, 3_000).is_empty());
    }
}

#[test]
fn a_second_try_does_not_wait_for_a_slot_and_has_the_time_that_is_left() {
    let mut world = trained();
    let first = hop(&world.begin("GET", "/safe/1")).expect("placed");
    let actions = wait(&mut world, 500);
    let second = hop(&actions).expect("hedged");
    assert_eq!(second.patience_ms, 0);
    assert_eq!([first.repeat, first.hedge], [false, false]);
    assert_eq!([second.repeat, second.hedge], [true, true], "the hedge is marked for the receiver");
    assert_eq!(first.usual_ms, second.usual_ms);
    assert!((80..160).contains(&first.usual_ms), "{first:?}: the learned time");
    assert!(second.deadline_ms < first.deadline_ms, "{second:?}");
    let held = first.deadline_ms - second.deadline_ms;
    assert!((100..300).contains(&held), "{held}: longer than nearly all calls");
}

#[test]
fn how_two_tries_end_decides_what_the_caller_gets() {
    let lost = || AttemptEnd::Lost;
    let refused = || replied(HopOutcome::Refused, 503);
    let rejected = || replied(HopOutcome::Rejected, 503);
    let unknown = || replied(HopOutcome::Unknown, 502);
    let failed = || answered(USUAL_MS, 500);
    let quarantined = || {
        let reply = HopReply { quarantine_left_ms: 9_000, ..reply(HopOutcome::Refused) };
        AttemptEnd::Replied(reply, Response::empty(503))
    };
    type End = fn() -> AttemptEnd;
    let bad: [(&str, End); 7] = [
        ("not sent", || AttemptEnd::NotSent),
        ("lost", lost),
        ("refused", refused),
        ("rejected", rejected),
        ("unknown", unknown),
        ("failed", failed),
        ("quarantined", quarantined),
    ];
    let mut text = String::new();
    for (name, end) in bad {
        for second_fails_first in [true, false] {
            // One attempt fails, the other is answered.
            let Hedged { mut world, first, second, .. } = hedged();
            let (one, other) = if second_fails_first { (second, first) } else { (first, second) };
            let actions = world.calls.ended(one, end(), world.now);
            assert!(actions.is_empty(), "{name}: the other attempt continues: {actions:?}");
            let actions = world.calls.ended(other, answered(USUAL_MS, 200), world.now);
            assert_eq!(status(&actions), Some(200), "{name}");
            assert!(aborted(&actions).is_empty(), "{name}: no attempt is left");
        }
        // Both attempts fail; the second is lost.
        let Hedged { mut world, first, second, .. } = hedged();
        assert!(world.calls.ended(first, end(), world.now).is_empty());
        let actions = world.calls.ended(second, lost(), world.now);
        let third = sent(&actions).is_some();
        writeln!(text, "{name}, then lost: {:?}, third attempt {third}", status(&actions))
            .expect("text");
    }
    expect![[r#"
        not sent, then lost: None, third attempt true
        lost, then lost: Some(502), third attempt false
        refused, then lost: None, third attempt true
        rejected, then lost: None, third attempt true
        unknown, then lost: Some(502), third attempt false
        failed, then lost: Some(500), third attempt false
        quarantined, then lost: Some(502), third attempt false
    "#]]
    .assert_eq(&text);
}

#[test]
fn there_is_no_second_try_where_it_is_not_allowed_or_has_no_room() {
    type Row = (&'static str, fn() -> World, &'static str, bool);
    let rows: [Row; 8] = [
        ("idle upstreams", trained, "/safe/1", true),
        ("a call that is not repeatable", trained, "/unsafe/1", false),
        ("a route without known times", trained, "/inner/1", false),
        (
            "hedging disabled",
            || {
                let mut world = trained();
                world.calls.set_hedging(false);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "no free slots",
            || {
                let mut world = trained();
                report_loads(&mut world, SLOTS);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "one free slot each",
            || {
                let mut world = trained();
                report_loads(&mut world, SLOTS - 1);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "few free slots of the service",
            || {
                let mut world = trained();
                report_loads(&mut world, SLOTS - 3);
                let load = UpstreamLoad::new(SLOTS, 0, USUAL_MS).with_service_time_percent(100);
                world.calls.view.note_load(&upstream(1), load, world.now);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "no recent load reports",
            || {
                let mut world = trained();
                world.now += 5_000;
                world
            },
            "/safe/1",
            false,
        ),
    ];
    for (name, make, path, expected) in rows {
        let mut world = make();
        assert!(sent(&world.begin("GET", path)).is_some(), "{name}");
        assert_eq!(sent(&wait(&mut world, 1_000)).is_some(), expected, "{name}");
    }
}

#[test]
fn a_call_that_had_its_upstreams_or_may_crash_them_gets_no_second_try() {
    // The route allows two attempts, so the second one is not hedged.
    let mut world = trained();
    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let retry = world.calls.ended(first, AttemptEnd::Lost, world.now);
    assert!(sent(&retry).is_some(), "retried");
    report_loads(&mut world, 0);
    assert!(sent(&wait(&mut world, 1_000)).is_none());

    // The first upstream refuses the call and reports that the same request crashed an upstream.
    let mut world = trained();
    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let refusal = HopReply { upstream_ended: true, ..reply(HopOutcome::Refused) };
    let retry =
        world.calls.ended(first, AttemptEnd::Replied(refusal, Response::empty(503)), world.now);
    assert!(sent(&retry).is_some(), "it did not run, so another upstream is tried");
    report_loads(&mut world, 0);
    assert!(sent(&wait(&mut world, 1_000)).is_none());
}

#[test]
fn second_tries_keep_within_their_part_of_the_bound() {
    // Slack of the retry budget, and the number of hedges of 25 slow calls. The first calls have
    // left the budget's window by then.
    let mut text = String::new();
    for slack in [0.0, 9.0, 60.0] {
        let mut world = train(World::with_bounds(0.2, slack));
        world.now += 11_000;
        for _ in 0..25 {
            report_loads(&mut world, 0);
            assert!(sent(&world.begin("GET", "/safe/1")).is_some());
            wait(&mut world, 300);
            let connection = world.connection();
            world.calls.connection_ended(connection, world.now);
        }
        writeln!(text, "{slack}: {}", world.calls.counts.hedges).expect("text");
    }
    expect![[r#"
        0: 0
        9: 1
        60: 6
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_failure_does_not_end_the_other_try_however_often_its_like_fail() {
    let Hedged { mut world, first, second, .. } = hedged();
    let mut failed = 0;
    while failed < 40 {
        let mut actions = world.begin("GET", "/safe/1");
        while let Some((attempt, _)) = sent(&actions) {
            actions = world.calls.ended(attempt, answered(USUAL_MS, 500), world.now);
        }
        failed += 1;
    }
    assert!(world.calls.ended(first, answered(USUAL_MS, 500), world.now).is_empty());
    let actions = world.calls.ended(second, answered(USUAL_MS, 200), world.now);
    assert_eq!(status(&actions), Some(200));
}

#[test]
fn whatever_ends_the_call_stops_both_tries() {
    // The caller disconnects.
    let Hedged { mut world, first, second, .. } = hedged();
    let connection = world.connection();
    let actions = world.calls.connection_ended(connection, world.now);
    assert_eq!(aborted(&actions), [first, second]);
    assert!(wait(&mut world, 3_000).is_empty());
    // The deadline passes.
    let Hedged { mut world, first, second, .. } = hedged();
    let actions = wait(&mut world, TIMEOUT_MS);
    assert_eq!(status(&actions), Some(504));
    assert_eq!(aborted(&actions), [first, second]);
    // The process stops: the call may have run if either attempt was sent.
    for (sent, expected) in [([true, true], 502), ([false, true], 502), ([false, false], 503)] {
        let Hedged { mut world, first, second, .. } = hedged();
        let was_sent = |attempt| if attempt == first { sent[0] } else { sent[1] };
        let actions = world.calls.end_all(was_sent, 100, world.now);
        assert_eq!(status(&actions), Some(expected), "{sent:?}");
        assert_eq!(aborted(&actions), [first, second]);
    }
}

#[test]
fn calls_of_repeated_runs_use_up_the_bound_at_the_service_that_they_are_for() {
    let mut world = World::with_bounds(0.2, 3.0);
    for _ in 0..20 {
        assert!(sent(&world.begin("GET", "/inner/1")).is_some());
    }
    let mut until = Vec::new();
    for _ in 0..5 {
        let actions = world.begin_from(Initiator::RepeatedRun, "/inner/1");
        assert!(sent(&actions).is_some(), "calls made by a running request are not refused");
        until.push(world.calls.hedges_barred_until());
    }
    expect!["[0, 0, 31000, 31000, 31000]"].assert_eq(&format!("{until:?}"));
}

#[test]
fn calls_with_large_answers_get_no_second_try() {
    let mut was_hedged = Vec::new();
    for bytes in [400, 90_000] {
        let mut world = World::with_upstreams(3);
        for number in 0..SAMPLES {
            let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
            let spent_ms = if number % 30 == 7 { 7 * USUAL_MS } else { USUAL_MS };
            let AttemptEnd::Replied(reply, mut response) = answered(spent_ms, 200) else {
                panic!("not an answer");
            };
            response.body = vec![b'x'; bytes].into();
            world.calls.ended(attempt, AttemptEnd::Replied(reply, response), world.now);
        }
        world.now += 1_000;
        report_loads(&mut world, 0);
        assert!(sent(&world.begin("GET", "/safe/1")).is_some());
        was_hedged.push(sent(&wait(&mut world, 500)).is_some());
    }
    assert_eq!(was_hedged, [true, false], "a hedge of a large answer would wait on a second link");
}
