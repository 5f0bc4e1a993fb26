//! What is usual with the versions in use: the rates of their upstreams that are well, and how many
//! are ill (expectation maximization over the states of the upstreams).

use crate::health::{IllParts, Periods, StateChances, StateRates};
use crate::outcomes::{Counts, Rates};

/// Rounds of expectation and maximization: the rates move little after the third.
const ROUNDS: usize = 4;
/// Part of the upstreams taken for ill where nothing is known.
const ILL_PRIOR: f64 = 0.1;
/// Upstreams that this is worth.
const PRIOR_UPSTREAMS: f64 = 5.0;
/// Calls by which the rates of a period are drawn to those of all times.
const SHARED_CALLS: f64 = 20.0;
/// Calls believed of each class before any came: none of the rates is ever 0.
const PRIOR_CALLS: Counts = Counts { failed: 0.5, slow: 0.5, fine: 1.0 };

/// The calls of one upstream, by class.
pub(crate) type ClassCounts = Vec<Periods<Counts>>;

/// What is usual.
#[derive(Clone, Debug)]
pub(crate) struct Usual {
    /// For each class, at an upstream that is well.
    pub rates: Vec<Periods<Rates>>,
    pub ill: IllParts,
}

impl Usual {
    /// Learns it from the upstreams of the versions in use.
    pub fn learn(stable: &[ClassCounts], classes: usize) -> Self {
        let nobody = IllParts { failing: 0.0, slow: 0.0 };
        let mut states = vec![Periods { before: nobody, since: nobody }; stable.len()];
        let half = ILL_PRIOR / 2.0;
        let mut usual = Usual {
            rates: rates(stable, &states, classes),
            ill: IllParts { failing: half, slow: half },
        };
        for _ in 0..ROUNDS {
            states = usual.states(stable);
            usual = Usual { rates: rates(stable, &states, classes), ill: ill_parts(&states) };
        }
        usual
    }

    /// How likely each upstream is ill.
    fn states(&self, stable: &[ClassCounts]) -> Vec<Periods<IllParts>> {
        let chances = StateChances::new(self.ill);
        let rates: Vec<Periods<StateRates>> =
            self.rates.iter().map(|rates| rates.map(|rates| StateRates::new(*rates))).collect();
        let of_upstream = |classes: &ClassCounts| {
            let mut told = Periods::default();
            for (counts, rates) in classes.iter().zip(&rates) {
                told = Periods {
                    before: rates.before.of(&counts.before).plus(&told.before),
                    since: rates.since.of(&counts.since).plus(&told.since),
                };
            }
            chances.after(&told)
        };
        stable.iter().map(of_upstream).collect()
    }
}

fn ill_parts(states: &[Periods<IllParts>]) -> IllParts {
    let upstreams = states.len() as f64 + PRIOR_UPSTREAMS;
    let part = |of: fn(&IllParts) -> f64| {
        let told: f64 = states.iter().map(|ill| (of(&ill.before) + of(&ill.since)) / 2.0).sum();
        (told + ILL_PRIOR / 2.0 * PRIOR_UPSTREAMS) / upstreams
    };
    IllParts { failing: part(|ill| ill.failing), slow: part(|ill| ill.slow) }
}

/// The rates of each class at upstreams that are well; one that may be ill counts in part.
fn rates(
    stable: &[ClassCounts],
    states: &[Periods<IllParts>],
    classes: usize,
) -> Vec<Periods<Rates>> {
    let of_class = |class: usize| {
        let mut well = Periods::<Counts>::default();
        for (upstream, ill) in stable.iter().zip(states) {
            let weight = ill.map(|ill| 1.0 - ill.failing - ill.slow);
            let counts = &upstream[class];
            well.before = well.before + counts.before.times(weight.before);
            well.since = well.since + counts.since.times(weight.since);
        }
        let pooled = Rates::of(well.before + well.since + PRIOR_CALLS);
        well.map(|counts| Rates::of(*counts + pooled.calls(SHARED_CALLS)))
    };
    (0..classes).map(of_class).collect()
}
