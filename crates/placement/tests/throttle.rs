//! Throttling of a route whose upstreams fail.

use placement::Throttle;

const ROUTE: &str = "commentary";

/// Attempts 100 calls per second for `seconds`; whether an admitted call succeeds is given by
/// `succeeds`. Returns the fraction admitted in the last second.
fn admitted_fraction(throttle: &mut Throttle, seconds: u64, succeeds: impl Fn(u64) -> bool) -> f64 {
    let mut random = fastrand::Rng::with_seed(7);
    let mut admitted = 0;
    for call in 0..seconds * 100 {
        let now = call * 10;
        let sent = random.f64() < throttle.admitted(ROUTE, now);
        if sent {
            throttle.note_end(ROUTE, succeeds(call), now);
        }
        let in_last_second = call >= (seconds - 1) * 100;
        admitted += u32::from(sent && in_last_second);
    }
    f64::from(admitted) / 100.0
}

#[test]
fn a_route_that_works_is_never_held_back() {
    let mut throttle = Throttle::default();
    assert_eq!(admitted_fraction(&mut throttle, 20, |_| true), 1.0);
    assert!(throttle.fails_rarely(ROUTE, 20_000));
}

#[test]
fn chance_failures_hold_nothing_back() {
    let mut throttle = Throttle::default();
    assert_eq!(admitted_fraction(&mut throttle, 20, |call| call % 50 != 0), 1.0);
    assert!(throttle.fails_rarely(ROUTE, 20_000));
}

#[test]
fn a_route_that_fails_is_held_back_but_still_tried() {
    let mut throttle = Throttle::default();
    let admitted = admitted_fraction(&mut throttle, 20, |_| false);
    assert!((0.02..0.5).contains(&admitted), "admitted {admitted}");
    assert!(!throttle.fails_rarely(ROUTE, 20_000));
}

#[test]
fn it_recovers_once_calls_succeed() {
    let mut throttle = Throttle::default();
    let admitted = admitted_fraction(&mut throttle, 20, |call| call > 1_000);
    assert_eq!(admitted, 1.0);
}
