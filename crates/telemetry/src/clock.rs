//! Monotonic time in milliseconds since the process started.

use std::time::Instant;

/// A monotonic clock; it is not stopped by a changed wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: Instant::now() }
    }
}

impl Clock {
    /// Milliseconds since the clock was made.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
