//! Upstreams that are degraded by faults of their machines, whatever version they run.
//!
//! An upstream is healthy, or it fails or slows a fraction of the calls of all classes. Its state may
//! have changed between the two [`Period`]s in which its calls are counted.

use crate::outcomes::{Counts, Effect, LogRates, Rates};

/// Fraction of its calls that a degraded upstream fails or slows.
const AFFECTED_FRACTION: f64 = 0.45;
/// Probability that the state of an upstream in the recent period is drawn anew, independently of the
/// earlier one.
const REDRAW_PROBABILITY: f64 = 0.25;
/// Number of states of an upstream in one period: healthy, failing, slow.
const STATES: usize = 3;
const HEALTHY: usize = 0;

/// The period in which calls were counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Period {
    /// Before the recent period.
    Earlier,
    /// The recent period.
    Recent,
}

/// One value for each period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Periods<T> {
    pub earlier: T,
    pub recent: T,
}

impl<T> Periods<T> {
    pub fn map<U>(&self, map: impl Fn(&T) -> U) -> Periods<U> {
        Periods { earlier: map(&self.earlier), recent: map(&self.recent) }
    }

    pub fn get(&self, period: Period) -> &T {
        match period {
            Period::Earlier => &self.earlier,
            Period::Recent => &self.recent,
        }
    }
}

/// Log-likelihood of some calls for each state of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StateLogLikelihoods([f64; STATES]);

impl StateLogLikelihoods {
    pub fn plus(self, other: &StateLogLikelihoods) -> Self {
        StateLogLikelihoods([0, 1, 2].map(|state| self.0[state] + other.0[state]))
    }

    pub fn minus(self, other: &StateLogLikelihoods) -> Self {
        StateLogLikelihoods([0, 1, 2].map(|state| self.0[state] - other.0[state]))
    }

    fn max(&self) -> f64 {
        self.0.iter().copied().fold(f64::MIN, f64::max)
    }
}

/// Log-probabilities of the outcomes of a call, for each state of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateLogRates([LogRates; STATES]);

impl StateLogRates {
    /// `healthy` are the rates of a healthy upstream.
    pub fn new(healthy: Rates) -> Self {
        let failing = healthy.with_effect(Effect::Fails(AFFECTED_FRACTION));
        let slow = healthy.with_effect(Effect::Slows(AFFECTED_FRACTION));
        StateLogRates([healthy, failing, slow].map(Rates::logs))
    }

    pub fn log_likelihoods(&self, counts: &Counts) -> StateLogLikelihoods {
        StateLogLikelihoods(self.0.map(|rates| rates.log_likelihood(counts)))
    }
}

/// Fractions of upstreams in the degraded states, or probabilities of these states for one upstream,
/// from 0 to 1 each.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DegradedFractions {
    pub failing: f64,
    pub slow: f64,
}

/// Probability of each pair of states in the earlier and the recent period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateProbabilities([[f64; STATES]; STATES]);

/// Log-likelihoods of the calls of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Likelihood {
    /// With the upstream healthy in both periods.
    pub healthy: f64,
    /// With its states unknown.
    pub any: f64,
}

impl StateProbabilities {
    pub fn new(degraded: DegradedFractions) -> Self {
        let priors = [1.0 - degraded.failing - degraded.slow, degraded.failing, degraded.slow];
        let pair = |earlier: usize, recent: usize| {
            let stays = if earlier == recent { 1.0 - REDRAW_PROBABILITY } else { 0.0 };
            priors[earlier] * (stays + REDRAW_PROBABILITY * priors[recent])
        };
        StateProbabilities([0, 1, 2].map(|earlier| [0, 1, 2].map(|recent| pair(earlier, recent))))
    }

    /// Combines the likelihoods in both periods over the states.
    pub fn likelihood(&self, log_likelihoods: &Periods<StateLogLikelihoods>) -> Likelihood {
        let scale = log_likelihoods.earlier.max() + log_likelihoods.recent.max();
        let sum: f64 = self.weights(log_likelihoods).iter().flatten().sum();
        let healthy = self.0[HEALTHY][HEALTHY].ln()
            + log_likelihoods.earlier.0[HEALTHY]
            + log_likelihoods.recent.0[HEALTHY];
        Likelihood { healthy, any: sum.max(f64::MIN_POSITIVE).ln() + scale }
    }

    /// Posterior probabilities of the degraded states in each period.
    pub fn posterior(
        &self,
        log_likelihoods: &Periods<StateLogLikelihoods>,
    ) -> Periods<DegradedFractions> {
        let weights = self.weights(log_likelihoods);
        let sum: f64 = weights.iter().flatten().sum();
        let earlier = |state: usize| weights[state].iter().sum::<f64>() / sum;
        let recent = |state: usize| weights.iter().map(|row| row[state]).sum::<f64>() / sum;
        Periods {
            earlier: DegradedFractions { failing: earlier(1), slow: earlier(2) },
            recent: DegradedFractions { failing: recent(1), slow: recent(2) },
        }
    }

    /// Unnormalized posterior probabilities of the pairs of states; the likelihoods are scaled such that
    /// the maximum of each period is 1.
    fn weights(&self, log_likelihoods: &Periods<StateLogLikelihoods>) -> [[f64; STATES]; STATES] {
        let scaled = log_likelihoods.map(|logs| logs.0.map(|log| (log - logs.max()).exp()));
        let weight = |earlier: usize, recent: usize| {
            self.0[earlier][recent] * scaled.earlier[earlier] * scaled.recent[recent]
        };
        [0, 1, 2].map(|earlier| [0, 1, 2].map(|recent| weight(earlier, recent)))
    }
}
