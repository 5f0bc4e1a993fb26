//! Calls that runs with a slot wait for go before new work.

mod common;

use common::*;
use http1::Response;
use mesh::{HopOutcome, HopReply};
use sidecar::{AttemptEnd, CallAction};

/// Calls that were offered to an upstream, of fifty in five seconds in which its queue is told full.
fn placed_of_fifty(begin: impl Fn(&mut World) -> Vec<CallAction>) -> usize {
    let mut world = World::with_upstreams(2);
    let mut placed = 0;
    for _ in 0..50 {
        world.now += 100;
        (1..=2).for_each(|host| world.tell_load(host, 9, 9));
        placed += usize::from(sent(&begin(&mut world)).is_some());
    }
    placed
}

#[test]
fn they_are_never_held_back() {
    let new = placed_of_fifty(|world| {
        // Ids tell here which calls are begun work.
        world.begin_begun("/inner/1");
        world.begin("GET", "/unsafe/1")
    });
    assert!(new < 35, "{new} of 50 new calls sent");
    let begun = placed_of_fifty(|world| {
        world.begin("GET", "/unsafe/1");
        world.begin_begun("/unsafe/1")
    });
    assert_eq!(begun, 50);
}

#[test]
fn their_hop_says_so_and_they_wait_while_their_deadline_allows() {
    let mut world = World::with_upstreams(1);
    let new = hop(&world.begin("GET", "/inner/1")).expect("placed");
    let begun = hop(&world.begin_begun("/inner/1")).expect("placed");
    assert!(!new.begun && begun.begun);
    assert!(new.patience_ms <= 120, "{} ms: later it would be late itself", new.patience_ms);
    let left_ms = begun.deadline_ms - begun.patience_ms;
    assert!((1..100).contains(&left_ms), "{left_ms} ms are left for its work");
}

#[test]
fn an_upstream_that_refused_new_work_is_asked_for_them() {
    let mut world = World::with_upstreams(1);
    let refused = || replied(HopOutcome::Refused, 503);
    let (attempt, _) = sent(&world.begin("GET", "/inner/1")).expect("placed");
    assert_eq!(status(&world.calls.ended(attempt, refused(), world.now)), Some(503));
    assert!(sent(&world.begin("GET", "/inner/1")).is_none(), "a like call was refused just now");

    let (attempt, _) = sent(&world.begin_begun("/inner/1")).expect("they go first there");
    assert_eq!(status(&world.calls.ended(attempt, refused(), world.now)), Some(503));
    assert!(sent(&world.begin_begun("/inner/1")).is_none(), "a like call was refused just now");
}

#[test]
fn an_upstream_that_refused_them_is_not_asked_for_new_work() {
    let mut world = World::with_upstreams(1);
    let (attempt, _) = sent(&world.begin_begun("/inner/1")).expect("placed");
    let reply = HopReply { retry_after_ms: 80, ..reply(HopOutcome::Refused) };
    let refused = AttemptEnd::Replied(reply, Response::empty(503));
    world.calls.ended(attempt, refused, world.now);
    assert!(sent(&world.begin("GET", "/inner/1")).is_none());
}

#[test]
fn it_is_told_beside_which_of_them_were_refused() {
    let mut world = World::with_upstreams(1);
    let refused = || replied(HopOutcome::Refused, 503);
    let (attempt, _) = sent(&world.begin("GET", "/inner/1")).expect("placed");
    world.calls.ended(attempt, refused(), world.now);
    assert!(world.calls.take_inner_refusals().is_empty(), "new work is nobody's call here");
    let (attempt, _) = sent(&world.begin_begun("/inner/1")).expect("placed");
    world.calls.ended(attempt, refused(), world.now);
    assert_eq!(world.calls.take_inner_refusals(), ["id-2"]);
    assert!(world.calls.take_inner_refusals().is_empty(), "once");
}
