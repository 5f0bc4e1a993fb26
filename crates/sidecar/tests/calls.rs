//! Outcomes of calls: refusals, retries, deadlines, cancellation.

mod common;

use common::*;
use expect_test::expect;
use http1::Response;
use mesh::{HopOutcome, HopReply, NodeAddress, UpstreamLoad};
use sidecar::{AttemptEnd, CallAction};
use std::fmt::Write;
use std::net::Ipv4Addr;

#[test]
fn without_a_configuration_nothing_is_said_about_routes() {
    let mut world = World::unconfigured();
    for path in ["/safe/1", "/nowhere/"] {
        let actions = world.begin("GET", path);
        assert_eq!(status(&actions), Some(503), "{path}: the route may exist in the configuration");
        assert!(retry_after_ms(&actions).is_some(), "{path}");
        assert_eq!(world.calls.in_flight(), 0, "{path}");
    }
    // A refused call must not run once the configuration arrives.
    world.configure();
    world.add_upstream(1);
    assert!(world.calls.tick(world.now + 1_000).is_empty());
    assert!(sent(&world.begin("GET", "/safe/1")).is_some());
    assert_eq!(status(&world.begin("GET", "/nowhere/")), Some(404));
}

#[test]
fn only_an_unknown_route_is_404() {
    let mut world = World::with_upstreams(1);
    assert_eq!(status(&world.begin("GET", "/nowhere/")), Some(404));
    assert_eq!(status(&world.begin_at("other.example", "GET", "/safe/1")), Some(404));
    assert!(sent(&world.begin("GET", "/safe/1")).is_some());
}

#[test]
fn final_answers_follow_from_what_is_certain() {
    // Name, whether the call is repeatable, how the attempt at the only upstream ends, and the
    // status that the caller gets.
    type Row = (&'static str, bool, fn() -> AttemptEnd, u16);
    let rows: Vec<Row> = vec![
        ("not sent, safe", true, || AttemptEnd::NotSent, 503),
        ("not sent, unsafe", false, || AttemptEnd::NotSent, 503),
        ("refused, unsafe", false, || replied(HopOutcome::Refused, 503), 503),
        ("rejected, unsafe", false, || replied(HopOutcome::Rejected, 503), 503),
        ("lost, safe", true, || AttemptEnd::Lost, 502),
        ("lost, unsafe", false, || AttemptEnd::Lost, 502),
        ("unknown, unsafe", false, || replied(HopOutcome::Unknown, 502), 502),
        ("answered", false, || replied(HopOutcome::Answered, 200), 200),
        ("failed by the upstream", false, || replied(HopOutcome::Answered, 500), 500),
        ("failed by the upstream, safe", true, || replied(HopOutcome::Answered, 500), 500),
        ("rejected because of the request", true, || replied(HopOutcome::Rejected, 400), 400),
    ];
    for (name, safe, end, expected) in rows {
        let mut world = World::with_upstreams(1);
        let path = if safe { "/safe/1" } else { "/unsafe/1" };
        let (attempt, _) = sent(&world.begin("POST", path)).expect("placed");
        let actions = world.calls.ended(attempt, end(), world.now);
        assert_eq!(status(&actions), Some(expected), "{name}");
        let did_not_run = expected == 503;
        assert_eq!(retry_after_ms(&actions).is_some(), did_not_run, "{name}");
        assert_eq!(world.calls.in_flight(), 0, "{name}");
    }
}

#[test]
fn a_call_that_surely_did_not_run_goes_to_another_upstream() {
    for path in ["/safe/1", "/unsafe/1"] {
        for end in [|| AttemptEnd::NotSent, || replied(HopOutcome::Refused, 503)] {
            let mut world = World::with_upstreams(3);
            let mut tried = Vec::new();
            let mut actions = world.begin("POST", path);
            while let Some((attempt, to)) = sent(&actions) {
                assert!(!tried.contains(&to), "{path}: tried twice");
                tried.push(to);
                actions = world.calls.ended(attempt, end(), world.now);
            }
            assert_eq!(tried.len(), 3, "{path}");
            assert_eq!(status(&actions), Some(503));
        }
    }
}

#[test]
fn a_call_that_may_have_run_is_repeated_only_if_it_may_run_twice() {
    let mut world = World::with_upstreams(3);
    let (attempt, _) = sent(&world.begin("POST", "/unsafe/1")).expect("placed");
    assert_eq!(status(&world.calls.ended(attempt, AttemptEnd::Lost, world.now)), Some(502));

    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let retry = world.calls.ended(first, AttemptEnd::Lost, world.now);
    let (second, _) = sent(&retry).expect("safe calls are retried");
    // The route allows two attempts.
    assert_eq!(status(&world.calls.ended(second, AttemptEnd::Lost, world.now)), Some(502));
}

#[test]
fn late_news_of_an_earlier_try_changes_nothing() {
    let mut world = World::with_upstreams(2);
    let (first, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let (second, _) =
        sent(&world.calls.ended(first, AttemptEnd::Lost, world.now)).expect("retried");
    assert!(world.calls.ended(first, replied(HopOutcome::Answered, 200), world.now).is_empty());
    let actions = world.calls.ended(second, replied(HopOutcome::Answered, 200), world.now);
    assert_eq!(status(&actions), Some(200));
    assert!(world.calls.ended(second, replied(HopOutcome::Answered, 200), world.now).is_empty());
}

#[test]
fn the_final_answer_comes_at_the_earlier_of_deadline_and_timeout() {
    for (deadline_ms, expected) in [(5_000, TIMEOUT_MS), (300, 300)] {
        let mut world = World::with_upstreams(1);
        let actions = world.begin_with_deadline("/safe/1", deadline_ms);
        let (attempt, _) = sent(&actions).expect("placed");
        assert!(world.calls.tick(world.now + expected - 1).is_empty());
        let actions = world.calls.tick(world.now + expected);
        assert_eq!(status(&actions), Some(504));
        assert!(actions
            .iter()
            .any(|action| matches!(action, CallAction::Abort(a) if *a == attempt)));
    }
}

#[test]
fn what_is_left_of_the_time_is_handed_on() {
    let mut world = World::with_upstreams(2);
    let actions = world.begin_with_deadline("/safe/1", 1_000);
    let (first, _) = sent(&actions).expect("placed");
    let before = hop(&actions).expect("placed").deadline_ms;
    assert!(before < 1_000);
    let retry = world.calls.ended(first, AttemptEnd::NotSent, world.now + 200);
    assert_eq!(hop(&retry).expect("placed").deadline_ms, before - 200);
}

#[test]
fn a_caller_that_leaves_stops_what_runs_for_it() {
    let mut world = World::with_upstreams(1);
    let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let connection = world.connection();
    let actions = world.calls.connection_ended(connection, world.now);
    assert!(matches!(actions[..], [CallAction::Abort(found)] if found == attempt));
    assert_eq!(world.calls.in_flight(), 0);
    assert!(world.calls.tick(world.now + 100_000).is_empty());
}

#[test]
fn callers_cannot_speak_for_sidecars() {
    let mut world = World::with_upstreams(1);
    let forged = [
        (NAMES.expect_instance, "i-0"),
        (NAMES.caller, "another"),
        (mesh::HOP_HEADER, "9 9 0 9 1 s -"),
    ];
    let actions = world.begin_with_headers("/safe/1", &forged);
    let CallAction::Send { request, .. } = &actions[0] else { panic!("placed") };
    assert_eq!(request.headers.text(NAMES.expect_instance), None);
    assert_eq!(request.headers.text(NAMES.caller), Some(OWN_SERVICE));
    assert_eq!(request.headers.text(mesh::HOP_HEADER), None);
    assert_eq!(request.headers.text(NAMES.attempt_id), Some("id-1"));
}

#[test]
fn a_service_without_upstreams_is_waited_for_only_shortly() {
    let mut world = World::with_upstreams(0);
    assert!(world.begin("GET", "/safe/1").is_empty(), "waits for an upstream");
    world.add_upstream(1);
    let actions = world.calls.tick(world.now + 50);
    let (attempt, _) = sent(&actions).expect("placed at the new upstream");
    world.calls.ended(attempt, replied(HopOutcome::Answered, 200), world.now);

    let mut world = World::with_upstreams(0);
    world.begin("GET", "/safe/1");
    let actions = world.calls.tick(world.now + 500);
    assert_eq!(status(&actions), Some(503));
}

#[test]
fn the_answer_of_an_upstream_is_passed_on_unchanged() {
    let mut world = World::with_upstreams(1);
    let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let response = Response::text(203, "body").with_header("X-Own", "1");
    let end = AttemptEnd::Replied(reply(HopOutcome::Answered), response.clone());
    let actions = world.calls.ended(attempt, end, world.now);
    assert!(
        matches!(&actions[..], [CallAction::Answer { response: found, .. }] if *found == response)
    );
}

#[test]
fn a_call_with_a_short_target_waits_past_it_but_not_past_its_deadline() {
    // An inner call with a target latency of 100 ms and a deadline in 250 ms.
    let mut world = World::with_upstreams(1);
    let actions = world.begin_with_deadline("/inner/1", 250);
    let patience = hop(&actions).expect("placed").patience_ms;
    assert!((100..=210).contains(&patience), "{patience} ms");
    let actions = world.begin_with_deadline("/inner/1", 60);
    let patience = hop(&actions).expect("placed").patience_ms;
    assert!(patience <= 52, "{patience} ms");
}

#[test]
fn a_call_with_a_long_target_waits_a_part_of_it() {
    let mut world = World::with_upstreams(1);
    let patience = hop(&world.begin("GET", "/safe/1")).expect("placed").patience_ms;
    assert!((120..=200).contains(&patience), "{patience} ms of {TARGET_MS}");
}

#[test]
fn a_call_is_offered_to_a_few_upstreams_only() {
    let mut world = World::with_upstreams(40);
    let mut actions = world.begin("GET", "/safe/1");
    let mut offers = 0;
    while let Some((attempt, _)) = sent(&actions) {
        offers += 1;
        actions = world.calls.ended(attempt, replied(HopOutcome::Refused, 503), world.now);
    }
    assert_eq!(offers, 5);
    assert_eq!(status(&actions), Some(503));
    assert!(retry_after_ms(&actions).is_some());
}

#[test]
fn an_upstream_that_leaves_a_call_without_an_answer_is_avoided() {
    let mut world = World::with_upstreams(2);
    let (_, silent) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let actions = world.calls.tick(world.now + TIMEOUT_MS);
    assert_eq!(status(&actions), Some(504));
    for _ in 0..20 {
        let (_, to) = sent(&world.begin("GET", "/safe/1")).expect("placed");
        assert_ne!(to, silent);
    }
}

#[test]
fn an_unknown_route_is_404_only_while_the_configuration_is_known_to_be_the_newest() {
    let mut world = World::with_upstreams(1);
    let mut text = String::new();
    let mut record_status = |world: &mut World, case: &str| {
        let status = status(&world.begin("GET", "/nowhere/")).expect("answered");
        writeln!(text, "{case}: {status}").expect("text");
    };
    record_status(&mut world, "just confirmed");
    world.now += 1_700;
    record_status(&mut world, "1.7 s after the confirmation was requested");
    world.now += 100;
    record_status(&mut world, "1.8 s");
    world.confirm(0);
    record_status(&mut world, "a coordinator without a leader confirms nothing");
    world.confirm(2);
    record_status(&mut world, "another generation is the newest");
    world.confirm(1);
    record_status(&mut world, "a lagging coordinator reports the local generation");
    let known = sent(&world.begin("GET", "/safe/1")).is_some();
    writeln!(text, "known routes are still served: {known}").expect("text");
    expect![[r#"
        just confirmed: 404
        1.7 s after the confirmation was requested: 404
        1.8 s: 503
        a coordinator without a leader confirms nothing: 503
        another generation is the newest: 503
        a lagging coordinator reports the local generation: 503
        known routes are still served: true
    "#]]
    .assert_eq(&text);
}

#[test]
fn every_end_of_a_call_is_counted_by_route_and_outcome() {
    let mut world = World::with_upstreams(2);
    let mut end = |path: &str, end: AttemptEnd| {
        let (attempt, _) = sent(&world.begin("GET", path)).expect("placed");
        world.calls.ended(attempt, end, world.now + 30);
    };
    end("/safe/1", replied(HopOutcome::Answered, 200));
    end("/unsafe/1", replied(HopOutcome::Answered, 500));
    end("/unsafe/1", AttemptEnd::Lost);
    world.begin("GET", "/safe/1");
    let connection = world.connection();
    world.calls.connection_ended(connection, world.now + 10);
    world.begin("GET", "/inner/1");
    world.calls.tick(world.now + TIMEOUT_MS);
    for _ in 0..40 {
        let mut actions = world.begin("GET", "/unsafe/1");
        while let Some((attempt, _)) = sent(&actions) {
            actions = world.calls.ended(attempt, replied(HopOutcome::Refused, 503), world.now);
        }
        world.now += 100;
    }
    let text = world.registry.encode();
    let mut lines: Vec<&str> = text.lines().filter(|line| line.contains("route=")).collect();
    lines.sort_unstable();
    expect![[r#"
        chutecove_sidecar_calls_ended_total{route="inner",outcome="timed_out"} 1
        chutecove_sidecar_calls_ended_total{route="safe",outcome="answered"} 1
        chutecove_sidecar_calls_ended_total{route="safe",outcome="cancelled"} 1
        chutecove_sidecar_calls_ended_total{route="unsafe",outcome="failed"} 1
        chutecove_sidecar_calls_ended_total{route="unsafe",outcome="held_back"} 23
        chutecove_sidecar_calls_ended_total{route="unsafe",outcome="refused"} 17
        chutecove_sidecar_calls_ended_total{route="unsafe",outcome="upstream_failed"} 1"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_process_that_ends_gives_every_call_its_answer() {
    // State of the attempt, path, whether it was sent completely, and the status the caller gets.
    type Row = (&'static str, &'static str, bool, u16);
    let rows: [Row; 4] = [
        ("sent completely, unsafe", "/unsafe/1", true, 502),
        ("sent completely, safe", "/safe/1", true, 502),
        ("body waits for a grant", "/unsafe/1", false, 503),
        ("connection being opened", "/safe/1", false, 503),
    ];
    for (name, path, was_sent, expected) in rows {
        let mut world = World::with_upstreams(2);
        let (attempt, _) = sent(&world.begin("POST", path)).expect("placed");
        let actions = world.calls.end_all(|other| was_sent && other == attempt, 1_500, world.now);
        assert_eq!(status(&actions), Some(expected), "{name}");
        assert_eq!(retry_after_ms(&actions).is_some(), expected == 503, "{name}");
        assert!(actions.iter().any(|action| matches!(action, CallAction::Abort(_))), "{name}");
        assert_eq!(world.calls.in_flight(), 0, "{name}");
        assert!(world.calls.ended(attempt, AttemptEnd::Lost, world.now).is_empty(), "{name}");
    }
}

#[test]
fn calls_are_sent_while_their_service_tells_of_room() {
    // All calls are late, so a part of them is shed unless the upstreams report free slots.
    let refused_of_forty = |load: Option<UpstreamLoad>| {
        let mut world = World::with_upstreams(2);
        let mut refused = 0;
        for _ in 0..10 {
            // Long enough for load reports from coordinators to replace those from earlier answers.
            world.now += 400;
            for host in 1..=2 {
                let key = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 };
                if let Some(load) = load {
                    world.calls.view.note_load(&key, load, world.now);
                }
            }
            let begun: Vec<_> = (0..4).map(|_| sent(&world.begin("GET", "/unsafe/1"))).collect();
            world.now += u64::from(TARGET_MS) + 10;
            for attempt in begun {
                match attempt {
                    Some((attempt, _)) => {
                        let late = replied(HopOutcome::Answered, 200);
                        world.calls.ended(attempt, late, world.now);
                    }
                    None => refused += 1,
                }
            }
        }
        refused
    };
    expect![[r#"
        no load reports: 10
        all slots taken: 10
        most slots free: 0
    "#]]
    .assert_eq(&format!(
        "no load reports: {}\nall slots taken: {}\nmost slots free: {}\n",
        refused_of_forty(None),
        refused_of_forty(Some(UpstreamLoad::new(9, 4, 100))),
        refused_of_forty(Some(UpstreamLoad::new(2, 0, 100))),
    ));
}

#[test]
fn who_is_refused_is_told_when_the_first_that_refused_it_expects_room() {
    let mut world = World::with_upstreams(3);
    let refused = |retry_after_ms| {
        let reply = HopReply { retry_after_ms, ..reply(HopOutcome::Refused) };
        AttemptEnd::Replied(reply, Response::empty(503))
    };
    // One upstream refused an earlier call with a Retry-After of 160 ms. Most of that has passed,
    // but the upstream is still skipped.
    let (earlier, _) = sent(&world.begin("GET", "/unsafe/1")).expect("placed");
    let actions = world.calls.ended(earlier, refused(160), world.now);
    let connection = world.connection();
    assert!(sent(&actions).is_some());
    world.calls.connection_ended(connection, world.now);
    world.now += 149;

    let mut actions = world.begin("GET", "/unsafe/1");
    let mut retry_after = [900, 600].into_iter();
    while let Some((attempt, _)) = sent(&actions) {
        let end = refused(retry_after.next().expect("two other upstreams"));
        actions = world.calls.ended(attempt, end, world.now);
    }
    assert_eq!(retry_after_ms(&actions), Some(600));
}

/// A peer that ends before a call has capacity for those that end before it.
#[test]
fn a_peer_that_refuses_what_outlasts_it_is_not_taken_for_full() {
    let mut world = World::with_upstreams(1);
    let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("it is sent");
    let refused = HopReply { accepts_ms: Some(1_000), ..reply(HopOutcome::Refused) };
    let end = AttemptEnd::Replied(refused, Response::empty(503));
    let actions = world.calls.ended(attempt, end, world.now);
    assert_eq!(status(&actions), Some(503), "the only upstream has refused it");
    assert!(sent(&world.begin("GET", "/safe/2")).is_none(), "two seconds are too long as well");
    assert!(sent(&world.begin_with_deadline("/safe/3", 900)).is_some());
}
