//! New work is refused where it enters, when its service or one that its runs call has no room.

mod common;

use common::*;
use http1::Response;
use mesh::{HopOutcome, INNER_CALLS_HEADER};
use sidecar::{AttemptEnd, CallAction};

const LEDGER: &str = "ledger";
const OWN_HOST: u8 = 1;
const LEDGER_HOST: u8 = 2;

/// What runs of `/safe/` calls tell of calls that they made.
fn world(told: Option<&str>) -> World {
    let mut world = World::with_upstreams(1);
    world.add_upstream_of(LEDGER, LEDGER_HOST);
    let (attempt, _) = sent(&world.begin("GET", "/safe/1")).expect("placed");
    let mut response = Response::empty(200);
    if let Some(told) = told {
        response.headers.push(INNER_CALLS_HEADER, told);
    }
    let end = AttemptEnd::Replied(reply(HopOutcome::Answered), response);
    let actions = world.calls.ended(attempt, end, world.now);
    let Some(CallAction::Answer { response, .. }) = actions.first() else {
        panic!("answered: {actions:?}");
    };
    assert!(response.headers.get(INNER_CALLS_HEADER).is_none(), "callers are not told");
    world
}

/// Calls refused of a hundred in ten seconds, while upstreams tell so many calls waiting.
fn refused(mut world: World, own_queued: u32, ledger_queued: u32) -> usize {
    let mut refused = 0;
    for _ in 0..100 {
        world.now += 100;
        world.tell_load(OWN_HOST, if own_queued > 0 { 9 } else { 2 }, own_queued);
        world.tell_load(LEDGER_HOST, 9, ledger_queued);
        let actions = world.begin("GET", "/safe/1");
        if sent(&actions).is_none() {
            let wait_ms = retry_after_ms(&actions).expect("a time to return");
            assert!((50..2_000).contains(&wait_ms), "{wait_ms} ms");
            refused += 1;
        }
    }
    refused
}

#[test]
fn it_is_refused_for_its_own_service_and_for_those_that_its_runs_call() {
    // What the runs told, calls waiting at the own service and at the ledger, whether many are refused.
    let rows = [
        (None, 0, 0, false),
        (None, 9, 0, true),
        (None, 0, 9, false),
        (Some("ledger 1"), 0, 9, true),
        (Some("ledger 1"), 0, 0, false),
        (Some("ledger 4000000000"), 0, 9, true),
        (Some("ledger -1"), 0, 9, false),
        (Some("ledger"), 0, 9, false),
        (Some("other 3"), 0, 9, false),
        (Some(" "), 0, 9, false),
    ];
    for (told, own_queued, ledger_queued, many) in rows {
        let found = refused(world(told), own_queued, ledger_queued);
        assert_eq!(found > 30, many, "{told:?}, {own_queued} and {ledger_queued} wait: {found}");
        assert!(many || found == 0, "{told:?}, {own_queued} and {ledger_queued} wait: {found}");
    }
}

#[test]
fn callers_that_came_back_stand_behind_in_a_lasting_overload_only() {
    for queued in [0, 9] {
        let mut world = World::with_upstreams(1);
        let mut orders = Vec::new();
        for _ in 0..40 {
            world.now += 100;
            world.tell_load(OWN_HOST, if queued > 0 { 9 } else { 2 }, queued);
            for told_ms in [1_500, 1_000] {
                let actions = world.begin_with_deadline("/safe/1", told_ms);
                orders.extend(hop(&actions).map(|hop| (told_ms, hop.target_ms)));
            }
        }
        let last =
            |told| orders.iter().rfind(|(found, _)| *found == told).expect("some are sent").1;
        assert_eq!(last(1_500), u64::from(TARGET_MS), "the first time");
        assert_eq!(last(1_000) > 10_000, queued > 0, "back, with {queued} waiting");
    }
}
