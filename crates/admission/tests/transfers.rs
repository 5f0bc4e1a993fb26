//! Tests of the scheduling of offered bodies: bytes in flight, priorities, refusals.

use admission::{Grant, Transfer, Transfers};
use expect_test::{expect, Expect};
use std::fmt::Write;

/// Link rate of 800 bytes per millisecond, of which bodies are assumed to get 680.
const LINK: Option<f64> = Some(800.0);
const WINDOW_BYTES: u64 = 24 * 1024;

fn body(id: u64, bytes: u64, target_ms: u64) -> Transfer {
    Transfer { id, bytes, rank: 1, target_ms, patience_ms: 300 }
}

fn offered(bodies: &[Transfer]) -> Transfers {
    let mut transfers = Transfers::new(LINK);
    for body in bodies {
        assert_eq!(transfers.offer(*body, 0), Ok(()), "{body:?}");
    }
    transfers
}

fn total(grants: &[Grant]) -> u64 {
    grants.iter().map(|grant| grant.bytes).sum()
}

/// Simulates a link with this rate until all bodies are complete, and checks when each one was.
fn simulate(transfers: &mut Transfers, bodies: &[Transfer], bytes_per_ms: u64, expected: Expect) {
    let mut in_flight: Vec<(u64, u64)> = Vec::new();
    let mut arrived: Vec<u64> = vec![0; bodies.len()];
    let mut text = String::new();
    let (mut max_in_flight, mut now) = (0, 0);
    while !transfers.is_empty() && now < 10_000 {
        in_flight.extend(transfers.grant(now).into_iter().map(|Grant { id, bytes }| (id, bytes)));
        max_in_flight = max_in_flight.max(in_flight.iter().map(|(_, bytes)| bytes).sum::<u64>());
        now += 1;
        let mut room = bytes_per_ms;
        while let Some((id, bytes)) = in_flight.first_mut().filter(|_| room > 0) {
            let (id, moved) = (*id, room.min(*bytes));
            *bytes -= moved;
            room -= moved;
            let index = bodies.iter().position(|body| body.id == id).expect("offered");
            arrived[index] += moved;
            transfers.arrived(id, arrived[index], now);
            if arrived[index] == bodies[index].bytes {
                transfers.end(id);
                let _ = write!(text, "{id}@{now} ");
            }
            if in_flight[0].1 == 0 {
                in_flight.remove(0);
            }
        }
    }
    let _ = write!(text, "most in flight {max_in_flight}, rate {:.0}", transfers.bytes_per_ms());
    expected.assert_eq(&text);
}

#[test]
fn bodies_come_one_after_the_other_and_never_fill_the_link() {
    let bodies = [body(1, 60_000, 1_200), body(2, 60_000, 1_200), body(3, 30_000, 400)];
    let mut transfers = offered(&bodies);
    simulate(
        &mut transfers,
        &bodies,
        800,
        expect!["3@38 1@113 2@188 most in flight 28976, rate 698"],
    );
}

#[test]
fn a_slower_link_than_told_is_learned() {
    let bodies: Vec<Transfer> = (1..=4).map(|id| body(id, 40_000, 1_200)).collect();
    let mut transfers = offered(&bodies);
    simulate(
        &mut transfers,
        &bodies,
        100,
        expect!["1@400 2@800 3@1200 4@1600 most in flight 28568, rate 143"],
    );
}

#[test]
fn no_more_is_on_its_way_than_the_window() {
    let mut transfers = offered(&[body(1, 60_000, 1_200), body(2, 60_000, 1_200)]);
    assert_eq!(total(&transfers.grant(0)), WINDOW_BYTES);
    assert!(transfers.grant(1).is_empty());
    transfers.arrived(1, 8 * 1024, 10);
    assert_eq!(transfers.grant(10), [Grant { id: 1, bytes: 8 * 1024 }], "the first body continues");
}

#[test]
fn the_shorter_target_goes_first_unless_another_has_begun() {
    let mut transfers = offered(&[body(1, 60_000, 1_200), body(2, 60_000, 400)]);
    assert_eq!(transfers.grant(0)[0].id, 2);
    assert_eq!(transfers.offer(body(3, 1_000, 100), 1), Ok(()));
    transfers.arrived(2, 8 * 1024, 10);
    assert_eq!(transfers.grant(10)[0].id, 2, "a body that has started is completed first");
}

#[test]
fn an_offer_that_would_wait_too_long_is_refused_with_the_time_to_return() {
    let mut transfers = offered(&[body(1, 120_000, 1_200), body(2, 120_000, 1_200)]);
    // 240,000 bytes at 680 bytes per millisecond take 352 ms; the body may wait for 300 ms.
    assert_eq!(transfers.offer(body(3, 60_000, 1_200), 0), Err(52));
    assert_eq!(transfers.offer(body(4, 60_000, 400), 0), Ok(()), "a more urgent body waits less");
    assert_eq!(transfers.len(), 3, "a refused offer leaves no state behind");
}

#[test]
fn an_offer_without_a_grant_in_time_expires() {
    let mut transfers = offered(&[body(1, 100_000, 400), body(2, 60_000, 1_200)]);
    transfers.grant(0);
    assert_eq!(
        transfers.next_expiry(0),
        Some(150),
        "the first body is checked when it may have stalled"
    );
    assert!(transfers.expire(299).is_empty());
    assert_eq!(transfers.expire(300), [2], "the first body has started and stays");
}

#[test]
fn a_sender_that_stands_still_holds_up_nobody() {
    let mut transfers = offered(&[body(1, 60_000, 400), body(2, 60_000, 1_200)]);
    assert_eq!(transfers.grant(0)[0].id, 1);
    assert!(transfers.grant(149).is_empty());
    assert_eq!(transfers.grant(150), [Grant { id: 2, bytes: WINDOW_BYTES }]);
    // The sender resumes and continues after what was granted in the meantime.
    transfers.arrived(1, WINDOW_BYTES, 400);
    transfers.arrived(2, WINDOW_BYTES, 400);
    assert_eq!(transfers.grant(400)[0].id, 1);
}

#[test]
fn what_was_granted_to_a_sender_that_is_gone_is_taken_back() {
    let mut transfers = offered(&[body(1, 60_000, 400), body(2, 60_000, 1_200)]);
    transfers.grant(0);
    transfers.end(1);
    assert_eq!(transfers.grant(1), [Grant { id: 2, bytes: WINDOW_BYTES }]);
    transfers.end(1);
    transfers.arrived(1, 5, 2);
    assert_eq!(transfers.len(), 1, "late events of the removed body have no effect");
}

#[test]
fn odd_links_and_bodies_are_borne() {
    for rate in [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY), Some(1e-9)] {
        let mut transfers = Transfers::new(rate);
        let _ = transfers.offer(body(1, 0, 0), 0);
        let _ = transfers.offer(body(2, u64::MAX / 4, 0), 0);
        let _ = transfers.grant(0);
        transfers.arrived(2, u64::MAX, 0);
        let _ = transfers.grant(0);
        assert!(transfers.bytes_per_ms().is_finite(), "{rate:?}");
        transfers.clear_waiting();
        transfers.end(2);
    }
}

#[test]
fn a_thin_link_has_some_hundredths_of_a_second_of_bodies_on_its_way() {
    // 1 Mbit/s, which is also the configured rate.
    let bodies: Vec<Transfer> = (1..=4).map(|id| body(id, 4_000, 1_200)).collect();
    let mut transfers = Transfers::new(Some(125.0));
    for body in &bodies {
        assert_eq!(transfers.offer(*body, 0), Ok(()));
    }
    simulate(
        &mut transfers,
        &bodies,
        125,
        expect!["1@32 2@64 3@96 4@128 most in flight 5075, rate 109"],
    );
}
