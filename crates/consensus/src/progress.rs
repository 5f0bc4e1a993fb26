//! What a leader knows of one peer: how far its log matches and what is in flight.

use crate::Index;

/// How the leader sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// One append at a time until the match point is known.
    Probe,
    /// Appends are sent ahead of acknowledgements.
    Replicate,
    /// A snapshot at `index` is being sent; `offset` bytes were acknowledged.
    Snapshot {
        /// Snapshot's index.
        index: Index,
        /// Next byte to send.
        offset: u64,
    },
}

/// Replication state of one peer.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest index known to equal the leader's.
    pub match_index: Index,
    /// Next index to send.
    pub next_index: Index,
    /// Sending mode.
    pub mode: Mode,
    /// Highest heartbeat round acknowledged (section 6.4).
    pub acked_round: u64,
    /// Whether the peer answered since the last quorum check (section 6.2).
    pub recently_active: bool,
    /// Whether a probe was sent and not answered.
    pub probe_in_flight: bool,
}

impl Progress {
    /// A peer of which nothing is known yet.
    pub fn new(next_index: Index) -> Self {
        Progress {
            match_index: 0,
            next_index,
            mode: Mode::Probe,
            acked_round: 0,
            recently_active: true,
            probe_in_flight: false,
        }
    }

    /// Records that the peer answered a message of heartbeat round `round`.
    pub fn record_reply(&mut self, round: u64) {
        self.recently_active = true;
        self.probe_in_flight = false;
        self.acked_round = self.acked_round.max(round);
    }

    /// Records an acceptance up to `index`.
    pub fn record_accepted(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let finished_snapshot =
            matches!(self.mode, Mode::Snapshot { index: sent, .. } if self.match_index >= sent);
        if self.mode == Mode::Probe || finished_snapshot {
            self.mode = Mode::Replicate;
        }
    }

    /// Records a rejection: the peer's log ends at or before `hint`.
    pub fn record_rejected(&mut self, hint: Index) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.mode = Mode::Probe;
        self.next_index = (hint + 1).max(self.match_index + 1).min(self.next_index);
    }
}
