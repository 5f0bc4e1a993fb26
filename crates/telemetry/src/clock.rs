//! Clocks for ages, leases and deadlines that keep counting while the machine is suspended.
//!
//! `std::time::Instant` does not advance during a suspend, so state from before it would be
//! considered fresh afterwards. This is the only place that reads `CLOCK_BOOTTIME`. Timed waits
//! still use the monotonic clock; all of them are short.

use nix::time::{clock_gettime, ClockId};
use std::ops::Add;
use std::time::{Duration, Instant};

/// Minimum difference between the clocks that counts as a suspend; a smaller one may be the time
/// between the two readings.
const MIN_SUSPEND: Duration = Duration::from_millis(20);

/// Time since the machine booted, including time suspended.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// Like [`std::time::Instant`], but on a clock that keeps counting while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    ///
    /// # Panics
    ///
    /// Panics if the system has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39: without the
    /// clock, time would not advance here, so the process must not continue.
    pub fn now() -> Self {
        BootInstant(since_boot().expect("the system has CLOCK_BOOTTIME"))
    }

    /// Time since this instant; zero if the clock went backwards.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, duration: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(duration))
    }
}

/// Counts milliseconds since its creation, including time during which the machine is suspended.
/// Changes of the wall clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: BootInstant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: BootInstant::now() }
    }
}

impl Clock {
    /// Milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Detects that the machine was suspended: more time passed on the boot clock than on the monotonic
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boot: BootInstant,
    monotonic: Instant,
}

impl Default for SuspendDetector {
    fn default() -> Self {
        SuspendDetector { boot: BootInstant::now(), monotonic: Instant::now() }
    }
}

impl SuspendDetector {
    /// Returns how long the machine was suspended since the previous check, if it was.
    pub fn check(&mut self) -> Option<Duration> {
        self.check_at(BootInstant::now(), Instant::now())
    }

    /// Like [`SuspendDetector::check`], with given readings of the two clocks.
    pub fn check_at(&mut self, boot: BootInstant, monotonic: Instant) -> Option<Duration> {
        let boot_elapsed = boot.saturating_duration_since(self.boot);
        let monotonic_elapsed = monotonic.saturating_duration_since(self.monotonic);
        *self = SuspendDetector { boot, monotonic };
        let suspended = boot_elapsed.saturating_sub(monotonic_elapsed);
        (suspended >= MIN_SUSPEND).then_some(suspended)
    }
}
