//! Requests that a process has not answered, for which a planned stop waits.

use crate::BootInstant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts requests.
#[derive(Debug, Default)]
pub struct RequestCounter {
    in_flight: AtomicU64,
    entered: AtomicU64,
}

/// One request in flight, counted while this value lives.
pub struct RequestGuard<'a> {
    counter: &'a RequestCounter,
}

/// How a planned stop waits for requests.
#[derive(Clone, Copy, Debug)]
pub struct QuietWait {
    /// So long none must have come, and none must be in flight.
    pub quiet: Duration,
    /// Longest wait.
    pub limit: Duration,
}

impl RequestCounter {
    /// Takes a place.
    pub fn enter(&self) -> RequestGuard<'_> {
        self.entered.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        RequestGuard { counter: self }
    }

    /// Takes a place, unless all are taken.
    pub fn try_enter(&self, most: u64) -> Option<RequestGuard<'_>> {
        let place = self.enter();
        (self.in_flight() <= most).then_some(place)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Blocks until the requests are quiet, or nobody is left who could ask.
    pub fn wait_until_quiet(&self, wait: QuietWait, nobody_asks: impl Fn() -> bool) {
        let begun = BootInstant::now();
        let mut quiet_since = BootInstant::now();
        let mut seen = self.entered.load(Ordering::Relaxed);
        while begun.elapsed() < wait.limit {
            let entered = self.entered.load(Ordering::Relaxed);
            if entered != seen || self.in_flight() > 0 {
                seen = entered;
                quiet_since = BootInstant::now();
            }
            if nobody_asks() || quiet_since.elapsed() >= wait.quiet {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.counter.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
