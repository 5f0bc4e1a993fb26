//! Outcomes of calls as counts and as probabilities, and the effect of a flaw on the probabilities.

use mesh::ClassOutcomes;
use std::ops::{Add, Sub};

/// Numbers of calls by outcome; fractional if an upstream is counted with a weight below one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub failed: f64,
    /// Answered, but several times slower than the median.
    pub slow: f64,
    /// Answered in time.
    pub fine: f64,
}

impl Counts {
    /// Counts the outcomes; answers in bins from `first_slow_bin` on are slow.
    pub fn of(outcomes: &ClassOutcomes, first_slow_bin: usize) -> Self {
        let slow = outcomes.answered_from(first_slow_bin);
        let fine = outcomes.ended() - outcomes.failed - slow;
        Counts { failed: outcomes.failed.into(), slow: slow.into(), fine: fine.into() }
    }

    pub fn ended(self) -> f64 {
        self.failed + self.slow + self.fine
    }

    pub fn bad(self) -> f64 {
        self.failed + self.slow
    }

    pub fn times(self, factor: f64) -> Self {
        Counts { failed: self.failed * factor, slow: self.slow * factor, fine: self.fine * factor }
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Counts {
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
            fine: self.fine + other.fine,
        }
    }
}

impl Sub for Counts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Counts {
            failed: self.failed - other.failed,
            slow: self.slow - other.slow,
            fine: self.fine - other.fine,
        }
    }
}

/// Effect of a flaw or a fault on calls, with the fraction of calls affected, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    /// The calls fail.
    Fails(f64),
    /// The answers are slow.
    Slows(f64),
}

/// Probabilities of the outcomes of a call; they sum to 1 and none is 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rates {
    failed: f64,
    slow: f64,
    fine: f64,
}

impl Rates {
    /// Relative frequencies of the outcomes, none of which may have a count of 0.
    pub fn of(counts: Counts) -> Self {
        let frequencies = counts.times(1.0 / counts.ended());
        Rates { failed: frequencies.failed, slow: frequencies.slow, fine: frequencies.fine }
    }

    /// Expected outcomes of `count` calls at these rates.
    pub fn expected_counts(self, count: f64) -> Counts {
        Counts { failed: self.failed, slow: self.slow, fine: self.fine }.times(count)
    }

    pub fn bad(self) -> f64 {
        self.failed + self.slow
    }

    /// The probabilities if some calls are additionally affected.
    pub fn with_effect(self, effect: Effect) -> Self {
        match effect {
            Effect::Fails(fraction) => Rates {
                failed: self.failed + fraction * (1.0 - self.failed),
                slow: self.slow * (1.0 - fraction),
                fine: self.fine * (1.0 - fraction),
            },
            Effect::Slows(fraction) => Rates {
                failed: self.failed,
                slow: self.slow + fraction * self.fine,
                fine: self.fine * (1.0 - fraction),
            },
        }
    }

    pub fn logs(self) -> LogRates {
        LogRates { failed: self.failed.ln(), slow: self.slow.ln(), fine: self.fine.ln() }
    }
}

/// Natural logarithms of [`Rates`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogRates {
    failed: f64,
    slow: f64,
    fine: f64,
}

impl LogRates {
    /// Log-likelihood of these outcomes in a given order.
    pub fn log_likelihood(&self, counts: &Counts) -> f64 {
        counts.failed * self.failed + counts.slow * self.slow + counts.fine * self.fine
    }
}
