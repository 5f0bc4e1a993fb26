//! Likelihood ratio of the outcomes of a version's calls with a flaw to those without.
//!
//! A flaw affects all upstreams of the version alike, in one class of calls or in all, from the start or
//! since recently. A fault affects some upstreams, whatever they run. Both are part of the model, so no
//! upstream has to be excluded. The ratio may be checked any number of times: averaged over the flaws,
//! it exceeds R for a sound version in at most one of R runs (Ville's inequality), as far as the
//! baseline rates are correct.

use crate::health::{Period, Periods, StateLogLikelihoods, StateLogRates, StateProbabilities};
use crate::outcomes::{Effect, Rates};
use crate::usual::{Baseline, ClassCounts};

/// Effects on calls of the flaws that are tested for.
const EFFECTS: [Effect; 6] = [
    Effect::Fails(0.12),
    Effect::Fails(0.25),
    Effect::Fails(0.5),
    Effect::Slows(0.12),
    Effect::Slows(0.25),
    Effect::Slows(0.5),
];
/// Maximum fraction of the upstreams of the version that may be degraded; a version with more is not
/// fit.
const MAX_DEGRADED: f64 = 0.5;
/// Prior probability that a flaw affects only one class, if there are several.
const ONE_CLASS_PROBABILITY: f64 = 0.5;
/// Prior probability that a flaw began in the recent period.
const RECENT_PROBABILITY: f64 = 0.2;

/// A hypothetical flaw of the version.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Hypothesis {
    effect: Effect,
    /// Index of the affected class; `None` for all classes.
    class: Option<usize>,
    /// The period in which it began; `Earlier` stands for the start of the version.
    began: Period,
}

/// The likelihood ratio, and the class that is the strongest evidence for a flaw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LikelihoodRatio {
    /// Above 1 if the calls are likelier with a flaw.
    pub value: f64,
    /// Class affected by the likeliest flaw; `None` if it affects all classes.
    pub class: Option<usize>,
}

/// Likelihood ratio of all flaws together to none. All upstreams must have the same classes; `classes`
/// is their number.
pub(crate) fn likelihood_ratio(
    candidate: &[ClassCounts],
    baseline: &Baseline,
    classes: usize,
) -> LikelihoodRatio {
    let called: Vec<&ClassCounts> = candidate.iter().filter(|counts| has_calls(counts)).collect();
    let probabilities = StateProbabilities::new(baseline.degraded);
    let sound_model = CallModel::new(baseline, None);
    let sound: Vec<UpstreamLogLikelihoods> =
        called.iter().map(|counts| sound_model.log_likelihoods(counts)).collect();
    let max_degraded = (called.len() as f64 * MAX_DEGRADED) as usize;
    let log_without_flaw = log_likelihood_without_flaw(&sound, &probabilities, max_degraded);
    let mut ratio = LikelihoodRatio { value: 0.0, class: None };
    let mut max_log_ratio = f64::MIN;
    for effect in EFFECTS {
        let model = CallModel::new(baseline, Some(effect));
        let flawed: Vec<UpstreamLogLikelihoods> =
            called.iter().map(|counts| model.log_likelihoods(counts)).collect();
        for hypothesis in hypotheses(effect, classes) {
            let mut likelihood = TotalLikelihood::default();
            for (sound, flawed) in sound.iter().zip(&flawed) {
                likelihood.add(&probabilities, &hypothesis.log_likelihoods(sound, flawed));
            }
            let log_ratio =
                likelihood.total(max_degraded) - log_without_flaw + hypothesis.prior(classes).ln();
            ratio.value += log_ratio.exp();
            if log_ratio > max_log_ratio {
                max_log_ratio = log_ratio;
                ratio.class = hypothesis.class;
            }
        }
    }
    ratio
}

fn has_calls(counts: &ClassCounts) -> bool {
    counts.iter().any(|counts| (counts.earlier + counts.recent).ended() > 0.0)
}

fn log_likelihood_without_flaw(
    sound: &[UpstreamLogLikelihoods],
    probabilities: &StateProbabilities,
    max_degraded: usize,
) -> f64 {
    let mut likelihood = TotalLikelihood::default();
    for upstream in sound {
        likelihood.add(probabilities, &upstream.all);
    }
    likelihood.total(max_degraded)
}

fn hypotheses(effect: Effect, classes: usize) -> impl Iterator<Item = Hypothesis> {
    let single = if classes > 1 { classes } else { 0 };
    let affected = std::iter::once(None).chain((0..single).map(Some));
    affected.flat_map(move |class| {
        [Period::Earlier, Period::Recent].map(|began| Hypothesis { effect, class, began })
    })
}

impl Hypothesis {
    /// Prior probability of this flaw among all flaws.
    fn prior(&self, classes: usize) -> f64 {
        let began = match self.began {
            Period::Earlier => 1.0 - RECENT_PROBABILITY,
            Period::Recent => RECENT_PROBABILITY,
        };
        let class = match self.class {
            Some(_) => ONE_CLASS_PROBABILITY / classes as f64,
            None if classes > 1 => 1.0 - ONE_CLASS_PROBABILITY,
            None => 1.0,
        };
        began * class / EFFECTS.len() as f64
    }

    /// Log-likelihoods of one upstream's calls with this flaw in the classes and periods that it affects.
    fn log_likelihoods(
        &self,
        sound: &UpstreamLogLikelihoods,
        flawed: &UpstreamLogLikelihoods,
    ) -> Periods<StateLogLikelihoods> {
        let with_flaw = |period: Period| match self.class {
            None => *flawed.all.get(period),
            Some(class) => sound
                .all
                .get(period)
                .minus(sound.classes[class].get(period))
                .plus(flawed.classes[class].get(period)),
        };
        let earlier = match self.began {
            Period::Earlier => with_flaw(Period::Earlier),
            Period::Recent => sound.all.earlier,
        };
        Periods { earlier, recent: with_flaw(Period::Recent) }
    }
}

/// Outcome rates of each class by which the likelihoods of calls are computed.
struct CallModel {
    rates: Vec<Periods<StateLogRates>>,
}

impl CallModel {
    fn new(baseline: &Baseline, effect: Option<Effect>) -> Self {
        let state_rates = |rates: &Rates| {
            StateLogRates::new(effect.map_or(*rates, |effect| rates.with_effect(effect)))
        };
        CallModel { rates: baseline.rates.iter().map(|rates| rates.map(state_rates)).collect() }
    }

    fn log_likelihoods(&self, counts: &ClassCounts) -> UpstreamLogLikelihoods {
        let classes: Vec<Periods<StateLogLikelihoods>> = counts
            .iter()
            .zip(&self.rates)
            .map(|(counts, rates)| Periods {
                earlier: rates.earlier.log_likelihoods(&counts.earlier),
                recent: rates.recent.log_likelihoods(&counts.recent),
            })
            .collect();
        let all =
            classes.iter().fold(Periods::default(), |sum: Periods<StateLogLikelihoods>, class| {
                Periods {
                    earlier: sum.earlier.plus(&class.earlier),
                    recent: sum.recent.plus(&class.recent),
                }
            });
        UpstreamLogLikelihoods { all, classes }
    }
}

/// Log-likelihoods of one upstream's calls: of all, and by class.
struct UpstreamLogLikelihoods {
    all: Periods<StateLogLikelihoods>,
    classes: Vec<Periods<StateLogLikelihoods>>,
}

/// Likelihood of the calls of all upstreams of a version.
#[derive(Default)]
struct TotalLikelihood {
    /// Log-likelihood with all upstreams healthy.
    healthy: f64,
    /// Gain in log-likelihood for each upstream if that one may be degraded.
    gains: Vec<f64>,
}

impl TotalLikelihood {
    fn add(
        &mut self,
        probabilities: &StateProbabilities,
        log_likelihoods: &Periods<StateLogLikelihoods>,
    ) {
        let likelihood = probabilities.likelihood(log_likelihoods);
        self.healthy += likelihood.healthy;
        self.gains.push(likelihood.any - likelihood.healthy);
    }

    /// Log-likelihood with up to `max_degraded` upstreams, those with the largest gains, degraded.
    fn total(mut self, max_degraded: usize) -> f64 {
        self.gains.sort_by(|left, right| right.total_cmp(left));
        self.healthy + self.gains.iter().take(max_degraded).sum::<f64>()
    }
}
