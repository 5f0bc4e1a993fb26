//! Clocks that go on while the machine sleeps. A machine cannot be suspended here, so both clocks
//! are given.

use std::time::{Duration, Instant};
use telemetry::{BootInstant, SuspendDetector};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn sleep_is_what_passed_on_the_one_clock_only() {
    // (since the last look: on the boot clock, on the steady clock; slept)
    let rows = [
        ("awake", 500, 500, None),
        ("read one after the other", 501, 500, None),
        ("a millisecond", 502, 501, None),
        ("five seconds", 5_100, 100, Some(5_000)),
        ("hours", 7_200_050, 50, Some(7_200_000)),
        ("the boot clock is behind", 90, 100, None),
    ];
    for (name, boot_ms, steady_ms, slept_ms) in rows {
        let (boot, steady) = (BootInstant::now(), Instant::now());
        let mut watch = SuspendDetector::default();
        watch.check_at(boot, steady);
        let slept = watch.check_at(boot + ms(boot_ms), steady + ms(steady_ms));
        assert_eq!(slept, slept_ms.map(ms), "{name}");
        let next = watch.check_at(boot + ms(boot_ms + 10), steady + ms(steady_ms + 10));
        assert_eq!(next, None, "{name}: it is told once");
    }
}

#[test]
fn a_clock_that_goes_back_tells_no_time_and_no_sleep() {
    let (boot, steady) = (BootInstant::now(), Instant::now());
    let mut watch = SuspendDetector::default();
    watch.check_at(boot + ms(10_000), steady);
    assert_eq!(watch.check_at(boot, steady + ms(50)), None);
    assert_eq!(boot.saturating_duration_since(boot + ms(1)), Duration::ZERO);
}

#[test]
fn the_clock_goes_on() {
    let began = BootInstant::now();
    while began.elapsed() < ms(2) {
        std::thread::yield_now();
    }
    assert!(BootInstant::now() > began);
}
