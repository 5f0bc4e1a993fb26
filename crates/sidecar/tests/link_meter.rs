//! The measured utilization of a machine's link.

use expect_test::expect;
use sidecar::{LinkChange, LinkFullDetector, LinkMeter};
use std::fmt::Write;

/// One second of traffic every ten milliseconds, then half a second of silence, on a link of 3.2
/// megabits per second (4,000 bytes in ten milliseconds).
fn utilization_over_time(received: usize, sent: usize) -> String {
    let mut meter = LinkMeter::new(3.2);
    let mut text = String::new();
    for now in (0..=1_500).step_by(10) {
        if now < 1_000 {
            meter.received(received, now);
            meter.sent(sent, now);
        }
        if now % 250 == 0 {
            writeln!(text, "{now} ms: {}%", meter.percent(now)).expect("writing to a string");
        }
    }
    text
}

#[test]
fn the_busier_direction_counts() {
    expect![[r#"
        0 ms: 2%
        250 ms: 36%
        500 ms: 55%
        750 ms: 65%
        1000 ms: 68%
        1250 ms: 36%
        1500 ms: 19%
    "#]]
    .assert_eq(&utilization_over_time(1_000, 3_000));
    expect![[r#"
        0 ms: 4%
        250 ms: 73%
        500 ms: 100%
        750 ms: 100%
        1000 ms: 100%
        1250 ms: 73%
        1500 ms: 39%
    "#]]
    .assert_eq(&utilization_over_time(6_000, 3_000));
}

#[test]
fn of_an_unknown_link_nothing_is_told() {
    let mut meter = LinkMeter::new(0.0);
    meter.received(1_000_000, 10);
    assert_eq!(meter.percent(10), 0);
}

#[test]
fn a_full_link_is_told_once_and_its_end_once() {
    let mut watch = LinkFullDetector::default();
    let waits = [0, 199, 200, 900, 39, 41, 250, 50, 10, 10];
    let told: Vec<Option<LinkChange>> =
        waits.iter().zip(0..).map(|(wait_ms, turn)| watch.note(*wait_ms, turn * 100)).collect();
    let free = |lasted_ms| Some(LinkChange::Free { lasted_ms });
    let full = Some(LinkChange::Full);
    assert_eq!(told, [None, None, full, None, free(200), None, full, None, free(200), None]);
}
