//! Judging a version against the ones in use, on what every call showed.
//!
//! A bad version is bad wherever it runs. What faults do (an upstream that fails, a slow machine,
//! a lossy zone) hits some upstreams, of either version; so the worst upstreams of the candidate are
//! left out, and what fails for want of a call within the call, or in an overload, fails with the
//! other version alike.

use crate::evidence::{Sums, UpstreamSums};
use mesh::{CallClass, ClassOutcomes, TIME_BINS};
use std::collections::{BTreeMap, BTreeSet};

/// Bins by which an answer is beyond the usual to count as slow: four halves of a doubling and one
/// for where in its bin the usual time lies, so three to four times as long.
const SLOW_BINS: usize = 4;
/// Fewest bad answers that are believed.
const LEAST_BAD: u32 = 5;
/// How much larger the part of bad answers must be than that of the versions in use.
const LEAST_EXCESS: f64 = 0.07;
/// The same, as a multiple of what chance makes of so few calls; exceeded once in about two
/// thousand looks.
const LEAST_DEVIATIONS: f64 = 3.3;
/// Part of the candidate's upstreams, the worst ones, that is left out: faults were drawn for up to a
/// fifth in the model. What hits more, hits those in use as well, which are what it is compared with.
const LEFT_OUT: f64 = 0.25;
/// Fewest upstreams with bad answers among those that are left, if there are so many.
const LEAST_UPSTREAMS: usize = 3;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flaw {
    /// The calls that show it.
    pub class: CallClass,
    /// Of them, those that failed or took several times as long as with the versions in use.
    pub bad: u32,
    /// Calls of that class at the candidate, without its worst upstreams.
    pub ended: u32,
    /// Part of such calls that is bad with the versions in use, 0 to 1.
    pub usual_part: f64,
}

/// A judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against the version.
    Sound,
    /// It is worse than the versions in use.
    Bad(Flaw),
}

/// Judges the candidate.
pub fn compare(sums: &Sums) -> Verdict {
    let classes: BTreeSet<CallClass> =
        sums.candidate.values().flat_map(|classes| classes.keys().copied()).collect();
    let flaw = classes.into_iter().find_map(|class| flaw_of(sums, class));
    flaw.map_or(Verdict::Sound, Verdict::Bad)
}

fn flaw_of(sums: &Sums, class: CallClass) -> Option<Flaw> {
    let of = |upstreams: &BTreeMap<_, UpstreamSums>| -> Vec<ClassOutcomes> {
        upstreams.values().filter_map(|classes| classes.get(&class).cloned()).collect()
    };
    let (candidate, stable) = (of(&sums.candidate), of(&sums.stable));
    let slow_from = usual_bin(&stable).map_or(TIME_BINS, |bin| bin + SLOW_BINS);
    let mut counts: Vec<Counts> = candidate.iter().map(|one| Counts::of(one, slow_from)).collect();
    counts.retain(|counts| counts.ended > 0);
    counts.sort_by_key(|counts| std::cmp::Reverse(counts.bad));
    let left_out = (counts.len() as f64 * LEFT_OUT) as usize;
    let left = &counts[left_out..];
    let total = left.iter().copied().fold(Counts::default(), Counts::plus);
    let with_bad = left.iter().filter(|counts| counts.bad > 0).count();
    let usual = stable.iter().map(|one| Counts::of(one, slow_from));
    let usual = usual.fold(Counts::default(), Counts::plus);
    let usual_part = f64::from(usual.bad + 1) / f64::from(usual.ended + 2).max(1.0);
    let spread = with_bad >= LEAST_UPSTREAMS.min(left.len());
    let bad = spread && total.is_beyond(usual_part);
    bad.then_some(Flaw { class, bad: total.bad, ended: total.ended, usual_part })
}

/// The bin of the median of the times at the versions in use; `None` if there are none.
fn usual_bin(stable: &[ClassOutcomes]) -> Option<usize> {
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

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    bad: u32,
    ended: u32,
}

impl Counts {
    fn of(outcomes: &ClassOutcomes, slow_from: usize) -> Self {
        Counts { bad: outcomes.failed + outcomes.answered_from(slow_from), ended: outcomes.ended() }
    }

    fn plus(self, other: Self) -> Self {
        Counts { bad: self.bad + other.bad, ended: self.ended + other.ended }
    }

    fn is_beyond(self, usual_part: f64) -> bool {
        if self.bad < LEAST_BAD {
            return false;
        }
        let ended = f64::from(self.ended);
        let excess = f64::from(self.bad) / ended - usual_part;
        let deviation = (usual_part * (1.0 - usual_part) / ended).sqrt();
        excess >= LEAST_EXCESS && excess >= deviation * LEAST_DEVIATIONS
    }
}
