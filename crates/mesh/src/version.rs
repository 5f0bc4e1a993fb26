//! Versions of upstreams: which of them may receive calls, and the outcomes of the calls they
//! received.

use speedy::{Readable, Writable};

/// Maximum length of a version name, bytes; longer ones are rejected in a canary order and
/// truncated in a record.
pub const MAX_VERSION_BYTES: usize = 128;
/// The share of all calls, in the unit of [`CandidateShare::permille`].
pub const WHOLE_PERMILLE: u16 = 1_000;
/// Number of latency bins; two bins span a doubling, so the last one starts at 46 s.
pub const TIME_BINS: usize = 32;
const BINS_PER_DOUBLING: f64 = 2.0;

/// Role of the upstreams of one version in their service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Track {
    /// They receive the regular calls.
    Stable,
    /// They receive the share of calls of a canary.
    Candidate,
    /// They receive no calls.
    Barred,
}

/// The candidate version of a running canary.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CandidateShare {
    /// The version.
    pub version: String,
    /// Number of this canary; increases with each canary.
    pub run: u64,
    /// Share of the service's calls that it receives, per mille.
    pub permille: u16,
}

/// Which upstreams of a service may receive calls, by their version.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionPolicy {
    /// The service.
    pub service: String,
    /// The candidate of the running canary, if any.
    pub candidate: Option<CandidateShare>,
    /// Versions that were rejected or replaced by the current one.
    pub barred: Vec<String>,
}

impl VersionPolicy {
    /// Role of a version's upstreams. A version that is not mentioned is stable: a new version
    /// requires a canary order, which is received here before the version's first upstream.
    pub fn track(&self, version: &str) -> Track {
        let candidate = self.candidate.as_ref();
        let whole = candidate.is_some_and(|candidate| candidate.permille >= WHOLE_PERMILLE);
        let is_candidate = candidate.is_some_and(|candidate| candidate.version == version);
        if is_candidate {
            return if whole { Track::Stable } else { Track::Candidate };
        }
        let barred = self.barred.iter().any(|barred| barred == version);
        if barred || whole {
            Track::Barred
        } else {
            Track::Stable
        }
    }
}

/// A class of calls: those with the same rank and target latency, usually of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CallClass {
    /// Rank of the route.
    pub rank: u32,
    /// Target latency of the route, milliseconds.
    pub target_ms: u32,
}

/// Outcomes of the calls of one class at one upstream since a canary began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClassOutcomes {
    /// Failed calls.
    pub failed: u32,
    /// Answered calls by [`time_bin`]; trailing empty bins are omitted.
    pub answered: Vec<u32>,
}

/// Latency bin of a duration.
pub fn time_bin(milliseconds: u64) -> usize {
    let doublings = (milliseconds.max(1) as f64).log2();
    ((doublings * BINS_PER_DOUBLING) as usize).min(TIME_BINS - 1)
}

impl ClassOutcomes {
    /// Records a call that was answered after a number of milliseconds.
    pub fn note_answered(&mut self, milliseconds: u64) {
        let bin = time_bin(milliseconds);
        if self.answered.len() <= bin {
            self.answered.resize(bin + 1, 0);
        }
        self.answered[bin] += 1;
    }

    /// Number of calls that ended.
    pub fn ended(&self) -> u32 {
        self.failed + self.answered.iter().sum::<u32>()
    }

    /// Number of answered calls in `bin` and all later bins.
    pub fn answered_from(&self, bin: usize) -> u32 {
        self.answered.iter().skip(bin).sum()
    }
}

/// Outcomes of one class, as reported to coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClassEvidence {
    /// The class.
    pub class: CallClass,
    /// Its outcomes.
    pub outcomes: ClassOutcomes,
}

/// Outcomes that one sidecar recorded at its upstream since a canary began. They are cumulative, so
/// lost or duplicate messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionEvidence {
    /// The canary.
    pub run: u64,
    /// Service of the upstream.
    pub service: String,
    /// Version of the upstream.
    pub version: String,
    /// One entry for each class of which it received calls.
    pub classes: Vec<ClassEvidence>,
}
