//! The clocks that ages, leases and deadlines are reckoned on: they go on while the machine sleeps.
//!
//! `std::time::Instant` stands still while a machine is suspended, so what was known before would
//! be taken for fresh after it. This is the one place where `CLOCK_BOOTTIME` is read. Timed waits
//! still end by the steady clock; all of them are short.

use nix::time::{clock_gettime, ClockId};
use std::ops::Add;
use std::time::{Duration, Instant};

/// Less than this is the time between the readings of two clocks.
const SHORTEST_SLEEP: Duration = Duration::from_millis(20);

/// Time since the machine started, sleep included.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// A moment on the clock that goes on while the machine sleeps; otherwise like
/// [`std::time::Instant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// This moment. Linux has had the clock since 2.6.39; without it time stands still here, so the
    /// process must not go on.
    pub fn now() -> Self {
        BootInstant(since_boot().expect("the system has CLOCK_BOOTTIME"))
    }

    /// Time that has passed since; none if the clock went back.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; none if that one is later.
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

/// Milliseconds since the process started, sleep of the machine included. A changed wall clock does
/// not change it.
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
    /// Milliseconds since the clock was made.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Notices that the machine slept: more time passed since boot than on the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boot: BootInstant,
    steady: Instant,
}

impl Default for SuspendDetector {
    fn default() -> Self {
        SuspendDetector { boot: BootInstant::now(), steady: Instant::now() }
    }
}

impl SuspendDetector {
    /// How long the machine slept since the last look, if it did.
    pub fn check(&mut self) -> Option<Duration> {
        self.check_at(BootInstant::now(), Instant::now())
    }

    /// The same with both clocks read before.
    pub fn check_at(&mut self, boot: BootInstant, steady: Instant) -> Option<Duration> {
        let passed = boot.saturating_duration_since(self.boot);
        let awake = steady.saturating_duration_since(self.steady);
        *self = SuspendDetector { boot, steady };
        let slept = passed.saturating_sub(awake);
        (slept >= SHORTEST_SLEEP).then_some(slept)
    }
}
