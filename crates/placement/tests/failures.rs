//! Whether another try of a failed call is worth it.

use placement::RouteFailures;

const ROUTE: &str = "commentary";

#[test]
fn failures_are_rare_unless_many_calls_fail() {
    // One call of so many fails; whether failures are rare after two hundred.
    for (one_in, rare) in [(200, true), (50, true), (20, true), (4, false), (1, false)] {
        let mut failures = RouteFailures::default();
        (0..200).for_each(|call| failures.note_end(ROUTE, call % one_in == 0));
        assert_eq!(failures.are_rare(ROUTE), rare, "one in {one_in}");
        assert!(failures.are_rare("other"), "each route for itself");
    }
}

#[test]
fn they_are_rare_again_once_calls_succeed() {
    let mut failures = RouteFailures::default();
    (0..200).for_each(|_| failures.note_end(ROUTE, true));
    (0..30).for_each(|_| failures.note_end(ROUTE, false));
    assert!(!failures.are_rare(ROUTE), "so many alike are no chance");
    (0..30).for_each(|_| failures.note_end(ROUTE, false));
    assert!(failures.are_rare(ROUTE));
}
