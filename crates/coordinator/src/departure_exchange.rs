//! Exchange of departures between coordinators, without I/O.
//!
//! Each coordinator passes on what its own sidecars report, and tells everything to another one that
//! may have missed some of it or has just started.

use crate::departures::Departures;
use crate::exchange::Outgoing;
use crate::Millis;
use mesh::{CoordinatorFrame, MemberId};
use std::collections::BTreeSet;

/// State of one coordinator's exchange with the others.
#[derive(Debug)]
pub struct DepartureExchange {
    own: MemberId,
    sent_position: u64,
    /// Members that have told everything since this coordinator started.
    heard_whole: BTreeSet<MemberId>,
}

impl DepartureExchange {
    /// Creates the state before any exchange.
    pub fn new(own: MemberId) -> Self {
        DepartureExchange { own, sent_position: 0, heard_whole: BTreeSet::new() }
    }

    /// The frames that are due; `behind` are the members that may have missed earlier ones.
    pub fn due(
        &mut self,
        departures: &Departures,
        behind: &[MemberId],
        others: &[MemberId],
        now: Millis,
    ) -> Vec<Outgoing> {
        let mut frames = Vec::new();
        let new = departures.own_since(self.sent_position);
        self.sent_position = departures.position();
        let member = self.own.0;
        if !behind.is_empty() {
            let departures = departures.recent(now);
            let frame = CoordinatorFrame::Departures { member, whole: true, departures };
            frames.extend(behind.iter().map(|peer| (*peer, frame.clone())));
        }
        if !new.is_empty() {
            let frame = CoordinatorFrame::Departures { member, whole: false, departures: new };
            frames.extend(others.iter().map(|peer| (*peer, frame.clone())));
        }
        frames
    }

    /// Notes that a member has told everything that it knows.
    pub fn heard_whole(&mut self, member: MemberId) {
        self.heard_whole.insert(member);
    }

    /// Whether all other members have told what they know. A coordinator that knows of no member is not
    /// in the group yet.
    pub fn is_complete(&self, members: &[MemberId]) -> bool {
        let is_heard = |member: &MemberId| *member == self.own || self.heard_whole.contains(member);
        !members.is_empty() && members.iter().all(is_heard)
    }
}
