//! Tests of `Pace`: the pace that an upstream reports, the pace measured from its calls, and how the two
//! are combined.

use admission::Pace;
use expect_test::expect;
use std::fmt::Write;

const USUAL_MS: u32 = 100;

/// Records calls with a usual duration of 100 ms, one every 20 ms. They take `real` times as long, with
/// a uniform spread of 50% in both directions.
fn record_calls(pace: &mut Pace, actual: f64, calls: u64, from: u64) -> u64 {
    let mut random = fastrand::Rng::with_seed(11);
    for number in 0..calls {
        let spent_ms = f64::from(USUAL_MS) * actual * (0.5 + random.f64());
        pace.note_run(spent_ms as u64, USUAL_MS, from + number * 20);
    }
    from + calls * 20
}

#[test]
fn nothing_is_said_before_something_is_known() {
    let mut pace = Pace::default();
    assert_eq!((pace.percent(0), pace.reported_percent(0)), (0, 0));
    record_calls(&mut pace, 1.6, 14, 0);
    assert_eq!(pace.percent(300), 0, "a few calls are not enough");
    for _ in 0..100 {
        pace.note_run(900, 0, 300);
    }
    assert_eq!(pace.percent(300), 0, "calls without a usual duration do not count");
}

#[test]
fn runs_show_an_uneven_pace_within_a_second_or_two() {
    let mut seen = String::new();
    for actual in [0.5, 0.8, 1.0, 1.3, 1.6] {
        let mut pace = Pace::default();
        let mut at = record_calls(&mut pace, actual, 50, 0);
        write!(seen, "{actual}: {}", pace.percent(at)).expect("text");
        at = record_calls(&mut pace, actual, 50, at);
        writeln!(seen, " then {}", pace.percent(at)).expect("text");
    }
    expect![[r#"
        0.5: 64 then 58
        0.8: 88 then 85
        1: 103 then 104
        1.3: 126 then 131
        1.6: 150 then 159
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_figure_that_changes_often_counts_while_it_is_fresh() {
    let mut pace = Pace::default();
    let mut seen = String::new();
    // A noisy neighbour slows the upstream down by a factor of 2.5 in one of four periods of 600 ms. The
    // upstream responds every 50 ms.
    for at in (0..7_200).step_by(50) {
        let slowed = at / 600 % 4 == 3;
        pace.note_reported(if slowed { 300 } else { 120 }, at);
        assert_eq!(pace.percent(at + 40), if slowed { 300 } else { 120 }, "at {at}");
    }
    for silent_ms in [0, 500, 599, 600, 5_000] {
        writeln!(seen, "{silent_ms}: {}", pace.percent(7_150 + silent_ms)).expect("text");
    }
    // After the last report has become stale, the mean is used.
    expect![[r#"
        0: 300
        500: 300
        599: 300
        600: 169
        5000: 169
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_figure_that_is_not_true_is_mended_by_runs() {
    // It reports being twice as fast as usual, but takes three times as long as that.
    let mut pace = Pace::default();
    let mut at = 0;
    let mut seen = String::new();
    for _ in 0..5 {
        for _ in 0..25 {
            pace.note_reported(50, at);
            at = record_calls(&mut pace, 1.5, 1, at);
        }
        write!(seen, "{} ", pace.percent(at)).expect("text");
    }
    expect!["102 124 134 138 140 "].assert_eq(&seen);
    assert_eq!(pace.reported_percent(at), 50, "the reported value is passed on unchanged");
}

#[test]
fn figures_that_no_upstream_can_have_are_passed_over() {
    let mut pace = Pace::default();
    for percent in [0, 9, 3_001, u32::MAX] {
        pace.note_reported(percent, 0);
        assert_eq!(pace.percent(0), 0, "{percent}");
    }
    pace.note_reported(140, 0);
    pace.note_reported(u32::MAX, 10);
    assert_eq!(pace.percent(10), 140);
}

#[test]
fn the_long_tail_of_work_is_no_sign_of_a_slow_upstream() {
    let mut pace = Pace::default();
    for number in 0..2_000 {
        pace.note_run(if number % 33 == 0 { 700 } else { 85 }, USUAL_MS, number);
        let percent = pace.percent(number);
        assert!(percent == 0 || (80..=125).contains(&percent), "{percent} after {number}");
    }
}

#[test]
fn an_upstream_that_is_given_nothing_any_more_is_tried_again() {
    let mut pace = Pace::default();
    let at = record_calls(&mut pace, 2.5, 200, 0);
    let seen: Vec<u32> = [0, 2_500, 5_000, 20_000].map(|later| pace.percent(at + later)).to_vec();
    expect!["[224, 188, 162, 108]"].assert_eq(&format!("{seen:?}"));
}
