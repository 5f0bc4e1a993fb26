//! The baseline of the versions in use: the outcome rates of their healthy upstreams and the fractions
//! of degraded upstreams, estimated by expectation maximization over the states of the upstreams.

use crate::health::{DegradedFractions, Periods, StateLogRates, StateProbabilities};
use crate::outcomes::{Counts, Rates};

/// Iterations of expectation maximization; the rates change little after the third.
const ITERATIONS: usize = 4;
/// Prior fraction of degraded upstreams.
const DEGRADED_PRIOR: f64 = 0.1;
/// Weight of that prior, in upstreams.
const PRIOR_UPSTREAMS: f64 = 5.0;
/// Weight of the rates of both periods together in those of one period, in calls.
const POOLED_CALLS: f64 = 20.0;
/// Prior outcomes of each class, such that no rate is ever 0.
const PRIOR_CALLS: Counts = Counts { failed: 0.5, slow: 0.5, fine: 1.0 };

/// The calls of one upstream, by class.
pub(crate) type ClassCounts = Vec<Periods<Counts>>;

/// The baseline of the versions in use.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// Outcome rates of each class at a healthy upstream.
    pub rates: Vec<Periods<Rates>>,
    /// Fractions of degraded upstreams.
    pub degraded: DegradedFractions,
}

impl Baseline {
    /// Estimates the baseline from the upstreams of the versions in use.
    pub fn estimate(stable: &[ClassCounts], classes: usize) -> Self {
        let none = DegradedFractions { failing: 0.0, slow: 0.0 };
        let mut states = vec![Periods { earlier: none, recent: none }; stable.len()];
        let half = DEGRADED_PRIOR / 2.0;
        let mut baseline = Baseline {
            rates: rates(stable, &states, classes),
            degraded: DegradedFractions { failing: half, slow: half },
        };
        for _ in 0..ITERATIONS {
            states = baseline.states(stable);
            baseline = Baseline {
                rates: rates(stable, &states, classes),
                degraded: degraded_fractions(&states),
            };
        }
        baseline
    }

    /// Posterior probabilities that each upstream is degraded.
    fn states(&self, stable: &[ClassCounts]) -> Vec<Periods<DegradedFractions>> {
        let probabilities = StateProbabilities::new(self.degraded);
        let rates: Vec<Periods<StateLogRates>> =
            self.rates.iter().map(|rates| rates.map(|rates| StateLogRates::new(*rates))).collect();
        let of_upstream = |classes: &ClassCounts| {
            let mut log_likelihoods = Periods::default();
            for (counts, rates) in classes.iter().zip(&rates) {
                log_likelihoods = Periods {
                    earlier: rates
                        .earlier
                        .log_likelihoods(&counts.earlier)
                        .plus(&log_likelihoods.earlier),
                    recent: rates
                        .recent
                        .log_likelihoods(&counts.recent)
                        .plus(&log_likelihoods.recent),
                };
            }
            probabilities.posterior(&log_likelihoods)
        };
        stable.iter().map(of_upstream).collect()
    }
}

fn degraded_fractions(states: &[Periods<DegradedFractions>]) -> DegradedFractions {
    let upstreams = states.len() as f64 + PRIOR_UPSTREAMS;
    let fraction = |value: fn(&DegradedFractions) -> f64| {
        let observed: f64 = states
            .iter()
            .map(|degraded| (value(&degraded.earlier) + value(&degraded.recent)) / 2.0)
            .sum();
        (observed + DEGRADED_PRIOR / 2.0 * PRIOR_UPSTREAMS) / upstreams
    };
    DegradedFractions {
        failing: fraction(|degraded| degraded.failing),
        slow: fraction(|degraded| degraded.slow),
    }
}

/// Outcome rates of each class at healthy upstreams; each upstream is weighted by its probability of
/// being healthy.
fn rates(
    stable: &[ClassCounts],
    states: &[Periods<DegradedFractions>],
    classes: usize,
) -> Vec<Periods<Rates>> {
    let of_class = |class: usize| {
        let mut healthy = Periods::<Counts>::default();
        for (upstream, degraded) in stable.iter().zip(states) {
            let weight = degraded.map(|degraded| 1.0 - degraded.failing - degraded.slow);
            let counts = &upstream[class];
            healthy.earlier = healthy.earlier + counts.earlier.times(weight.earlier);
            healthy.recent = healthy.recent + counts.recent.times(weight.recent);
        }
        let pooled = Rates::of(healthy.earlier + healthy.recent + PRIOR_CALLS);
        healthy.map(|counts| Rates::of(*counts + pooled.expected_counts(POOLED_CALLS)))
    };
    (0..classes).map(of_class).collect()
}
