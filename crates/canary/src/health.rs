//! Upstreams that are ill by themselves: faults that hit a machine, whatever version it runs.
//!
//! An upstream is well, or fails or slows a part of the calls of all classes. Its state may have
//! changed between the two [`Period`]s in which its calls are counted.

use crate::outcomes::{Counts, Harm, LogRates, Rates};

/// The part of the calls that an ill upstream harms.
const ILL_PART: f64 = 0.45;
/// Chance that the state of an upstream in the later period is drawn anew.
const TURN: f64 = 0.25;
/// States of an upstream in one period: well, failing, slow.
const STATES: usize = 3;
const WELL: usize = 0;

/// When calls were counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Period {
    /// Before the recent past.
    Before,
    /// In the recent past.
    Since,
}

/// One value for each period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Periods<T> {
    pub before: T,
    pub since: T,
}

impl<T> Periods<T> {
    pub fn map<U>(&self, of: impl Fn(&T) -> U) -> Periods<U> {
        Periods { before: of(&self.before), since: of(&self.since) }
    }

    pub fn get(&self, period: Period) -> &T {
        match period {
            Period::Before => &self.before,
            Period::Since => &self.since,
        }
    }
}

/// A logarithm of a likelihood for each state of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ByState([f64; STATES]);

impl ByState {
    pub fn plus(self, other: &ByState) -> Self {
        ByState([0, 1, 2].map(|state| self.0[state] + other.0[state]))
    }

    pub fn minus(self, other: &ByState) -> Self {
        ByState([0, 1, 2].map(|state| self.0[state] - other.0[state]))
    }

    fn greatest(&self) -> f64 {
        self.0.iter().copied().fold(f64::MIN, f64::max)
    }
}

/// The chances of a call at upstreams in each state, as logarithms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateRates([LogRates; STATES]);

impl StateRates {
    /// `well`: the chances at an upstream that is well.
    pub fn new(well: Rates) -> Self {
        let failing = well.worsened(Harm::Fails(ILL_PART));
        let slow = well.worsened(Harm::Slows(ILL_PART));
        StateRates([well, failing, slow].map(Rates::logarithms))
    }

    pub fn of(&self, counts: &Counts) -> ByState {
        ByState(self.0.map(|rates| rates.of(counts)))
    }
}

/// How many upstreams are ill, 0 to 1 each.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IllParts {
    pub failing: f64,
    pub slow: f64,
}

/// The chance of each pair of states, of the earlier and the later period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateChances([[f64; STATES]; STATES]);

/// What the calls of an upstream tell of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Likelihood {
    /// The logarithm where it was well all the time.
    pub well: f64,
    /// The logarithm where its states are not known.
    pub any: f64,
}

impl StateChances {
    pub fn new(ill: IllParts) -> Self {
        let of = [1.0 - ill.failing - ill.slow, ill.failing, ill.slow];
        let pair = |before: usize, since: usize| {
            let stays = if before == since { 1.0 - TURN } else { 0.0 };
            of[before] * (stays + TURN * of[since])
        };
        StateChances([0, 1, 2].map(|before| [0, 1, 2].map(|since| pair(before, since))))
    }

    /// Weighs the states by the likelihoods in both periods.
    pub fn likelihood(&self, told: &Periods<ByState>) -> Likelihood {
        let scale = told.before.greatest() + told.since.greatest();
        let sum: f64 = self.weights(told).iter().flatten().sum();
        let well = self.0[WELL][WELL].ln() + told.before.0[WELL] + told.since.0[WELL];
        Likelihood { well, any: sum.max(f64::MIN_POSITIVE).ln() + scale }
    }

    /// The chances of the states in each period, after what the calls told.
    pub fn after(&self, told: &Periods<ByState>) -> Periods<IllParts> {
        let weights = self.weights(told);
        let sum: f64 = weights.iter().flatten().sum();
        let before = |state: usize| weights[state].iter().sum::<f64>() / sum;
        let since = |state: usize| weights.iter().map(|row| row[state]).sum::<f64>() / sum;
        Periods {
            before: IllParts { failing: before(1), slow: before(2) },
            since: IllParts { failing: since(1), slow: since(2) },
        }
    }

    /// Not normalized: the likeliest states of each period have the factor 1.
    fn weights(&self, told: &Periods<ByState>) -> [[f64; STATES]; STATES] {
        let scaled = told.map(|logs| logs.0.map(|log| (log - logs.greatest()).exp()));
        let weight = |before: usize, since: usize| {
            self.0[before][since] * scaled.before[before] * scaled.since[since]
        };
        [0, 1, 2].map(|before| [0, 1, 2].map(|since| weight(before, since)))
    }
}
