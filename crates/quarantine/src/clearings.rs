//! Remembers of which upstream crashes a request was cleared.
//!
//! Notices of a crash, of a quarantine based on it, and of the clearing can arrive late, in any order,
//! and again from nodes that have not learned of the clearing. So a clearing lists the crashes it
//! covers: notices of those are ignored, and notices of later crashes are not.

use crate::Millis;
use mesh::{Clearing, CrashId, Fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// How long a clearing that ended a quarantine is remembered, milliseconds: the longest quarantine plus
/// its probation, during which a node that was partitioned may still report the quarantine.
const QUARANTINE_RETENTION_MS: u64 = 2 * 3_600_000;
/// How long the clearing of a suspect is remembered, milliseconds: as long as the crash.
const SUSPECT_RETENTION_MS: u64 = crate::CRASH_RETENTION_MS;
/// Maximum number of requests whose clearings are remembered; at about 60 bytes each on the network,
/// 15 kB.
const MAX_CLEARED: usize = 256;

/// Clearing of one request.
#[derive(Clone, Debug)]
struct Cleared {
    crashes: BTreeSet<CrashId>,
    /// Time of the most recent clearing.
    at: Millis,
}

impl Cleared {
    fn is_expired(&self, now: Millis) -> bool {
        let retention_ms = match self.crashes.len() {
            0 | 1 => SUSPECT_RETENTION_MS,
            _ => QUARANTINE_RETENTION_MS,
        };
        self.at + retention_ms <= now
    }
}

/// Clearings by request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clearings(BTreeMap<Fingerprint, Cleared>);

impl Clearings {
    /// Records a clearing; returns whether it lists a crash that was not known to be cleared.
    pub fn note(&mut self, clearing: &Clearing, at: Millis) -> bool {
        if clearing.crashes.is_empty() {
            return false;
        }
        let empty = || Cleared { crashes: BTreeSet::new(), at };
        let cleared = self.0.entry(clearing.fingerprint).or_insert_with(empty);
        let before = cleared.crashes.len();
        cleared.crashes.extend(&clearing.crashes);
        cleared.at = cleared.at.max(at);
        let is_new = cleared.crashes.len() > before;
        self.evict_oldest();
        is_new
    }

    fn evict_oldest(&mut self) {
        if self.0.len() <= MAX_CLEARED {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, cleared)| cleared.at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.0.remove(&fingerprint);
        }
    }

    /// Whether a request was cleared of this crash.
    pub fn covers(&self, fingerprint: Fingerprint, crash: CrashId) -> bool {
        self.0.get(&fingerprint).is_some_and(|cleared| cleared.crashes.contains(&crash))
    }

    /// Whether a request was cleared of any crash.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Returns all clearings with their times.
    pub fn all(&self) -> impl Iterator<Item = (Millis, Clearing)> + '_ {
        self.0.iter().map(|(fingerprint, cleared)| {
            let crashes = cleared.crashes.iter().copied().collect();
            (cleared.at, Clearing { fingerprint: *fingerprint, crashes })
        })
    }

    /// Drops clearings of crashes that no node reports any more.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, cleared| !cleared.is_expired(now));
    }
}
