//! Sampling of the calls that are logged in full, and a rate limit for log lines.

use crate::Millis;

/// A sample of calls, selected by their id so that a selected call is logged at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSample {
    one_of: u64,
}

impl LogSample {
    /// Selects one of `one_of` calls; 1 selects all.
    pub fn new(one_of: u64) -> Self {
        LogSample { one_of: one_of.max(1) }
    }

    /// Whether the call with this id is selected.
    pub fn includes(self, id: &str) -> bool {
        u64::from(crc32fast::hash(id.as_bytes())).is_multiple_of(self.one_of)
    }
}

const MS_PER_SECOND: Millis = 1_000;

/// A limit on log lines per second: single events are all logged, and a flood of them does not
/// crowd out other lines.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimit {
    lines_per_second: u32,
    second: Millis,
    used: u32,
}

impl LogRateLimit {
    /// Allows this many lines in each second.
    pub fn new(lines_per_second: u32) -> Self {
        LogRateLimit { lines_per_second, second: 0, used: 0 }
    }

    /// Whether one more line may be logged now.
    pub fn allows(&mut self, now: Millis) -> bool {
        let second = now / MS_PER_SECOND;
        if self.second != second {
            (self.second, self.used) = (second, 0);
        }
        self.used = self.used.saturating_add(1);
        self.used <= self.lines_per_second
    }
}
