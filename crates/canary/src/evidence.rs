//! What every call showed of the versions of a service, gathered from the sidecars beside its
//! upstreams: each is the only sender to one upstream, so its counts are exact.

use crate::Millis;
use mesh::{CallClass, ClassOutcomes, NodeAddress, VersionEvidence};
use std::collections::{BTreeMap, VecDeque};

/// Length of the recent past that is also judged by itself, since a version may turn bad later,
/// milliseconds: at a fortieth of some hundred calls a second, two dozen calls.
const WINDOW_MS: Millis = 3_000;
/// Upstream lives remembered of one canary.
const MOST_UPSTREAMS: usize = 8_192;
/// Call classes remembered of one upstream.
const MOST_CLASSES: usize = 64;

/// Outcomes at one upstream, by class.
pub type UpstreamSums = BTreeMap<CallClass, ClassOutcomes>;

/// One life of the sidecar beside an upstream.
type Teller = (NodeAddress, u64);

/// What was told of the upstreams of one canary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    /// Upstreams of the new version.
    pub candidate: BTreeMap<Teller, UpstreamSums>,
    /// All others.
    pub stable: BTreeMap<Teller, UpstreamSums>,
}

impl Sums {
    /// Calls that ended at the new version.
    pub fn candidate_ended(&self) -> u32 {
        self.candidate.values().flat_map(BTreeMap::values).map(ClassOutcomes::ended).sum()
    }
}

#[derive(Clone, Debug)]
struct Mark {
    at: Millis,
    sums: Sums,
}

/// The evidence of one canary.
#[derive(Clone, Debug)]
pub struct Evidence {
    run: u64,
    version: String,
    sums: Sums,
    marks: VecDeque<Mark>,
}

impl Evidence {
    /// Nothing is known yet of the canary `run` for a version.
    pub fn new(run: u64, version: &str) -> Self {
        Evidence { run, version: version.to_owned(), sums: Sums::default(), marks: VecDeque::new() }
    }

    /// Which canary it is about.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Takes in what one life of a sidecar told. What is of another canary, or older than what is
    /// held, changes nothing.
    pub fn record(&mut self, from: NodeAddress, life: u64, told: &VersionEvidence) {
        if told.run != self.run {
            return;
        }
        let of_candidate = told.version == self.version;
        let side = if of_candidate { &mut self.sums.candidate } else { &mut self.sums.stable };
        let teller = (from, life);
        if side.len() >= MOST_UPSTREAMS && !side.contains_key(&teller) {
            return;
        }
        let held = side.entry(teller).or_default();
        for evidence in told.classes.iter().take(MOST_CLASSES) {
            let known = held.entry(evidence.class).or_default();
            if evidence.outcomes.ended() > known.ended() {
                *known = evidence.outcomes.clone();
            }
        }
    }

    /// Remembers what is held now, so that the recent past can be told from what was before.
    pub fn take_snapshot(&mut self, now: Millis) {
        self.marks.push_back(Mark { at: now, sums: self.sums.clone() });
        while self.marks.get(1).is_some_and(|second| second.at + WINDOW_MS <= now) {
            self.marks.pop_front();
        }
    }

    /// All that was told.
    pub fn whole(&self) -> &Sums {
        &self.sums
    }

    /// What was told of the recent past.
    pub fn recent(&self) -> Sums {
        let Some(mark) = self.marks.front() else {
            return self.sums.clone();
        };
        Sums {
            candidate: since(&self.sums.candidate, &mark.sums.candidate),
            stable: since(&self.sums.stable, &mark.sums.stable),
        }
    }
}

fn since(
    newer: &BTreeMap<Teller, UpstreamSums>,
    older: &BTreeMap<Teller, UpstreamSums>,
) -> BTreeMap<Teller, UpstreamSums> {
    let nothing = ClassOutcomes::default();
    let of_upstream = |(teller, classes): (&Teller, &UpstreamSums)| {
        let before = older.get(teller);
        let of_class = |(class, outcomes): (&CallClass, &ClassOutcomes)| {
            let former = before.and_then(|before| before.get(class)).unwrap_or(&nothing);
            (*class, difference(outcomes, former))
        };
        (*teller, classes.iter().map(of_class).collect())
    };
    newer.iter().map(of_upstream).collect()
}

fn difference(newer: &ClassOutcomes, older: &ClassOutcomes) -> ClassOutcomes {
    let before = |bin: usize| older.answered.get(bin).copied().unwrap_or(0);
    let bins = newer.answered.iter().enumerate();
    ClassOutcomes {
        failed: newer.failed.saturating_sub(older.failed),
        answered: bins.map(|(bin, count)| count.saturating_sub(before(bin))).collect(),
    }
}
