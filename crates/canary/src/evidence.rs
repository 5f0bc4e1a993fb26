//! Outcomes of the calls of a service by version, reported by the sidecars at its upstreams. Each
//! upstream receives calls only from its own sidecar, so the counts are exact.

use crate::Millis;
use mesh::{CallClass, ClassOutcomes, NodeAddress, VersionEvidence};
use std::collections::{BTreeMap, VecDeque};

/// Length of the recent period, milliseconds, which is also judged by itself because a version may
/// turn bad later: two dozen calls at a share of 1/40 of a few hundred calls per second.
const RECENT_MS: Millis = 3_000;
/// Maximum number of candidate reporters, and of stable ones, that are recorded.
const MAX_REPORTERS: usize = 8_192;
/// Maximum number of call classes accepted from one report.
const MAX_CLASSES: usize = 64;

/// Outcomes at one upstream, by class.
pub type UpstreamSums = BTreeMap<CallClass, ClassOutcomes>;

/// One process of the sidecar of an upstream: its address and boot id.
type Reporter = (NodeAddress, u64);

/// Reported outcomes at the upstreams of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    /// Upstreams of the new version.
    pub candidate: BTreeMap<Reporter, UpstreamSums>,
    /// Upstreams of all other versions.
    pub stable: BTreeMap<Reporter, UpstreamSums>,
}

impl Sums {
    /// Calls that ended at the new version.
    pub fn candidate_ended(&self) -> u32 {
        self.candidate.values().flat_map(BTreeMap::values).map(ClassOutcomes::ended).sum()
    }
}

#[derive(Clone, Debug)]
struct Snapshot {
    at: Millis,
    sums: Sums,
}

/// The evidence of one canary.
#[derive(Clone, Debug)]
pub struct Evidence {
    run: u64,
    version: String,
    sums: Sums,
    snapshots: VecDeque<Snapshot>,
}

impl Evidence {
    /// Creates empty evidence for the canary with number `run` of a version.
    pub fn new(run: u64, version: &str) -> Self {
        Evidence {
            run,
            version: version.to_owned(),
            sums: Sums::default(),
            snapshots: VecDeque::new(),
        }
    }

    /// Number of the canary.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Records a report of a sidecar process. Reports of other canaries, and ones older than what is
    /// already recorded, are ignored.
    pub fn record(&mut self, from: NodeAddress, boot_id: u64, report: &VersionEvidence) {
        if report.run != self.run {
            return;
        }
        let of_candidate = report.version == self.version;
        let upstreams = if of_candidate { &mut self.sums.candidate } else { &mut self.sums.stable };
        let reporter = (from, boot_id);
        if upstreams.len() >= MAX_REPORTERS && !upstreams.contains_key(&reporter) {
            return;
        }
        let classes = upstreams.entry(reporter).or_default();
        for evidence in report.classes.iter().take(MAX_CLASSES) {
            let known = classes.entry(evidence.class).or_default();
            if evidence.outcomes.ended() > known.ended() {
                *known = evidence.outcomes.clone();
            }
        }
    }

    /// Takes a snapshot of the sums, by which the recent period is separated from the earlier one.
    pub fn take_snapshot(&mut self, now: Millis) {
        self.snapshots.push_back(Snapshot { at: now, sums: self.sums.clone() });
        while self.snapshots.get(1).is_some_and(|second| second.at + RECENT_MS <= now) {
            self.snapshots.pop_front();
        }
    }

    /// All recorded outcomes.
    pub fn whole(&self) -> &Sums {
        &self.sums
    }

    /// Outcomes recorded in the recent period.
    pub fn recent(&self) -> Sums {
        let Some(snapshot) = self.snapshots.front() else {
            return self.sums.clone();
        };
        Sums {
            candidate: recorded_since(&self.sums.candidate, &snapshot.sums.candidate),
            stable: recorded_since(&self.sums.stable, &snapshot.sums.stable),
        }
    }
}

fn recorded_since(
    newer: &BTreeMap<Reporter, UpstreamSums>,
    older: &BTreeMap<Reporter, UpstreamSums>,
) -> BTreeMap<Reporter, UpstreamSums> {
    let none = ClassOutcomes::default();
    let of_upstream = |(reporter, classes): (&Reporter, &UpstreamSums)| {
        let before = older.get(reporter);
        let of_class = |(class, outcomes): (&CallClass, &ClassOutcomes)| {
            let previous = before.and_then(|before| before.get(class)).unwrap_or(&none);
            (*class, difference(outcomes, previous))
        };
        (*reporter, classes.iter().map(of_class).collect())
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
