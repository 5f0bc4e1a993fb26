//! Second tries of calls that take longer than nearly all of their like.

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
/// Calls of which what is usual is learned.
const LEARNED: u32 = 300;

fn upstream(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn answered(spent_ms: u32, status: u16) -> AttemptEnd {
    let reply = HopReply { spent_ms, pace_percent: 100, ..reply(HopOutcome::Answered) };
    AttemptEnd::Replied(reply, Response::empty(status))
}

/// Tells how many of its slots each upstream has in use.
fn tell_loads(world: &mut World, running: u32) {
    for host in 1..=3 {
        let load = UpstreamLoad::new(running, 0, USUAL_MS).with_pace(100);
        world.calls.view.note_load(&upstream(host), load, world.now);
    }
}

/// Three idle upstreams, and times of which one in thirty is seven times as long as the others.
fn learned() -> World {
    learned_in(World::with_upstreams(3))
}

fn learned_in(mut world: World) -> World {
    for path in ["/safe/1", "/unsafe/1"] {
        for number in 0..LEARNED {
            let (attempt, _) = sent(&world.begin("GET", path)).expect("placed");
            let spent_ms = if number % 30 == 7 { 7 * USUAL_MS } else { USUAL_MS };
            world.calls.ended(attempt, answered(spent_ms, 200), world.now);
        }
    }
    // The answers told loads; newer ones come through coordinators.
    world.now += 1_000;
    tell_loads(&mut world, 0);
    world
}

struct Hedged {
    world: World,
    first: Attempt,
    second: Attempt,
    to: [NodeAddress; 2],
}

/// A call with two tries under way.
fn hedged() -> Hedged {
    let mut world = learned();
    let (first, first_to) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let (second, second_to) = sent(&wait(&mut world, 500)).expect("hedged");
    Hedged { world, first, second, to: [first_to, second_to] }
}

/// What is done within this time.
fn wait(world: &mut World, ms: u64) -> Vec<CallAction> {
    let mut actions = Vec::new();
    for _ in 0..ms / 10 {
        world.now += 10;
        actions.extend(world.calls.tick(world.now));
    }
    actions
}

fn aborted(actions: &[CallAction]) -> Vec<Attempt> {
    let aborted = actions.iter().filter_map(|action| match action {
        CallAction::Abort(attempt) => Some(*attempt),
        _ => None,
    });
    aborted.collect()
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
        // The other answer is on its way already.
        assert!(world.calls.ended(loser, answered(USUAL_MS, 200), world.now).is_empty());
        assert_eq!(world.calls.counts.answered, u64::from(LEARNED) * 2 + 1);
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
    let mut world = learned();
    let first = hop(&world.begin("GET", "/safe/1")).expect("placed");
    let actions = wait(&mut world, 500);
    let second = hop(&actions).expect("hedged");
    assert_eq!(second.patience_ms, 0);
    assert_eq!([first.repeat, first.hedge], [false, false]);
    assert_eq!([second.repeat, second.hedge], [true, true], "the sidecar there knows what it is");
    assert_eq!(first.usual_ms, second.usual_ms);
    assert!((80..160).contains(&first.usual_ms), "{first:?}: learned");
    assert!(second.deadline_ms < first.deadline_ms, "{second:?}");
    let held = first.deadline_ms - second.deadline_ms;
    assert!((100..300).contains(&held), "{held}: longer than nearly all");
}

#[test]
fn how_two_tries_end_decides_what_the_caller_gets() {
    let lost = || AttemptEnd::Lost;
    let refused = || replied(HopOutcome::Refused, 503);
    let rejected = || replied(HopOutcome::Rejected, 503);
    let unknown = || replied(HopOutcome::Unknown, 502);
    let failed = || answered(USUAL_MS, 500);
    let kept_away = || {
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
        ("quarantined", kept_away),
    ];
    let mut seen = String::new();
    for (name, end) in bad {
        for second_fails_first in [true, false] {
            // One fails, the other answers.
            let Hedged { mut world, first, second, .. } = hedged();
            let (one, other) = if second_fails_first { (second, first) } else { (first, second) };
            let actions = world.calls.ended(one, end(), world.now);
            assert!(actions.is_empty(), "{name}: the other goes on: {actions:?}");
            let actions = world.calls.ended(other, answered(USUAL_MS, 200), world.now);
            assert_eq!(status(&actions), Some(200), "{name}");
            assert!(aborted(&actions).is_empty(), "{name}: nothing is left");
        }
        // Both fail: one arrival of two is lost.
        let Hedged { mut world, first, second, .. } = hedged();
        assert!(world.calls.ended(first, end(), world.now).is_empty());
        let actions = world.calls.ended(second, lost(), world.now);
        let third = sent(&actions).is_some();
        writeln!(seen, "{name}, then lost: {:?}, third try {third}", status(&actions))
            .expect("text");
    }
    expect![[r#"
        not sent, then lost: None, third try true
        lost, then lost: Some(502), third try false
        refused, then lost: None, third try true
        rejected, then lost: None, third try true
        unknown, then lost: Some(502), third try false
        failed, then lost: Some(500), third try false
        quarantined, then lost: Some(502), third try false
    "#]]
    .assert_eq(&seen);
}

#[test]
fn there_is_no_second_try_where_it_is_not_allowed_or_has_no_room() {
    type Row = (&'static str, fn() -> World, &'static str, bool);
    let rows: [Row; 8] = [
        ("idle upstreams", learned, "/safe/1", true),
        ("a call that may run once", learned, "/unsafe/1", false),
        ("a route of which nothing is known", learned, "/inner/1", false),
        (
            "switched off",
            || {
                let mut world = learned();
                world.calls.set_hedging(false);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "no slots",
            || {
                let mut world = learned();
                tell_loads(&mut world, SLOTS);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "one slot each",
            || {
                let mut world = learned();
                tell_loads(&mut world, SLOTS - 1);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "few slots of the service",
            || {
                let mut world = learned();
                tell_loads(&mut world, SLOTS - 3);
                let load = UpstreamLoad::new(SLOTS, 0, USUAL_MS).with_pace(100);
                world.calls.view.note_load(&upstream(1), load, world.now);
                world
            },
            "/safe/1",
            false,
        ),
        (
            "no word of loads",
            || {
                let mut world = learned();
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
    // The route allows two: the second is not hedged.
    let mut world = learned();
    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let again = world.calls.ended(first, AttemptEnd::Lost, world.now);
    assert!(sent(&again).is_some(), "repeated");
    tell_loads(&mut world, 0);
    assert!(sent(&wait(&mut world, 1_000)).is_none());

    // Its first upstream refused it, and says that such a call ended one.
    let mut world = learned();
    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let told = HopReply { upstream_ended: true, ..reply(HopOutcome::Refused) };
    let again =
        world.calls.ended(first, AttemptEnd::Replied(told, Response::empty(503)), world.now);
    assert!(sent(&again).is_some(), "it did not run, and goes elsewhere");
    tell_loads(&mut world, 0);
    assert!(sent(&wait(&mut world, 1_000)).is_none());
}

#[test]
fn second_tries_keep_within_their_part_of_the_bound() {
    // Slack of the fleet, and the second tries of 25 slow calls of a window of their own.
    let mut seen = String::new();
    for slack in [0.0, 9.0, 60.0] {
        let mut world = learned_in(World::with_bounds(0.2, slack));
        world.now += 11_000;
        for _ in 0..25 {
            tell_loads(&mut world, 0);
            assert!(sent(&world.begin("GET", "/safe/1")).is_some());
            wait(&mut world, 300);
            let connection = world.connection();
            world.calls.connection_ended(connection, world.now);
        }
        writeln!(seen, "{slack}: {}", world.calls.counts.hedges).expect("text");
    }
    expect![[r#"
        0: 0
        9: 1
        60: 6
    "#]]
    .assert_eq(&seen);
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
    // Its caller leaves.
    let Hedged { mut world, first, second, .. } = hedged();
    let connection = world.connection();
    let actions = world.calls.connection_ended(connection, world.now);
    assert_eq!(aborted(&actions), [first, second]);
    assert!(wait(&mut world, 3_000).is_empty());
    // Its time is over.
    let Hedged { mut world, first, second, .. } = hedged();
    let actions = wait(&mut world, TIMEOUT_MS);
    assert_eq!(status(&actions), Some(504));
    assert_eq!(aborted(&actions), [first, second]);
    // The process ends: it may have run if either was sent.
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
        assert!(sent(&actions).is_some(), "begun work is not refused for it");
        until.push(world.calls.hedges_barred_until());
    }
    expect!["[0, 0, 31000, 31000, 31000]"].assert_eq(&format!("{until:?}"));
}

#[test]
fn calls_with_large_answers_get_no_second_try() {
    let mut seen = Vec::new();
    for bytes in [400, 90_000] {
        let mut world = World::with_upstreams(3);
        for number in 0..LEARNED {
            let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
            let spent_ms = if number % 30 == 7 { 7 * USUAL_MS } else { USUAL_MS };
            let AttemptEnd::Replied(reply, mut response) = answered(spent_ms, 200) else {
                panic!("it is an answer");
            };
            response.body = vec![b'x'; bytes];
            world.calls.ended(attempt, AttemptEnd::Replied(reply, response), world.now);
        }
        world.now += 1_000;
        tell_loads(&mut world, 0);
        assert!(sent(&world.begin("GET", "/safe/1")).is_some());
        seen.push(sent(&wait(&mut world, 500)).is_some());
    }
    assert_eq!(seen, [true, false], "they would wait for two links");
}
