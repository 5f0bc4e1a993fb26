//! What the ends of calls say of an upstream.

use admission::FailureRate;
use expect_test::expect;
use std::fmt::Write;

/// Failed ends of each ten, over ten ends of 50 ms each, then rest; the share after each step.
fn story(failed_of_ten: &[u64]) -> String {
    let mut share = FailureRate::default();
    let mut text = String::new();
    let mut now = 0;
    for failed in failed_of_ten {
        for end in 0..10 {
            now += 50;
            share.note(end * failed / 10 != (end + 1) * failed / 10, now);
        }
        writeln!(text, "{now} ms, {failed} of 10 failed: {}%", share.percent(now)).expect("text");
    }
    for rest in [2_500, 10_000] {
        writeln!(text, "{rest} ms of rest: {}%", share.percent(now + rest)).expect("text");
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
    .assert_eq(&story(&[0, 4, 4, 4, 0, 0]));
    expect![[r#"
        500 ms, 10 of 10 failed: 54%
        1000 ms, 10 of 10 failed: 74%
        1500 ms, 10 of 10 failed: 82%
        2500 ms of rest: 41%
        10000 ms of rest: 5%
    "#]]
    .assert_eq(&story(&[10, 10, 10]));
}

#[test]
fn a_caller_that_leaves_tells_against_the_upstream_only_if_it_waited_long() {
    let mut share = FailureRate::default();
    share.note_cancelled(390, 100.0, 0);
    assert_eq!(share.percent(0), 0);
    share.note_cancelled(410, 100.0, 0);
    assert_eq!(share.percent(0), 8);
}
