//! Tracks requests in flight, so that a planned stop can wait for them.

use crate::BootInstant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts the requests that a process is handling.
#[derive(Debug, Default)]
pub struct RequestCounter {
    in_flight: AtomicU64,
    total: AtomicU64,
}

/// Counts one request as in flight until it is dropped.
pub struct RequestGuard<'a> {
    counter: &'a RequestCounter,
}

/// How long a planned stop waits for requests.
#[derive(Clone, Copy, Debug)]
pub struct QuietWait {
    /// Quiet period: how long no request may have arrived or been in flight.
    pub quiet: Duration,
    /// Maximum wait.
    pub limit: Duration,
}

impl RequestCounter {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn enter(&self) -> RequestGuard<'_> {
        self.total.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        RequestGuard { counter: self }
    }

    /// Like [`RequestCounter::enter`], but returns `None` if more than `max_in_flight` requests
    /// would be in flight.
    pub fn try_enter(&self, max_in_flight: u64) -> Option<RequestGuard<'_>> {
        let guard = self.enter();
        (self.in_flight() <= max_in_flight).then_some(guard)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Blocks until there have been no requests for the quiet period, until `no_clients_left`
    /// returns true, or until the maximum wait is over.
    pub fn wait_until_quiet(&self, wait: QuietWait, no_clients_left: impl Fn() -> bool) {
        let started = BootInstant::now();
        let mut quiet_since = BootInstant::now();
        let mut last_total = self.total.load(Ordering::Relaxed);
        while started.elapsed() < wait.limit {
            let total = self.total.load(Ordering::Relaxed);
            if total != last_total || self.in_flight() > 0 {
                last_total = total;
                quiet_since = BootInstant::now();
            }
            if no_clients_left() || quiet_since.elapsed() >= wait.quiet {
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
