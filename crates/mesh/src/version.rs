//! Versions of upstreams: which may be given calls, and what became of the calls they were given.

use speedy::{Readable, Writable};

/// Longest name of a version, bytes; in an order longer ones are refused, in a record they are cut.
pub const MAX_VERSION_BYTES: usize = 128;
/// All calls, in the unit of [`CandidateShare::permille`].
pub const WHOLE_PERMILLE: u16 = 1_000;
/// Bins of times; each two are a doubling, so the last begins at 46 s.
pub const TIME_BINS: usize = 32;
const BINS_PER_DOUBLING: f64 = 2.0;

/// How the upstreams of one version take part in their service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Track {
    /// They get the calls.
    Stable,
    /// They get the share of a canary.
    Candidate,
    /// They get none.
    Barred,
}

/// The version that a canary is under way for.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CandidateShare {
    /// The version.
    pub version: String,
    /// Names this canary; rises with each.
    pub run: u64,
    /// Calls of the service that go to it, in a thousand.
    pub permille: u16,
}

/// Which upstreams of a service may be given calls, by their version.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionPolicy {
    /// The service.
    pub service: String,
    /// The version of a canary under way.
    pub candidate: Option<CandidateShare>,
    /// Versions that were rejected, or replaced by the one that is in use.
    pub barred: Vec<String>,
}

impl VersionPolicy {
    /// How upstreams of a version take part. A version that nobody spoke of is an ordinary one: a
    /// new version comes with an order, which is known here before its first upstream.
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

/// Calls of one kind: those of one rank and target latency, mostly of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct CallClass {
    /// Rank of the route.
    pub rank: u32,
    /// Target latency of the route, milliseconds.
    pub target_ms: u32,
}

/// What became of the calls of one class at one upstream since a canary began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClassOutcomes {
    /// Calls that it failed.
    pub failed: u32,
    /// Calls that it answered, by [`time_bin`]; shorter if the last bins are empty.
    pub answered: Vec<u32>,
}

/// The bin of a time.
pub fn time_bin(milliseconds: u64) -> usize {
    let doublings = (milliseconds.max(1) as f64).log2();
    ((doublings * BINS_PER_DOUBLING) as usize).min(TIME_BINS - 1)
}

impl ClassOutcomes {
    /// Notes an answer that took so long.
    pub fn note_answered(&mut self, milliseconds: u64) {
        let bin = time_bin(milliseconds);
        if self.answered.len() <= bin {
            self.answered.resize(bin + 1, 0);
        }
        self.answered[bin] += 1;
    }

    /// Calls that ended.
    pub fn ended(&self) -> u32 {
        self.failed + self.answered.iter().sum::<u32>()
    }

    /// Answers in bins from this one on.
    pub fn answered_from(&self, bin: usize) -> u32 {
        self.answered.iter().skip(bin).sum()
    }
}

/// Outcomes of one class, as they are told.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClassEvidence {
    /// The class.
    pub class: CallClass,
    /// Its outcomes.
    pub outcomes: ClassOutcomes,
}

/// What one sidecar saw of its upstream since a canary began: running sums, so that one that is
/// lost or told twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionEvidence {
    /// The canary.
    pub run: u64,
    /// Service of the upstream.
    pub service: String,
    /// Version of the upstream.
    pub version: String,
    /// One for each class that it had calls of.
    pub classes: Vec<ClassEvidence>,
}
