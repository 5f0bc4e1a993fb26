//! Which calls have every step logged.

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
    pub fn takes(self, id: &str) -> bool {
        u64::from(crc32fast::hash(id.as_bytes())).is_multiple_of(self.one_of)
    }
}
