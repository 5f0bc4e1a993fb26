//! Tenant quotas at the outbound side: which calls wait, proceed or are refused, and with which
//! answer.

mod common;

use bundle::{best_update, Bundle, Object, Tenant};
use common::*;
use mesh::{CreditAnswer, CreditGrant, CreditRequest, HopOutcome};
use quota::tenant_id;
use sidecar::CallAction;

const KEY: &str = "key-of-a";
const COORDINATOR: u64 = 1;

fn bundle_with(rate_milli: u64) -> Bundle {
    let base = bundle();
    let objects = base.objects().values().map(|hashed| hashed.object.clone());
    let tenant = Tenant {
        name: "a".to_owned(),
        keys: vec![KEY.to_owned()],
        rate_milli,
        burst: 5,
        rank: None,
        annotation: String::new(),
    };
    Bundle::from_objects(objects.chain([Object::Tenant(tenant)]).collect())
}

fn world(rate_milli: u64) -> World {
    let mut world = World::with_upstreams(2);
    assert!(world.config.apply(2, &best_update(None, &bundle_with(rate_milli))));
    world.confirm(2);
    world.calls.note_configuration(&world.config, world.now);
    world.calls.quota.set_linked(true);
    world.calls.quota.run_maintenance(rate_milli > 0, world.now);
    world
}

fn call(world: &mut World) -> Vec<CallAction> {
    world.begin_with_headers("/safe/1", &[(NAMES.api_key, KEY)])
}

/// The request that the sidecar sends to the coordinator now.
fn credit_request(world: &mut World) -> CreditRequest {
    world.calls.quota.request(COORDINATOR, world.now).expect("a credit request")
}

fn answer(world: &mut World, request: &CreditRequest, granted: u16, prefetch: u16, retry_ms: u16) {
    let tenant = tenant_id("a");
    let grants = vec![CreditGrant { tenant, granted, prefetch, retry_ms, pulling: false }];
    let answer = CreditAnswer { asked_at: request.asked_at, nodes: 10, grants };
    world.calls.quota.answered(answer, world.now);
}

fn settle(world: &mut World) -> Vec<CallAction> {
    world.calls.settle_quotas(&world.config, world.now)
}

#[test]
fn a_call_waits_for_a_credit_and_goes_on() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    assert_eq!(world.calls.in_flight(), 1);
    let request = credit_request(&mut world);
    assert_eq!(request.asks.iter().map(|ask| ask.need).collect::<Vec<_>>(), [1]);
    world.now += 3;
    answer(&mut world, &request, 1, 0, 5);
    let settled = settle(&mut world);
    assert!(sent(&settled).is_some(), "{settled:?}");
    // The deadline is still in the future after the wait.
    assert!(hop(&settled).is_some_and(|hop| hop.deadline_ms > 0));
}

#[test]
fn a_call_above_the_quota_gets_429_with_the_time_to_come_back_and_costs_no_hop() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    let request = credit_request(&mut world);
    world.now += 3;
    answer(&mut world, &request, 0, 0, 740);
    let settled = settle(&mut world);
    assert_eq!(status(&settled), Some(429));
    assert_eq!(retry_after_ms(&settled), Some(740));
    // The next calls are refused immediately, without another request.
    let next = call(&mut world);
    assert_eq!(status(&next), Some(429));
    assert_eq!(world.calls.in_flight(), 0);
}

#[test]
fn a_tenant_without_a_limit_and_a_call_without_a_tenant_are_not_counted() {
    let mut unlimited = world(0);
    assert!(sent(&call(&mut unlimited)).is_some());
    assert!(unlimited.calls.quota.request(COORDINATOR, unlimited.now).is_none());
    let mut world = World::with_upstreams(1);
    assert!(sent(&world.begin("GET", "/safe/1")).is_some());
}

#[test]
fn nobody_answers_and_the_call_is_refused_as_not_run() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    credit_request(&mut world);
    world.now += quota::WAIT_MS;
    let settled = settle(&mut world);
    // 503 instead of 429, because the call is not known to be above the quota.
    assert_eq!(status(&settled), Some(503));
    assert_eq!(retry_after_ms(&settled), Some(500));
}

#[test]
fn a_caller_that_leaves_takes_its_waiting_call_along() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    let connection = world.connection();
    assert!(world.calls.connection_ended(connection, world.now).is_empty());
    assert_eq!(world.calls.in_flight(), 0);
    assert_eq!(world.calls.counts.cancelled, 1);
}

#[test]
fn the_end_of_the_process_answers_calls_that_wait() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    let ended = world.calls.end_all(|_| false, 400, world.now);
    assert_eq!(status(&ended), Some(503));
    assert_eq!(world.calls.in_flight(), 0);
}

#[test]
fn a_key_taken_away_while_its_call_waits_is_denied() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    let request = credit_request(&mut world);
    answer(&mut world, &request, 1, 0, 5);
    let without = Bundle::from_objects(
        bundle_with(5_000)
            .objects()
            .values()
            .map(|hashed| match hashed.object.clone() {
                Object::Tenant(tenant) => Object::Tenant(Tenant { keys: Vec::new(), ..tenant }),
                other => other,
            })
            .collect(),
    );
    assert!(world.config.apply(3, &best_update(None, &without)));
    world.confirm(3);
    assert_eq!(status(&settle(&mut world)), Some(401));
}

#[test]
fn a_call_that_no_upstream_took_gives_its_credit_back_and_a_repeat_is_told() {
    let mut world = world(5_000);
    assert!(call(&mut world).is_empty());
    let request = credit_request(&mut world);
    answer(&mut world, &request, 1, 0, 5);
    let mut actions = settle(&mut world);
    // All upstreams refuse the call, so it has not run.
    while let Some((attempt, _)) = sent(&actions) {
        actions = world.calls.ended(attempt, replied(HopOutcome::Refused, 503), world.now);
    }
    assert_eq!(status(&actions), Some(503));
    // An upstream that refused a call is skipped for a moment.
    world.now += 300;
    let second = call(&mut world);
    assert!(sent(&second).is_some(), "it uses the credit of the first call: {second:?}");
    // The attempt is lost, and the retry is sent without a credit.
    let (attempt, _) = sent(&second).expect("sent");
    let retry = world.calls.ended(attempt, sidecar::AttemptEnd::Lost, world.now);
    assert!(sent(&retry).is_some(), "{retry:?}");
    world.now += 200;
    let request = credit_request(&mut world);
    assert_eq!(request.asks.iter().map(|ask| ask.debt).collect::<Vec<_>>(), [1]);
}
