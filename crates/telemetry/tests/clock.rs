//! Clocks that keep counting while the machine is suspended. A test cannot suspend the machine, so
//! it passes in the readings of both clocks.

use std::time::{Duration, Instant};
use telemetry::{BootInstant, SuspendDetector};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn sleep_is_what_passed_on_the_one_clock_only() {
    // (name, ms since the previous check on the boot clock, on the monotonic clock, ms suspended)
    let rows = [
        ("not suspended", 500, 500, None),
        ("clocks read one after the other", 501, 500, None),
        ("difference of one millisecond", 502, 501, None),
        ("five seconds", 5_100, 100, Some(5_000)),
        ("hours", 7_200_050, 50, Some(7_200_000)),
        ("boot clock is behind", 90, 100, None),
    ];
    for (name, boot_ms, monotonic_ms, suspended_ms) in rows {
        let (boot, monotonic) = (BootInstant::now(), Instant::now());
        let mut detector = SuspendDetector::default();
        detector.check_at(boot, monotonic);
        let suspended = detector.check_at(boot + ms(boot_ms), monotonic + ms(monotonic_ms));
        assert_eq!(suspended, suspended_ms.map(ms), "{name}");
        let next = detector.check_at(boot + ms(boot_ms + 10), monotonic + ms(monotonic_ms + 10));
        assert_eq!(next, None, "{name}: the suspend is reported once");
    }
}

#[test]
fn a_clock_that_goes_back_tells_no_time_and_no_sleep() {
    let (boot, monotonic) = (BootInstant::now(), Instant::now());
    let mut detector = SuspendDetector::default();
    detector.check_at(boot + ms(10_000), monotonic);
    assert_eq!(detector.check_at(boot, monotonic + ms(50)), None);
    assert_eq!(boot.saturating_duration_since(boot + ms(1)), Duration::ZERO);
}

#[test]
fn the_clock_goes_on() {
    let started = BootInstant::now();
    while started.elapsed() < ms(2) {
        std::thread::yield_now();
    }
    assert!(BootInstant::now() > started);
}
