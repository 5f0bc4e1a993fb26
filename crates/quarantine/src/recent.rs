//! Requests that ran well a moment ago, which speaks for them when an upstream ends.

use crate::Millis;
use mesh::Fingerprint;
use std::collections::{BTreeMap, VecDeque};

/// How long a good run speaks for a request, milliseconds. Without it, a rack that fails would put
/// the one path that all callers ask for in quarantine; much longer, and a request that became
/// poison by a change of data would be trusted for as long.
const TRUSTED_MS: u64 = 5_000;
/// Most runs remembered; at 280 calls a second of one upstream, those of two seconds.
const MOST_RUNS: usize = 512;

/// The newest good runs of one node's upstream.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    newest: BTreeMap<Fingerprint, Millis>,
    order: VecDeque<(Fingerprint, Millis)>,
}

impl RecentSuccesses {
    /// Takes in a good run.
    pub fn note(&mut self, fingerprint: Fingerprint, now: Millis) {
        self.newest.insert(fingerprint, now);
        self.order.push_back((fingerprint, now));
        if self.order.len() > MOST_RUNS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((fingerprint, at)) = self.order.pop_front() else {
            return;
        };
        if self.newest.get(&fingerprint) == Some(&at) {
            self.newest.remove(&fingerprint);
        }
    }

    /// Whether a request ran well a moment ago.
    pub fn contains(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.newest.get(&fingerprint).is_some_and(|at| now < at + TRUSTED_MS)
    }
}
