//! Compares a new version with the ones in use, by the outcomes of all calls.
//!
//! A bad version is bad at all of its upstreams. Faults, such as a failing upstream or a slow machine,
//! affect some upstreams of either version. Calls that fail because of a nested call or an overload
//! fail with both versions alike.

use crate::evidence::{Sums, UpstreamSums};
use crate::health::Periods;
use crate::likelihood::{likelihood_ratio, LikelihoodRatio};
use crate::outcomes::Counts;
use crate::usual::{Baseline, ClassCounts};
use mesh::{CallClass, ClassOutcomes, TIME_BINS};
use std::collections::{BTreeMap, BTreeSet};

/// Number of bins above the median one from which answers count as slow: four halves of a doubling,
/// less up to one depending on where in its bin the median lies, so three to four times as long.
const SLOW_BINS: usize = 4;
/// Minimum number of bad outcomes for a verdict that the version is bad.
const MIN_BAD: f64 = 5.0;
/// Likelihood ratio of a flaw from which a version is bad; a sound one exceeds it in at most one of
/// this many runs.
const BAD_RATIO: f64 = 5_000.0;
/// Likelihood ratio from which it is doubtful.
const DOUBTFUL_RATIO: f64 = 100.0;
/// Likelihood ratio below which it is sound.
const SOUND_RATIO: f64 = 1.0;

/// A flaw of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flaw {
    /// The class of calls that show it.
    pub class: CallClass,
    /// Calls of that class that failed or took several times as long as with the versions in use.
    pub bad: u32,
    /// Calls of that class that ended at the candidate.
    pub ended: u32,
    /// Fraction of such calls that are bad with the versions in use, from 0 to 1.
    pub usual_part: f64,
}

/// The verdict on a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There is no evidence against the version.
    Sound,
    /// There is no evidence, or it fits a sound version as well as a bad one.
    Unclear,
    /// A flaw is likelier than none.
    Doubtful(Flaw),
    /// It is worse than the versions in use.
    Bad(Flaw),
}

/// A judgement, and how strong the evidence is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// The verdict.
    pub verdict: Verdict,
    /// Likelihood ratio of the calls with a flaw to those without.
    pub ratio: f64,
}

/// Judges the new version by all outcomes, and by those of the recent period among them.
pub fn judge(whole: &Sums, recent: &Sums) -> Judgement {
    let classes = Classes::of(whole);
    let stable = classes.counts(&whole.stable, &recent.stable);
    let candidate = classes.counts(&whole.candidate, &recent.candidate);
    let baseline = Baseline::estimate(&stable, classes.judged.len());
    let LikelihoodRatio { value, class } =
        likelihood_ratio(&candidate, &baseline, classes.judged.len());
    let enough = classes.bad(&candidate, class) >= MIN_BAD;
    let verdict = match classes.flaw(&candidate, &baseline, class) {
        Some(flaw) if value >= BAD_RATIO && enough => Verdict::Bad(flaw),
        Some(flaw) if value >= DOUBTFUL_RATIO => Verdict::Doubtful(flaw),
        Some(_) if value < SOUND_RATIO => Verdict::Sound,
        _ => Verdict::Unclear,
    };
    Judgement { verdict, ratio: value }
}

/// The classes of calls that the new version received.
struct Classes {
    judged: Vec<JudgedClass>,
}

struct JudgedClass {
    class: CallClass,
    /// First latency bin of slow answers.
    first_slow_bin: usize,
}

impl Classes {
    fn of(whole: &Sums) -> Self {
        let received: BTreeSet<CallClass> =
            whole.candidate.values().flat_map(|classes| classes.keys().copied()).collect();
        let with_threshold = |class: CallClass| {
            let stable: Vec<&ClassOutcomes> =
                whole.stable.values().filter_map(|classes| classes.get(&class)).collect();
            let first_slow_bin = median_bin(&stable).map_or(TIME_BINS, |bin| bin + SLOW_BINS);
            JudgedClass { class, first_slow_bin }
        };
        Classes { judged: received.into_iter().map(with_threshold).collect() }
    }

    /// The calls of each upstream, in the order of the classes.
    fn counts<T: Ord>(
        &self,
        whole: &BTreeMap<T, UpstreamSums>,
        recent: &BTreeMap<T, UpstreamSums>,
    ) -> Vec<ClassCounts> {
        let of_upstream = |(reporter, classes): (&T, &UpstreamSums)| {
            let recent_classes = recent.get(reporter);
            let of_class = |class: &JudgedClass| {
                let recent = class.counts(recent_classes);
                Periods { earlier: class.counts(Some(classes)) - recent, recent }
            };
            self.judged.iter().map(of_class).collect()
        };
        whole.iter().map(of_upstream).collect()
    }

    /// The flaw shown by the calls of one class, or if none is given, of the class with the largest
    /// excess of bad outcomes over the baseline. `None` if there were no calls.
    fn flaw(
        &self,
        candidate: &[ClassCounts],
        baseline: &Baseline,
        class: Option<usize>,
    ) -> Option<Flaw> {
        let usual_part = |index: usize| baseline.rates[index].earlier.bad();
        let excess = |index: usize| {
            let counts = counts_of(candidate, index);
            counts.bad() - counts.ended() * usual_part(index)
        };
        let worst = || {
            (0..self.judged.len()).max_by(|left, right| excess(*left).total_cmp(&excess(*right)))
        };
        let index = class.or_else(worst)?;
        let counts = counts_of(candidate, index);
        Some(Flaw {
            class: self.judged[index].class,
            bad: counts.bad() as u32,
            ended: counts.ended() as u32,
            usual_part: usual_part(index),
        })
    }

    /// Bad outcomes of one class, or of all classes if none is given.
    fn bad(&self, candidate: &[ClassCounts], class: Option<usize>) -> f64 {
        let indexes = class.map_or(0..self.judged.len(), |index| index..index + 1);
        indexes.map(|index| counts_of(candidate, index).bad()).sum()
    }
}

fn counts_of(candidate: &[ClassCounts], index: usize) -> Counts {
    let of_upstream = |classes: &ClassCounts| classes[index].earlier + classes[index].recent;
    candidate.iter().map(of_upstream).fold(Counts::default(), |sum, counts| sum + counts)
}

impl JudgedClass {
    fn counts(&self, classes: Option<&UpstreamSums>) -> Counts {
        let outcomes = classes.and_then(|classes| classes.get(&self.class));
        outcomes.map_or(Counts::default(), |outcomes| Counts::of(outcomes, self.first_slow_bin))
    }
}

/// Latency bin of the median answer of the versions in use; `None` if there were none.
fn median_bin(stable: &[&ClassOutcomes]) -> Option<usize> {
    let in_bin = |bin: usize| -> u32 {
        stable.iter().map(|one| one.answered.get(bin).copied().unwrap_or(0)).sum()
    };
    let total: u32 = (0..TIME_BINS).map(in_bin).sum();
    let mut up_to_bin = 0;
    (0..TIME_BINS).find(|bin| {
        up_to_bin += in_bin(*bin);
        total > 0 && up_to_bin * 2 >= total
    })
}
