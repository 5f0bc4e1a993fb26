//! When a hedge is worthwhile, and how many the budget allows.

use expect_test::expect;
use placement::{BudgetBounds, HedgePlan, LatencyHistogram, RequestOrigin, RetryBudget};
use std::fmt::Write;

const SERVICE: &str = "fares";

/// Latencies of which one in `every` is seven times as long; the others vary by about a third.
fn tailed(every: u32, samples: u32) -> LatencyHistogram {
    let mut random = fastrand::Rng::with_seed(5);
    let mut spread = LatencyHistogram::default();
    for number in 0..samples {
        let factor = if number % every == 7 % every { 7.0 } else { 1.0 };
        spread.note(factor * (0.6 + 0.6 * random.f64()));
    }
    spread
}

#[test]
fn a_second_try_is_sent_when_the_first_is_likely_of_the_tail() {
    let mut output = String::new();
    type Row = (&'static str, f64, f64, f64, f64, u32, u32);
    let rows: [Row; 10] = [
        ("target of three times the usual latency", 200.0, 1.0, 600.0, 1_500.0, 30, 1_000),
        ("at a quick upstream", 200.0, 0.6, 600.0, 1_500.0, 30, 1_000),
        ("at a slow upstream", 200.0, 1.6, 600.0, 1_500.0, 30, 1_000),
        ("no time for a hedge", 200.0, 1.0, 250.0, 250.0, 30, 1_000),
        ("only the deadline can be met", 200.0, 1.0, 250.0, 1_200.0, 30, 1_000),
        ("ample time", 200.0, 1.0, 4_000.0, 8_000.0, 30, 1_000),
        ("tail of one in a thousand", 200.0, 1.0, 600.0, 1_500.0, 2_000, 1_000),
        ("no samples", 200.0, 1.0, 600.0, 1_500.0, 30, 0),
        ("few samples", 200.0, 1.0, 600.0, 1_500.0, 8, 18),
        ("no expected latency", 0.0, 1.0, 600.0, 1_500.0, 30, 1_000),
    ];
    for (name, usual_ms, pace, target_ms, deadline_ms, every, samples) in rows {
        let spread = tailed(every, samples);
        let plan = HedgePlan { usual_ms, pace, spread: &spread, target_ms, deadline_ms };
        let delay = plan.delay_ms().map(|ms| ms.round());
        writeln!(output, "{name}: {delay:?}").expect("writing to a string succeeds");
    }
    expect![[r#"
        target of three times the usual latency: Some(238.0)
        at a quick upstream: Some(143.0)
        at a slow upstream: Some(381.0)
        no time for a hedge: None
        only the deadline can be met: Some(238.0)
        ample time: Some(3200.0)
        tail of one in a thousand: Some(476.0)
        no samples: None
        few samples: None
        no expected latency: None
    "#]]
    .assert_eq(&output);
}

#[test]
fn a_plan_of_odd_figures_is_none_or_lies_before_the_deadline() {
    let spread = tailed(30, 500);
    let odd = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300, 1e300, 1.0, 500.0];
    for usual_ms in odd {
        for pace in odd {
            for target_ms in odd {
                for deadline_ms in [0.0, 1.0, 900.0, 7_200_000.0] {
                    let plan =
                        HedgePlan { usual_ms, pace, spread: &spread, target_ms, deadline_ms };
                    if let Some(delay_ms) = plan.delay_ms() {
                        assert!((0.0..deadline_ms).contains(&delay_ms), "{plan:?}: {delay_ms}");
                    }
                }
            }
        }
    }
}

/// Records the given number of requests per window for five windows, and returns the end of the
/// last one.
fn accumulate(budget: &mut RetryBudget, nodes: usize, requests: u64) -> u64 {
    let end = 50_000;
    for now in (0..end).step_by(10) {
        budget.note_nodes(nodes, now);
        for _ in 0..(requests * (now + 10) / 10_000 - requests * now / 10_000) {
            budget.note_request(SERVICE, RequestOrigin::Caller, now);
        }
    }
    end - 1
}

#[test]
fn second_tries_leave_room_for_repeats_after_failures() {
    let bounds = BudgetBounds { ratio: 0.2, slack: 160.0, window_ms: 10_000 };
    let mut output = String::new();
    for (nodes, requests) in [(60, 0), (60, 100), (60, 1_000), (1, 100)] {
        let mut budget = RetryBudget::new(bounds);
        let now = accumulate(&mut budget, nodes, requests);
        let mut hedges = 0;
        while budget.allows_hedge(SERVICE, RequestOrigin::Caller, nodes, now) {
            budget.note_hedge(SERVICE, RequestOrigin::Caller, now);
            hedges += 1;
        }
        let mut retries = 0;
        while budget.allows(SERVICE, RequestOrigin::Caller, nodes, now) {
            budget.note_retry(SERVICE, RequestOrigin::Caller, now);
            retries += 1;
        }
        writeln!(output, "{nodes} nodes, {requests}: {hedges} hedges and {retries} retries")
            .expect("writing to a string succeeds");
        assert!(
            !budget.allows_hedge(SERVICE, RequestOrigin::Caller, nodes, now),
            "the whole budget is spent"
        );
    }
    expect![[r#"
        60 nodes, 0: 0 hedges and 1 retries
        60 nodes, 100: 3 hedges and 6 retries
        60 nodes, 1000: 32 hedges and 49 retries
        1 nodes, 100: 28 hedges and 44 retries
    "#]]
    .assert_eq(&output);
}

#[test]
fn repeats_after_failures_take_the_room_of_second_tries() {
    let bounds = BudgetBounds { ratio: 0.2, slack: 0.0, window_ms: 10_000 };
    let mut budget = RetryBudget::new(bounds);
    let now = accumulate(&mut budget, 1, 100);
    assert!(budget.allows_hedge(SERVICE, RequestOrigin::Caller, 1, now));
    while budget.allows(SERVICE, RequestOrigin::Caller, 1, now) {
        budget.note_retry(SERVICE, RequestOrigin::Caller, now);
    }
    assert!(!budget.allows_hedge(SERVICE, RequestOrigin::Caller, 1, now));
}
