//! Which ends of upstreams speak against a request no more.
//!
//! Word of an end, of a quarantine that rests on it, and of its clearing comes in any order, late, and
//! again from nodes that have not heard of the clearing. So a clearing names what it ends: that word is
//! passed over, and word of later ends is not.

use crate::Millis;
use mesh::{Clearing, CrashId, Fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// How long a clearing that ended a quarantine is remembered, milliseconds: as long as the longest
/// quarantine and its probation, during which a node that was cut off may still tell of it.
const QUARANTINE_MEMORY_MS: u64 = 2 * 3_600_000;
/// How long a clearing of a suspect is remembered, milliseconds: as long as the end is.
const SUSPECT_MEMORY_MS: u64 = crate::CRASH_RETENTION_MS;
/// Most requests of which clearings are remembered; at some 60 bytes each on a link, 15 kB.
const MOST_CLEARED: usize = 256;

/// What one request was cleared of.
#[derive(Clone, Debug)]
struct Cleared {
    crashes: BTreeSet<CrashId>,
    /// When it was last cleared.
    at: Millis,
}

impl Cleared {
    fn is_old(&self, now: Millis) -> bool {
        let memory_ms = match self.crashes.len() {
            0 | 1 => SUSPECT_MEMORY_MS,
            _ => QUARANTINE_MEMORY_MS,
        };
        self.at + memory_ms <= now
    }
}

/// What requests were cleared of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clearings(BTreeMap<Fingerprint, Cleared>);

impl Clearings {
    /// Takes in a clearing; returns whether it names an end that was not known to be cleared.
    pub fn note(&mut self, clearing: &Clearing, at: Millis) -> bool {
        if clearing.crashes.is_empty() {
            return false;
        }
        let nothing = || Cleared { crashes: BTreeSet::new(), at };
        let cleared = self.0.entry(clearing.fingerprint).or_insert_with(nothing);
        let before = cleared.crashes.len();
        cleared.crashes.extend(&clearing.crashes);
        cleared.at = cleared.at.max(at);
        let news = cleared.crashes.len() > before;
        self.bound();
        news
    }

    fn bound(&mut self) {
        if self.0.len() <= MOST_CLEARED {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, cleared)| cleared.at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.0.remove(&fingerprint);
        }
    }

    /// Whether an end speaks against a request no more.
    pub fn hold(&self, fingerprint: Fingerprint, crash: CrashId) -> bool {
        self.0.get(&fingerprint).is_some_and(|cleared| cleared.crashes.contains(&crash))
    }

    /// Whether a request was cleared of anything.
    pub fn know(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// All of them, and when each was told.
    pub fn all(&self) -> impl Iterator<Item = (Millis, Clearing)> + '_ {
        self.0.iter().map(|(fingerprint, cleared)| {
            let crashes = cleared.crashes.iter().copied().collect();
            (cleared.at, Clearing { fingerprint: *fingerprint, crashes })
        })
    }

    /// Forgets what nobody tells of any more.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, cleared| !cleared.is_old(now));
    }
}
