//! When a call that takes long is also sent to a second upstream: a hedged request, as published in
//! "The Tail at Scale" (Dean, Barroso).
//!
//! Load answered: work whose times have a long tail. A run that is long at one upstream is mostly
//! short at another, so a second one, begun when the first is longer than nearly all of its like,
//! is in time where the first is not. Pure: the caller says what is usual, and how much time is left.

use crate::LatencyHistogram;

/// Part of calls that may be looked at for a second try: those beyond this part of the times. "The
/// Tail at Scale" takes a twentieth; one in ten is looked at, since a target of three times the usual
/// time leaves a second run too little after that, and the budget bounds those that are sent.
const MOST_LOOKED_AT: f64 = 0.1;
/// Least gain, as the chance that the second try is in time while the first is not. Below it three
/// of four second tries, and the slots that they take, would be in vain.
const LEAST_GAIN: f64 = 0.25;
/// Times seen before the spread is trusted for this: two of one call in ten.
const LEAST_SEEN: f64 = 20.0;
/// Step between two moments that are weighed, as a factor; a bin of the spread.
const STEP: f64 = 1.189_207;
/// Chance of a second try to reach the target below which only the deadline is looked at.
const LIKELY: f64 = 0.5;

/// What a second try is weighed by.
#[derive(Clone, Copy, Debug)]
pub struct HedgePlan<'a> {
    /// What the call takes at an upstream of average speed, milliseconds.
    pub usual_ms: f64,
    /// Pace of the upstream that has it: how long it takes, relative to what is usual.
    pub pace: f64,
    /// How the times of its like are spread.
    pub spread: &'a LatencyHistogram,
    /// Time until its answer is worth less, milliseconds.
    pub target_ms: f64,
    /// Time until its caller stops waiting, milliseconds.
    pub deadline_ms: f64,
}

impl HedgePlan<'_> {
    /// Time from now after which a second try pays if the first has not ended, milliseconds; `None` if
    /// it never does, or too little is known.
    pub fn delay_ms(&self) -> Option<f64> {
        let first_ms = self.usual_ms * self.pace;
        if self.spread.seen() < LEAST_SEEN || first_ms <= 0.0 || !first_ms.is_finite() {
            return None;
        }
        let mut delay_ms = first_ms * self.spread.quantile_beyond(MOST_LOOKED_AT)?;
        while delay_ms < self.deadline_ms {
            if self.pays_after(delay_ms) {
                return Some(delay_ms);
            }
            delay_ms *= STEP;
        }
        None
    }

    /// Whether a second try pays if the first has not ended after `elapsed_ms`.
    fn pays_after(&self, elapsed_ms: f64) -> bool {
        let in_target = self.second_in_time(elapsed_ms, self.target_ms);
        let until_ms = if in_target >= LIKELY { self.target_ms } else { self.deadline_ms };
        let second = self.second_in_time(elapsed_ms, until_ms);
        second * (1.0 - self.first_in_time(elapsed_ms, until_ms)) >= LEAST_GAIN
    }

    /// Chance that the first try, which has not ended yet, ends until then.
    fn first_in_time(&self, elapsed_ms: f64, until_ms: f64) -> f64 {
        let first_ms = self.usual_ms * self.pace;
        let still = self.spread.beyond(elapsed_ms / first_ms);
        if until_ms <= elapsed_ms || still <= 0.0 {
            return 0.0;
        }
        1.0 - (self.spread.beyond(until_ms / first_ms) / still).min(1.0)
    }

    /// Chance that a second try, sent after `elapsed_ms`, ends until then.
    fn second_in_time(&self, elapsed_ms: f64, until_ms: f64) -> f64 {
        // Where the first was placed on a quick one, there mostly is another that is about as quick.
        let second_ms = self.usual_ms * self.pace.min(1.0);
        1.0 - self.spread.beyond((until_ms - elapsed_ms) / second_ms)
    }
}
