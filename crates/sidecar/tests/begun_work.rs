//! Calls made by jobs that already occupy a slot have priority over new work.

mod common;

use common::*;
use http1::Response;
use mesh::{HopOutcome, HopReply};
use sidecar::{AttemptEnd, CallAction};

/// Number of calls that were sent to an upstream.
fn count_sent(world: &mut World, begin: impl Fn(&mut World) -> Vec<CallAction>) -> usize {
    (0..50).filter(|_| sent(&begin(world)).is_some()).count()
}

/// Most recent calls were late, so new ones are held back.
fn overloaded() -> World {
    let mut world = World::with_upstreams(2);
    for _ in 0..10 {
        let begun: Vec<_> = (0..4).map(|_| sent(&world.begin("GET", "/unsafe/1"))).collect();
        world.now += u64::from(TARGET_MS) + 10;
        for (attempt, _) in begun.into_iter().flatten() {
            world.calls.ended(attempt, replied(HopOutcome::Answered, 200), world.now);
        }
    }
    world
}

#[test]
fn they_are_never_held_back() {
    let new = count_sent(&mut overloaded(), |world| world.begin("GET", "/unsafe/1"));
    assert!(new < 30, "{new} of 50 new calls sent");
    assert_eq!(count_sent(&mut overloaded(), |world| world.begin_nested("/unsafe/1")), 50);
}

#[test]
fn their_hop_says_so_and_they_wait_while_their_deadline_allows() {
    let mut world = World::with_upstreams(1);
    let new = hop(&world.begin("GET", "/inner/1")).expect("the call is sent");
    let begun = hop(&world.begin_nested("/inner/1")).expect("the call is sent");
    assert!(!new.nested && begun.nested);
    assert!(
        new.patience_ms <= 120,
        "{} ms: a longer wait would make the call miss its target",
        new.patience_ms
    );
    let left_ms = begun.deadline_ms - begun.patience_ms;
    assert!((1..100).contains(&left_ms), "{left_ms} ms are left for its work");
}

#[test]
fn an_upstream_that_refused_new_work_is_asked_for_them() {
    let mut world = World::with_upstreams(1);
    let refused = || replied(HopOutcome::Refused, 503);
    let (attempt, _) = sent(&world.begin("GET", "/inner/1")).expect("the call is sent");
    assert_eq!(status(&world.calls.ended(attempt, refused(), world.now)), Some(503));
    assert!(sent(&world.begin("GET", "/inner/1")).is_none(), "a similar call was just refused");

    let (attempt, _) =
        sent(&world.begin_nested("/inner/1")).expect("calls of running jobs are still sent there");
    assert_eq!(status(&world.calls.ended(attempt, refused(), world.now)), Some(503));
    assert!(sent(&world.begin_nested("/inner/1")).is_none(), "a similar call was just refused");
}

#[test]
fn an_upstream_that_refused_them_is_not_asked_for_new_work() {
    let mut world = World::with_upstreams(1);
    let (attempt, _) = sent(&world.begin_nested("/inner/1")).expect("the call is sent");
    let reply = HopReply { retry_after_ms: 80, ..reply(HopOutcome::Refused) };
    let refused = AttemptEnd::Replied(reply, Response::empty(503));
    world.calls.ended(attempt, refused, world.now);
    assert!(sent(&world.begin("GET", "/inner/1")).is_none());
}
