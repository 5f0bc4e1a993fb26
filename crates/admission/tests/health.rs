//! Tests of `FailureRate`.

use admission::FailureRate;
use expect_test::expect;
use std::fmt::Write;

/// Records ten outcomes, one every 50 ms, for each entry, which is the number of failures among them,
/// and then waits. Returns the rate after each step.
fn rate_over_time(failed_of_ten: &[u64]) -> String {
    let mut rate = FailureRate::default();
    let mut text = String::new();
    let mut now = 0;
    for failed in failed_of_ten {
        for outcome in 0..10 {
            now += 50;
            rate.note(outcome * failed / 10 != (outcome + 1) * failed / 10, now);
        }
        writeln!(text, "{now} ms, {failed} of 10 failed: {}%", rate.percent(now)).expect("text");
    }
    for rest in [2_500, 10_000] {
        writeln!(text, "{rest} ms of rest: {}%", rate.percent(now + rest)).expect("text");
    }
    text
}

#[test]
fn failures_show_within_a_second_and_are_forgotten_by_rest_or_success() {
    expect![[r#"
        500 ms, 0 of 10 failed: 0%
        1000 ms, 4 of 10 failed: 24%
        1500 ms, 4 of 10 failed: 32%
        2000 ms, 4 of 10 failed: 36%
        2500 ms, 0 of 10 failed: 14%
        3000 ms, 0 of 10 failed: 5%
        2500 ms of rest: 3%
        10000 ms of rest: 0%
    "#]]
    .assert_eq(&rate_over_time(&[0, 4, 4, 4, 0, 0]));
    expect![[r#"
        500 ms, 10 of 10 failed: 54%
        1000 ms, 10 of 10 failed: 74%
        1500 ms, 10 of 10 failed: 82%
        2500 ms of rest: 41%
        10000 ms of rest: 5%
    "#]]
    .assert_eq(&rate_over_time(&[10, 10, 10]));
}

#[test]
fn a_caller_that_leaves_tells_against_the_upstream_only_if_it_waited_long() {
    let mut rate = FailureRate::default();
    rate.note_cancelled(390, 100.0, 0);
    assert_eq!(rate.percent(0), 0);
    rate.note_cancelled(410, 100.0, 0);
    assert_eq!(rate.percent(0), 8);
}
