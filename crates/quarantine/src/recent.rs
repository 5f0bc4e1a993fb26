//! Recently successful requests, which are not suspected when an upstream crashes.

use crate::Millis;
use mesh::Fingerprint;
use std::collections::{BTreeMap, VecDeque};

/// How long a request is trusted after a success, milliseconds. Without this, a rack failure would
/// quarantine a path that all callers request. If it were much longer, a request that became poison
/// through a change of data would be trusted for that long.
const TRUSTED_MS: u64 = 5_000;
/// Maximum number of remembered successes; at 280 calls per second for one upstream, those of two
/// seconds.
const MAX_SUCCESSES: usize = 512;

/// Recent successes at the upstream of one node.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    newest: BTreeMap<Fingerprint, Millis>,
    order: VecDeque<(Fingerprint, Millis)>,
}

impl RecentSuccesses {
    /// Records a success.
    pub fn note(&mut self, fingerprint: Fingerprint, now: Millis) {
        self.newest.insert(fingerprint, now);
        self.order.push_back((fingerprint, now));
        if self.order.len() > MAX_SUCCESSES {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((fingerprint, at)) = self.order.pop_front() else {
            return;
        };
        if self.newest.get(&fingerprint) == Some(&at) {
            self.newest.remove(&fingerprint);
        }
    }

    /// Whether a request succeeded recently.
    pub fn contains(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.newest.get(&fingerprint).is_some_and(|at| now < at + TRUSTED_MS)
    }
}
