//! Judging a version against the ones in use, on what every call showed.
//!
//! A bad version is bad wherever it runs. What faults do (an upstream that fails, a slow machine)
//! hits some upstreams, of either version; what fails for want of a call within the call, or in an
//! overload, fails with the other version alike.

use crate::evidence::{Sums, UpstreamSums};
use crate::health::Periods;
use crate::likelihood::{ratio, Ratio};
use crate::outcomes::Counts;
use crate::usual::{ClassCounts, Usual};
use mesh::{CallClass, ClassOutcomes, TIME_BINS};
use std::collections::{BTreeMap, BTreeSet};

/// Bins by which an answer is beyond the usual to count as slow: four halves of a doubling and one
/// for where in its bin the usual time lies, so three to four times as long.
const SLOW_BINS: usize = 4;
/// Fewest bad answers that are believed.
const LEAST_BAD: f64 = 5.0;
/// A version is bad when it is so many times likelier to have a flaw than none: a sound one exceeds
/// it once in as many runs at most.
const BAD_RATIO: f64 = 5_000.0;
/// It is in doubt from here on.
const DOUBTFUL_RATIO: f64 = 100.0;
/// It is sound below.
const SOUND_RATIO: f64 = 1.0;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flaw {
    /// The calls that show it.
    pub class: CallClass,
    /// Of them, those that failed or took several times as long as with the versions in use.
    pub bad: u32,
    /// Calls of that class at the candidate.
    pub ended: u32,
    /// Part of such calls that is bad with the versions in use, 0 to 1.
    pub usual_part: f64,
}

/// A judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against the version.
    Sound,
    /// Nothing is known, or what is known fits a sound version as well as a bad one.
    Unclear,
    /// More speaks for a flaw than against it.
    Doubtful(Flaw),
    /// It is worse than the versions in use.
    Bad(Flaw),
}

/// A judgement, and how strong the evidence is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// What follows from it.
    pub verdict: Verdict,
    /// How many times likelier the calls are with a flaw than without.
    pub ratio: f64,
}

/// Judges the new version on all that was told, and on the part of it that is of the recent past.
pub fn judge(whole: &Sums, recent: &Sums) -> Judgement {
    let classes = Classes::of(whole);
    let stable = classes.count(&whole.stable, &recent.stable);
    let candidate = classes.count(&whole.candidate, &recent.candidate);
    let usual = Usual::learn(&stable, classes.kinds.len());
    let Ratio { value, class } = ratio(&candidate, &usual, classes.kinds.len());
    let enough = classes.bad(&candidate, class) >= LEAST_BAD;
    let verdict = match classes.flaw(&candidate, &usual, class) {
        Some(flaw) if value >= BAD_RATIO && enough => Verdict::Bad(flaw),
        Some(flaw) if value >= DOUBTFUL_RATIO => Verdict::Doubtful(flaw),
        Some(_) if value < SOUND_RATIO => Verdict::Sound,
        _ => Verdict::Unclear,
    };
    Judgement { verdict, ratio: value }
}

/// The classes of calls that the new version had.
struct Classes {
    kinds: Vec<Class>,
}

struct Class {
    class: CallClass,
    /// The first bin of slow answers.
    slow_from: usize,
}

impl Classes {
    fn of(whole: &Sums) -> Self {
        let called: BTreeSet<CallClass> =
            whole.candidate.values().flat_map(|classes| classes.keys().copied()).collect();
        let kind = |class: CallClass| {
            let stable: Vec<&ClassOutcomes> =
                whole.stable.values().filter_map(|classes| classes.get(&class)).collect();
            let slow_from = usual_bin(&stable).map_or(TIME_BINS, |bin| bin + SLOW_BINS);
            Class { class, slow_from }
        };
        Classes { kinds: called.into_iter().map(kind).collect() }
    }

    /// The calls of each upstream, in the order of the classes.
    fn count<T: Ord>(
        &self,
        whole: &BTreeMap<T, UpstreamSums>,
        recent: &BTreeMap<T, UpstreamSums>,
    ) -> Vec<ClassCounts> {
        let of_upstream = |(teller, classes): (&T, &UpstreamSums)| {
            let lately = recent.get(teller);
            let of_class = |kind: &Class| {
                let since = kind.counts(lately);
                Periods { before: kind.counts(Some(classes)) - since, since }
            };
            self.kinds.iter().map(of_class).collect()
        };
        whole.iter().map(of_upstream).collect()
    }

    /// What the calls of one class show; of that with most bad answers beyond the usual if none is
    /// named. `None` if there were no calls.
    fn flaw(&self, candidate: &[ClassCounts], usual: &Usual, class: Option<usize>) -> Option<Flaw> {
        let usual_part = |place: usize| usual.rates[place].before.bad();
        let excess = |place: usize| {
            let counts = counts_of(candidate, place);
            counts.bad() - counts.ended() * usual_part(place)
        };
        let worst =
            || (0..self.kinds.len()).max_by(|left, right| excess(*left).total_cmp(&excess(*right)));
        let place = class.or_else(worst)?;
        let counts = counts_of(candidate, place);
        Some(Flaw {
            class: self.kinds[place].class,
            bad: counts.bad() as u32,
            ended: counts.ended() as u32,
            usual_part: usual_part(place),
        })
    }

    /// Bad answers of one class, or of all if none is named.
    fn bad(&self, candidate: &[ClassCounts], class: Option<usize>) -> f64 {
        let places = class.map_or(0..self.kinds.len(), |place| place..place + 1);
        places.map(|place| counts_of(candidate, place).bad()).sum()
    }
}

fn counts_of(candidate: &[ClassCounts], place: usize) -> Counts {
    let of_upstream = |classes: &ClassCounts| classes[place].before + classes[place].since;
    candidate.iter().map(of_upstream).fold(Counts::default(), |sum, counts| sum + counts)
}

impl Class {
    fn counts(&self, classes: Option<&UpstreamSums>) -> Counts {
        let outcomes = classes.and_then(|classes| classes.get(&self.class));
        outcomes.map_or(Counts::default(), |outcomes| Counts::of(outcomes, self.slow_from))
    }
}

/// The bin of the median of the times at the versions in use; `None` if there are none.
fn usual_bin(stable: &[&ClassOutcomes]) -> Option<usize> {
    let in_bin = |bin: usize| -> u32 {
        stable.iter().map(|one| one.answered.get(bin).copied().unwrap_or(0)).sum()
    };
    let all: u32 = (0..TIME_BINS).map(in_bin).sum();
    let mut below = 0;
    (0..TIME_BINS).find(|bin| {
        below += in_bin(*bin);
        all > 0 && below * 2 >= all
    })
}
