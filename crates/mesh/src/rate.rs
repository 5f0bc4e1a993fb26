//! Rates of calls.

use std::fmt;
use std::str::FromStr;

const MILLI: f64 = 1_000.0;

/// A rate of calls, with a resolution of a thousandth of a call per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallRate {
    milli_per_s: u64,
}

impl CallRate {
    /// Creates a rate of calls per second; `None` for a negative rate and for what is not a number.
    /// Rates too large for this type become the largest one.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(CallRate { milli_per_s: (per_s * MILLI).round() as u64 })
    }

    /// Calls per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }

    /// Thousandths of a call per second.
    pub fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// The same for a gauge, at most its largest value.
    pub fn saturating_milli(self) -> i64 {
        i64::try_from(self.milli_per_s).unwrap_or(i64::MAX)
    }
}

/// The text is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCallRate;

impl FromStr for CallRate {
    type Err = InvalidCallRate;

    /// Parses a decimal number of calls per second.
    fn from_str(text: &str) -> Result<Self, InvalidCallRate> {
        let per_s = text.trim().parse().map_err(|_| InvalidCallRate)?;
        Self::from_per_s(per_s).ok_or(InvalidCallRate)
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}
