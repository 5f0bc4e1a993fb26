//! Which calls have every step logged, and how many lines a flood gets.

use crate::Millis;

/// A sample of calls, chosen by their id so that a chosen one is logged at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSample {
    one_of: u64,
}

impl LogSample {
    /// One of `one_of` calls; 1 takes all.
    pub fn new(one_of: u64) -> Self {
        LogSample { one_of: one_of.max(1) }
    }

    /// Whether the call with this id is taken.
    pub fn includes(self, id: &str) -> bool {
        u64::from(crc32fast::hash(id.as_bytes())).is_multiple_of(self.one_of)
    }
}

const MS_PER_SECOND: Millis = 1_000;

/// A few lines a second, so that each event is logged while there are few, and a flood of them takes
/// no room from others.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimit {
    lines_per_second: u32,
    second: Millis,
    used: u32,
}

impl LogRateLimit {
    /// Allows so many lines in each second.
    pub fn new(lines_per_second: u32) -> Self {
        LogRateLimit { lines_per_second, second: 0, used: 0 }
    }

    /// Whether one more line may be written.
    pub fn allows(&mut self, now: Millis) -> bool {
        let second = now / MS_PER_SECOND;
        if self.second != second {
            (self.second, self.used) = (second, 0);
        }
        self.used = self.used.saturating_add(1);
        self.used <= self.lines_per_second
    }
}
