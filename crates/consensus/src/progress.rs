//! Replication progress of one peer as tracked by the leader: how far the peer's log matches, and
//! what is in flight.

use crate::Index;

/// How the leader sends entries to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// One append at a time, until the last matching index is known.
    Probe,
    /// Appends are pipelined without waiting for acknowledgements.
    Replicate,
    /// The snapshot at `index` is being sent; `offset` bytes of it are acknowledged.
    Snapshot {
        /// Index of the snapshot.
        index: Index,
        /// Offset of the next byte to send.
        offset: u64,
    },
}

/// Replication state of one peer.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest index up to which the peer's log is known to match the leader's.
    pub match_index: Index,
    /// Index of the next entry to send.
    pub next_index: Index,
    /// How entries are sent.
    pub mode: Mode,
    /// Highest heartbeat round acknowledged (section 6.4).
    pub acked_round: u64,
    /// Whether the peer has replied since the last quorum check (section 6.2).
    pub recently_active: bool,
    /// Whether the peer had replied between the two quorum checks before.
    pub previously_active: bool,
    /// Whether a probe was sent that is not yet replied to.
    pub probe_in_flight: bool,
}

impl Progress {
    /// Progress of a peer that has not replied yet.
    pub fn new(next_index: Index) -> Self {
        Progress {
            match_index: 0,
            next_index,
            mode: Mode::Probe,
            acked_round: 0,
            recently_active: true,
            previously_active: true,
            probe_in_flight: false,
        }
    }

    /// Records that the peer replied to a message of heartbeat round `round`.
    pub fn record_reply(&mut self, round: u64) {
        self.recently_active = true;
        self.probe_in_flight = false;
        self.acked_round = self.acked_round.max(round);
    }

    /// Starts the time until the next quorum check.
    pub fn start_activity_period(&mut self) {
        self.previously_active = self.recently_active;
        self.recently_active = false;
    }

    /// Whether the peer has replied within the last one or two election timeouts. A new leader takes that
    /// for granted of all peers at first.
    pub fn is_live(&self) -> bool {
        self.recently_active || self.previously_active
    }

    /// Records that the peer accepted entries up to `index`.
    pub fn record_accepted(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let finished_snapshot =
            matches!(self.mode, Mode::Snapshot { index: sent, .. } if self.match_index >= sent);
        if self.mode == Mode::Probe || finished_snapshot {
            self.mode = Mode::Replicate;
        }
    }

    /// Records a rejected append; the peer's log can match at `hint` or before it, not after it.
    /// Ignored while a snapshot is being sent.
    pub fn record_rejected(&mut self, hint: Index) {
        if matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.mode = Mode::Probe;
        self.next_index = (hint + 1).max(self.match_index + 1).min(self.next_index);
    }
}
