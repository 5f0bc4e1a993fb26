//! The gate without a network: expired credit, suspended machines, floods, tenants without a limit.

use mesh::{CreditAnswer, CreditGrant, CreditRequest, TenantId};
use quota::{Gate, Limit, Outcome, LEASE_MS, LOAN_MS, WAIT_MS};

const TENANT: TenantId = TenantId(7);
const OWN_ZONE: u64 = 1;
const OTHER_ZONE: u64 = 2;
const LIMIT: Limit = Limit { rate_milli: 10_000, burst: 10 };

fn gate() -> Gate<u32> {
    let mut gate = Gate::new(1);
    gate.set_any_limit(true);
    gate.set_linked(true);
    gate
}

fn answer(request: &CreditRequest, granted: u16, prefetch: u16) -> CreditAnswer {
    let grant = CreditGrant { tenant: TENANT, granted, prefetch, retry_ms: 300, pulling: false };
    CreditAnswer { asked_at: request.asked_at, nodes: 10, grants: vec![grant] }
}

fn admit(gate: &mut Gate<u32>, call: u32, now: u64) -> Option<Outcome> {
    gate.admit(TENANT, LIMIT, call, now).map(|(_, outcome)| outcome)
}

#[test]
fn an_answer_that_comes_after_the_lease_gives_nothing() {
    for (answered_at, admitted) in [(LEASE_MS - 1, true), (LEASE_MS, false)] {
        let mut gate = gate();
        assert_eq!(admit(&mut gate, 1, 0), None);
        let request = gate.request(OWN_ZONE, 0).expect("a request is due");
        gate.handle_answer(answer(&request, 1, 0), answered_at);
        let settled = gate.settle(answered_at);
        assert_eq!(settled == [(1, Outcome::Admitted)], admitted, "{answered_at}: {settled:?}");
    }
}

#[test]
fn a_machine_that_slept_holds_no_credit() {
    let mut gate = gate();
    assert_eq!(admit(&mut gate, 1, 0), None);
    let request = gate.request(OWN_ZONE, 0).expect("a request is due");
    gate.handle_answer(answer(&request, 1, 5), 2);
    assert_eq!(gate.settle(2).len(), 1);
    assert_eq!(admit(&mut gate, 2, 3), Some(Outcome::Admitted));
    // An hour later.
    assert_eq!(admit(&mut gate, 3, 3_600_000), None);
}

#[test]
fn a_returned_credit_lives_no_longer_than_it_would_have() {
    let mut gate = gate();
    assert_eq!(admit(&mut gate, 1, 0), None);
    let request = gate.request(OWN_ZONE, 0).expect("a request is due");
    gate.handle_answer(answer(&request, 1, 0), 2);
    assert_eq!(gate.settle(2).len(), 1);
    gate.refund(TENANT, LEASE_MS - 10);
    assert_eq!(admit(&mut gate, 2, LEASE_MS - 5), Some(Outcome::Admitted));
    gate.refund(TENANT, LEASE_MS);
    assert_eq!(admit(&mut gate, 3, LEASE_MS + 1), None);
}

#[test]
fn a_part_is_lent_to_one_coordinator_at_a_time() {
    let mut gate = gate();
    assert!(gate.request(OWN_ZONE, 0).is_some_and(|request| request.lends));
    assert!(gate.request(OTHER_ZONE, LOAN_MS / 2).is_some_and(|request| !request.lends));
    assert!(gate.request(OTHER_ZONE, LOAN_MS).is_some_and(|request| request.lends));
    assert!(gate.request(OWN_ZONE, LOAN_MS + 400).is_some_and(|request| !request.lends));
    // Nor does the sidecar use the share itself before the loan ends.
    gate.set_linked(false);
    assert!(!gate.is_standalone(2 * LOAN_MS - 1));
    assert!(gate.is_standalone(2 * LOAN_MS));
}

#[test]
fn a_flood_is_answered_at_once_and_keeps_little() {
    let mut gate = gate();
    let mut refused = 0;
    for call in 0..100_000 {
        // Ten thousand tenants at the same time.
        let tenant = TenantId(u64::from(call % 10_000));
        refused += usize::from(gate.admit(tenant, LIMIT, call, 5).is_some());
    }
    assert!(gate.waiting() <= 512, "{}", gate.waiting());
    assert_eq!(refused + gate.waiting(), 100_000);
    let settled = gate.settle(5 + WAIT_MS);
    assert_eq!(settled.len() + refused, 100_000);
    gate.expire(60_000);
    assert_eq!(gate.next_tick(60_000), None);
}

#[test]
fn a_removed_limit_lets_waiting_calls_on() {
    let mut gate = gate();
    assert_eq!(admit(&mut gate, 1, 0), None);
    let unlimited = Limit { rate_milli: 0, burst: 0 };
    assert!(gate.admit(TENANT, unlimited, 2, 1).is_some());
    assert_eq!(gate.settle(1), [(1, Outcome::Admitted)]);
}

#[test]
fn a_call_that_came_just_after_a_request_is_asked_for_at_once_and_nothing_spins() {
    let mut gate = gate();
    assert!(gate.request(OWN_ZONE, 0).is_some());
    assert_eq!(admit(&mut gate, 1, 1), None);
    assert!(gate.request(OWN_ZONE, 1).is_none());
    assert_eq!(gate.next_tick(1), Some(5));
    assert!(gate.request(OWN_ZONE, 5).is_some());
    assert_eq!(gate.next_tick(5), Some(50));
    // Without a link, the next event is the end of the call's wait.
    gate.set_linked(false);
    gate.link_lost();
    assert_eq!(gate.next_tick(6), Some(1 + WAIT_MS));
}
