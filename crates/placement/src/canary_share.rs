//! Selection of the calls that go to a canary.

use mesh::{CandidateShare, Track, WHOLE_PERMILLE};
use std::collections::BTreeMap;

/// Per-service credits of one node, which make the share exact over any run of calls. Nodes start
/// with random credits, so that the fleet-wide share is close to exact as well.
#[derive(Clone, Debug, Default)]
pub struct CanaryShares {
    credits: BTreeMap<String, u16>,
}

impl CanaryShares {
    /// Picks the track of the next call of a service with this canary.
    pub fn draw(
        &mut self,
        service: &str,
        share: &CandidateShare,
        random: &mut fastrand::Rng,
    ) -> Track {
        if share.permille >= WHOLE_PERMILLE {
            return Track::Stable;
        }
        if !self.credits.contains_key(service) {
            self.credits.insert(service.to_owned(), random.u16(0..WHOLE_PERMILLE));
        }
        let credit = self.credits.get_mut(service).expect("inserted above");
        *credit += share.permille;
        if *credit < WHOLE_PERMILLE {
            return Track::Stable;
        }
        *credit -= WHOLE_PERMILLE;
        Track::Candidate
    }
}
