//! When a sidecar was heard on its link.

use crate::Millis;

/// Longest time in which the frames arrive that a cut held up, milliseconds: a round trip between
/// regions, and the time between two retransmissions.
const BURST_MS: Millis = 250;

/// Two moments at which a frame arrived on one link, a burst apart or more.
///
/// What a cut held up arrives at once after it, the end of the connection included, and a reset may
/// overtake it. The moment before such a burst is the last certain contact.
#[derive(Clone, Copy, Debug)]
pub struct Contacts {
    latest: Millis,
    previous: Millis,
}

impl Contacts {
    /// The contacts of a link whose first frame arrived now.
    pub fn first(now: Millis) -> Self {
        Contacts { latest: now, previous: now }
    }

    /// Notes that a frame arrived.
    pub fn note(&mut self, now: Millis) {
        if now >= self.latest + BURST_MS {
            self.previous = self.latest;
            self.latest = now;
        }
    }

    /// The last moment before which all that was sent on the link has arrived, if its connection ends
    /// now.
    pub fn last_before(&self, now: Millis) -> Millis {
        match now >= self.latest + BURST_MS {
            true => self.latest,
            false => self.previous,
        }
    }
}
