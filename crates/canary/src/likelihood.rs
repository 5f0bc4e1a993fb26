//! How much likelier what a version showed is if it has a flaw than if it has none.
//!
//! A flaw hits all upstreams of the version alike, in one class of calls or in all, since it began
//! or since a short time. A fault hits some upstreams, whatever they run. Both are weighed together,
//! so no upstream has to be left out, and the ratio may be looked at as often as wanted: averaged over
//! flaws it exceeds R for a sound version once in R runs at most (Ville's inequality), as far as the
//! usual rates are right.

use crate::health::{ByState, Period, Periods, StateChances, StateRates};
use crate::outcomes::{Harm, Rates};
use crate::usual::{ClassCounts, Usual};

/// The flaws that are looked for: what they do to calls.
const HARMS: [Harm; 6] = [
    Harm::Fails(0.12),
    Harm::Fails(0.25),
    Harm::Fails(0.5),
    Harm::Slows(0.12),
    Harm::Slows(0.25),
    Harm::Slows(0.5),
];
/// Part of the upstreams of the version that may be ill; a version of which more are is not fit.
const MOST_ILL: f64 = 0.5;
/// Chance that a flaw hits one class only, where there are several.
const ONE_CLASS: f64 = 0.5;
/// Chance that a flaw showed in the recent past only.
const RECENT: f64 = 0.2;

/// A flaw of the version.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Hypothesis {
    harm: Harm,
    /// The class that it hits, by its place; all of them if none.
    class: Option<usize>,
    /// When it began: with the version, or lately.
    began: Period,
}

/// The ratio, and what speaks most for a flaw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ratio {
    /// Over 1: likelier with a flaw.
    pub value: f64,
    /// The class of the likeliest flaw that hits only one; none if it hits all alike.
    pub class: Option<usize>,
}

/// Weighs all flaws against none. Upstreams must have the same classes, `classes` of them.
pub(crate) fn ratio(candidate: &[ClassCounts], usual: &Usual, classes: usize) -> Ratio {
    let called: Vec<&ClassCounts> = candidate.iter().filter(|counts| was_called(counts)).collect();
    let chances = StateChances::new(usual.ill);
    let sound = Reading::new(usual, None);
    let sound: Vec<ClassLogs> = called.iter().map(|counts| sound.of(counts)).collect();
    let most_ill = (called.len() as f64 * MOST_ILL) as usize;
    let without = without_flaw(&sound, &chances, most_ill);
    let mut ratio = Ratio { value: 0.0, class: None };
    let mut likeliest = f64::MIN;
    for harm in HARMS {
        let reading = Reading::new(usual, Some(harm));
        let flawed: Vec<ClassLogs> = called.iter().map(|counts| reading.of(counts)).collect();
        for hypothesis in hypotheses(harm, classes) {
            let mut likelihood = Sum::default();
            for (sound, flawed) in sound.iter().zip(&flawed) {
                likelihood.add(&chances, &hypothesis.read(sound, flawed));
            }
            let log = likelihood.total(most_ill) - without + hypothesis.chance(classes).ln();
            ratio.value += log.exp();
            if log > likeliest {
                likeliest = log;
                ratio.class = hypothesis.class;
            }
        }
    }
    ratio
}

fn was_called(counts: &ClassCounts) -> bool {
    counts.iter().any(|counts| (counts.before + counts.since).ended() > 0.0)
}

fn without_flaw(sound: &[ClassLogs], chances: &StateChances, most_ill: usize) -> f64 {
    let mut likelihood = Sum::default();
    for upstream in sound {
        likelihood.add(chances, &upstream.all);
    }
    likelihood.total(most_ill)
}

fn hypotheses(harm: Harm, classes: usize) -> impl Iterator<Item = Hypothesis> {
    let single = if classes > 1 { classes } else { 0 };
    let which = std::iter::once(None).chain((0..single).map(Some));
    which.flat_map(move |class| {
        [Period::Before, Period::Since].map(|began| Hypothesis { harm, class, began })
    })
}

impl Hypothesis {
    /// Its chance among all flaws.
    fn chance(&self, classes: usize) -> f64 {
        let began = match self.began {
            Period::Before => 1.0 - RECENT,
            Period::Since => RECENT,
        };
        let class = match self.class {
            Some(_) => ONE_CLASS / classes as f64,
            None if classes > 1 => 1.0 - ONE_CLASS,
            None => 1.0,
        };
        began * class / HARMS.len() as f64
    }

    /// The calls of one upstream, read with this flaw where it was there.
    fn read(&self, sound: &ClassLogs, flawed: &ClassLogs) -> Periods<ByState> {
        let all = |period: Period| match self.class {
            None => *flawed.all.get(period),
            Some(class) => sound
                .all
                .get(period)
                .minus(sound.classes[class].get(period))
                .plus(flawed.classes[class].get(period)),
        };
        let before = match self.began {
            Period::Before => all(Period::Before),
            Period::Since => sound.all.before,
        };
        Periods { before, since: all(Period::Since) }
    }
}

/// Rates by which the calls of a version are read.
struct Reading {
    rates: Vec<Periods<StateRates>>,
}

impl Reading {
    fn new(usual: &Usual, harm: Option<Harm>) -> Self {
        let of = |rates: &Rates| StateRates::new(harm.map_or(*rates, |harm| rates.worsened(harm)));
        Reading { rates: usual.rates.iter().map(|rates| rates.map(of)).collect() }
    }

    fn of(&self, counts: &ClassCounts) -> ClassLogs {
        let classes: Vec<Periods<ByState>> = counts
            .iter()
            .zip(&self.rates)
            .map(|(counts, rates)| Periods {
                before: rates.before.of(&counts.before),
                since: rates.since.of(&counts.since),
            })
            .collect();
        let all = classes.iter().fold(Periods::default(), |sum: Periods<ByState>, class| Periods {
            before: sum.before.plus(&class.before),
            since: sum.since.plus(&class.since),
        });
        ClassLogs { all, classes }
    }
}

/// The logarithms of the likelihoods of one upstream's calls.
struct ClassLogs {
    all: Periods<ByState>,
    classes: Vec<Periods<ByState>>,
}

/// The likelihood of the calls of all upstreams of a version.
#[derive(Default)]
struct Sum {
    well: f64,
    /// What it gains for each upstream if that may be ill, logarithms.
    gains: Vec<f64>,
}

impl Sum {
    fn add(&mut self, chances: &StateChances, told: &Periods<ByState>) {
        let likelihood = chances.likelihood(told);
        self.well += likelihood.well;
        self.gains.push(likelihood.any - likelihood.well);
    }

    /// The logarithm, with those for ill that look most so.
    fn total(mut self, most_ill: usize) -> f64 {
        self.gains.sort_by(|left, right| right.total_cmp(left));
        self.well + self.gains.iter().take(most_ill).sum::<f64>()
    }
}
