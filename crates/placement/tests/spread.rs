//! The risk of being late, estimated from recorded latencies.

use expect_test::expect;
use placement::{LatencyHistogram, LatencySample, RouteLatencies};
use std::fmt::Write;

const RATIOS: [f64; 7] = [0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0];

fn risks(spread: &LatencyHistogram) -> String {
    RATIOS.iter().fold(String::new(), |mut text, ratio| {
        let _ = write!(text, "{ratio}: {:.3} ", spread.beyond(*ratio));
        text
    })
}

/// Latencies with a long tail: most are short, one in twenty takes four times as long as expected.
fn tailed() -> LatencyHistogram {
    let mut spread = LatencyHistogram::default();
    for number in 0..2_000 {
        spread.note(if number % 20 == 0 { 4.2 } else { 0.8 });
    }
    spread
}

#[test]
fn before_anything_was_seen_the_risk_falls_steeply() {
    expect!["0.25: 1.000 0.5: 1.000 1: 1.000 1.5: 0.088 2: 0.016 4: 0.000 8: 0.000 "]
        .assert_eq(&risks(&LatencyHistogram::default()));
}

#[test]
fn a_long_tail_is_a_risk_at_twice_the_usual_time() {
    expect!["0.25: 1.000 0.5: 1.000 1: 0.086 1.5: 0.051 2: 0.048 4: 0.047 8: 0.000 "]
        .assert_eq(&risks(&tailed()));
}

#[test]
fn what_was_seen_long_ago_is_forgotten() {
    let mut spread = tailed();
    for _ in 0..4_000 {
        spread.note(1.0);
    }
    expect!["0.25: 1.000 0.5: 1.000 1: 1.000 1.5: 0.003 2: 0.001 4: 0.000 8: 0.000 "]
        .assert_eq(&risks(&spread));
}

#[test]
fn the_risk_never_rises_with_the_time_left() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let mut spread = LatencyHistogram::default();
        for _ in 0..random.usize(0..300) {
            spread.note(random.f64() * 20.0);
        }
        let mut previous = 1.0;
        for step in 0..400 {
            let risk = spread.beyond(f64::from(step) * 0.05);
            assert!((0.0..=previous + 1e-6).contains(&risk), "{risk} after {previous}");
            previous = risk;
        }
    }
}

#[test]
fn odd_times_are_borne() {
    let mut spread = LatencyHistogram::default();
    for ratio in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, f64::MIN_POSITIVE] {
        spread.note(ratio);
    }
    for ratio in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, f64::MIN_POSITIVE] {
        let risk = spread.beyond(ratio);
        assert!((0.0..=1.0).contains(&risk), "{ratio}: {risk}");
    }
}

#[test]
fn a_route_is_known_by_its_own_calls() {
    let mut times = RouteLatencies::default();
    assert_eq!(times.usual_ms("quotes"), None);
    // A latency of zero, as measured with a coarse clock, and a pace of zero do not corrupt the
    // average.
    for (spent_ms, pace) in [(0.0, 1.0), (100.0, 1.0), (200.0, 2.0), (50.0, 0.0)] {
        times.note(
            "quotes",
            LatencySample { spent_ms, pace, reported_pace: pace, moved_bytes: 1_500.0 },
        );
    }
    times.note(
        "uploads",
        LatencySample { spent_ms: 300.0, pace: 1.5, reported_pace: 1.5, moved_bytes: 60_000.0 },
    );
    let known = |route| (times.usual_ms(route), times.moved_bytes(route));
    expect!["(Some(59.2625), Some(1500.0)) (Some(200.0), Some(60000.0))"].assert_eq(&format!(
        "{:?} {:?}",
        known("quotes"),
        known("uploads")
    ));
}
