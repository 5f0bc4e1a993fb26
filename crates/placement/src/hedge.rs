//! Hedged requests: when a slow call is also sent to a second upstream, as described in "The Tail
//! at Scale" (Dean, Barroso).
//!
//! Hedging helps with work whose latencies have a long tail. A request that is slow at one upstream
//! is usually fast at another, so a second attempt, sent once the first has taken longer than
//! nearly all similar calls, answers in time where the first does not. The module does no I/O: the
//! caller passes in the expected latency and the time that is left.

use crate::LatencyHistogram;

/// Fraction of calls, the slowest ones, that are considered for a hedge. "The Tail at Scale" uses
/// one in twenty. One in ten is considered here, since with a target of three times the average
/// latency a later hedge would have too little time; the retry budget limits how many are sent.
const MAX_HEDGED_FRACTION: f64 = 0.1;
/// Minimum probability that the hedge answers in time while the first attempt does not. Below it,
/// three of four hedges, and the slots they occupy, would be wasted.
const MIN_GAIN: f64 = 0.25;
/// Minimum number of samples before the histogram is used: two samples in the slowest tenth.
const MIN_SAMPLES: f64 = 20.0;
/// Factor between consecutive delays that are evaluated; the width of a histogram bin.
const STEP: f64 = 1.189_207;
/// Probability of a hedge to meet the target below which the decision considers only the deadline.
const LIKELY_IN_TARGET: f64 = 0.5;

/// Inputs of the decision whether to hedge a call.
#[derive(Clone, Copy, Debug)]
pub struct HedgePlan<'a> {
    /// Expected latency at an upstream of average speed, milliseconds.
    pub usual_ms: f64,
    /// Pace of the upstream that has the call: its service time relative to the average.
    pub pace: f64,
    /// Distribution of the latencies of the same route.
    pub spread: &'a LatencyHistogram,
    /// Target latency, measured from now, milliseconds.
    pub target_ms: f64,
    /// Time until the caller gives up, milliseconds.
    pub deadline_ms: f64,
}

impl HedgePlan<'_> {
    /// Delay from now after which a hedge is worthwhile if the first attempt is still running,
    /// milliseconds; `None` if it never is, or too few samples exist.
    pub fn delay_ms(&self) -> Option<f64> {
        let first_ms = self.usual_ms * self.pace;
        if self.spread.sample_weight() < MIN_SAMPLES || first_ms <= 0.0 || !first_ms.is_finite() {
            return None;
        }
        let mut delay_ms = first_ms * self.spread.quantile_beyond(MAX_HEDGED_FRACTION)?;
        while delay_ms < self.deadline_ms {
            if self.is_worthwhile_after(delay_ms) {
                return Some(delay_ms);
            }
            delay_ms *= STEP;
        }
        None
    }

    /// Whether a hedge is worthwhile if the first attempt is still running after `elapsed_ms`.
    fn is_worthwhile_after(&self, elapsed_ms: f64) -> bool {
        let in_target = self.second_in_time(elapsed_ms, self.target_ms);
        let until_ms =
            if in_target >= LIKELY_IN_TARGET { self.target_ms } else { self.deadline_ms };
        let second = self.second_in_time(elapsed_ms, until_ms);
        second * (1.0 - self.first_in_time(elapsed_ms, until_ms)) >= MIN_GAIN
    }

    /// Probability that the first attempt, still running after `elapsed_ms`, ends by `until_ms`.
    fn first_in_time(&self, elapsed_ms: f64, until_ms: f64) -> f64 {
        let first_ms = self.usual_ms * self.pace;
        let still_running = self.spread.beyond(elapsed_ms / first_ms);
        if until_ms <= elapsed_ms || still_running <= 0.0 {
            return 0.0;
        }
        1.0 - (self.spread.beyond(until_ms / first_ms) / still_running).min(1.0)
    }

    /// Probability that a hedge sent after `elapsed_ms` ends by `until_ms`.
    fn second_in_time(&self, elapsed_ms: f64, until_ms: f64) -> f64 {
        // If the first attempt went to a fast upstream, there usually is another one about as fast.
        let second_ms = self.usual_ms * self.pace.min(1.0);
        1.0 - self.spread.beyond((until_ms - elapsed_ms) / second_ms)
    }
}
