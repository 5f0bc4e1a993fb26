//! What became of calls, counted and as chances, and how a flaw changes the chances.

use mesh::ClassOutcomes;
use std::ops::{Add, Sub};

/// Calls by what became of them. Not whole where an upstream counts in part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub failed: f64,
    /// Answered, but after several times the usual time.
    pub slow: f64,
    /// Answered in time.
    pub fine: f64,
}

impl Counts {
    /// Answers in bins from `slow_from` on are slow.
    pub fn of(outcomes: &ClassOutcomes, slow_from: usize) -> Self {
        let slow = outcomes.answered_from(slow_from);
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

/// What a flaw or a fault does to calls; the part of them that it hits, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Harm {
    /// They fail.
    Fails(f64),
    /// Their answers are slow.
    Slows(f64),
}

/// The chance of each outcome of a call; they sum to 1 and none is 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rates {
    failed: f64,
    slow: f64,
    fine: f64,
}

impl Rates {
    /// The parts of some calls. `counts` must have calls of each outcome.
    pub fn of(counts: Counts) -> Self {
        let part = counts.times(1.0 / counts.ended());
        Rates { failed: part.failed, slow: part.slow, fine: part.fine }
    }

    /// As many calls as `count`, at these rates.
    pub fn calls(self, count: f64) -> Counts {
        Counts { failed: self.failed, slow: self.slow, fine: self.fine }.times(count)
    }

    pub fn bad(self) -> f64 {
        self.failed + self.slow
    }

    /// The chances where some calls are harmed besides.
    pub fn worsened(self, harm: Harm) -> Self {
        match harm {
            Harm::Fails(part) => Rates {
                failed: self.failed + part * (1.0 - self.failed),
                slow: self.slow * (1.0 - part),
                fine: self.fine * (1.0 - part),
            },
            Harm::Slows(part) => Rates {
                failed: self.failed,
                slow: self.slow + part * self.fine,
                fine: self.fine * (1.0 - part),
            },
        }
    }

    pub fn logarithms(self) -> LogRates {
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
    /// The logarithm of the likelihood of these outcomes, in a given order.
    pub fn of(&self, counts: &Counts) -> f64 {
        counts.failed * self.failed + counts.slow * self.slow + counts.fine * self.fine
    }
}
