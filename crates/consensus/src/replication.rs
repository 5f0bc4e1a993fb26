//! Log replication, commit index and snapshot transfer (sections 3.5, 3.6 and 5).

use crate::progress::{Mode, Progress};
use crate::raft::{Raft, Role, Weakness};
use crate::{AppendResult, Body, Entry, Index, NodeId, Snapshot, SnapshotMeta};

/// Maximum number of entries in an append message.
const MAX_APPEND_ENTRIES: usize = 256;
/// Maximum size of the entries in an append message, in bytes.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Maximum number of entries sent to a peer without acknowledgement.
const MAX_IN_FLIGHT_ENTRIES: u64 = 1024;
/// Size of a snapshot chunk, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

impl Raft {
    fn peer_ids(&self) -> Vec<NodeId> {
        self.peers().map(|peers| peers.keys().copied().collect()).unwrap_or_default()
    }

    pub(crate) fn broadcast_append(&mut self) {
        for peer in self.peer_ids() {
            self.send_append(peer);
        }
    }

    /// Starts a new heartbeat round; its replies also confirm pending reads.
    pub(crate) fn broadcast_heartbeat(&mut self) {
        self.round += 1;
        for peer in self.peer_ids() {
            self.send_heartbeat(peer);
        }
    }

    fn send_heartbeat(&mut self, peer: NodeId) {
        let Role::Leader { peers } = &self.role else {
            return;
        };
        let Some(progress) = peers.get(&peer) else {
            return;
        };
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            self.send_append(peer);
            return;
        }
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_append(peer);
            return;
        };
        let commit = self.log.committed;
        let round = self.round;
        let body = Body::Append { prev_index, prev_term, entries: Vec::new(), commit, round };
        self.send(peer, body);
    }

    pub(crate) fn send_append(&mut self, peer: NodeId) {
        let round = self.round;
        let commit = self.log.committed;
        let snapshot_index = self.log.snapshot().meta.index;
        let Role::Leader { peers } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&peer) else {
            return;
        };
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            self.send_snapshot_chunk(peer);
            return;
        }
        let window_end = progress.match_index + MAX_IN_FLIGHT_ENTRIES;
        let window_full = progress.mode == Mode::Replicate && progress.next_index > window_end;
        if window_full || progress.probe_in_flight {
            return;
        }
        let prev_index = progress.next_index - 1;
        let entries = self.log.slice(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
        match (self.log.term_at(prev_index), entries) {
            (Some(prev_term), Some(entries)) => {
                match progress.mode {
                    Mode::Replicate => progress.next_index += entries.len() as u64,
                    _ => progress.probe_in_flight = true,
                }
                self.send(peer, Body::Append { prev_index, prev_term, entries, commit, round });
            }
            _ => {
                progress.mode = Mode::Snapshot { index: snapshot_index, offset: 0 };
                self.send_snapshot_chunk(peer);
            }
        }
    }

    fn send_snapshot_chunk(&mut self, peer: NodeId) {
        let round = self.round;
        let snapshot = self.log.snapshot().clone();
        let Role::Leader { peers } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&peer) else {
            return;
        };
        let Mode::Snapshot { index, offset } = &mut progress.mode else {
            return;
        };
        if *index != snapshot.meta.index {
            *index = snapshot.meta.index;
            *offset = 0;
        }
        let start = (*offset as usize).min(snapshot.data.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(snapshot.data.len());
        let body = Body::SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send(peer, body);
    }

    pub(crate) fn handle_replication(&mut self, from: NodeId, body: Body) {
        match body {
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                self.follow_leader(from);
                self.on_append(from, prev_index, prev_term, entries, commit, round);
            }
            Body::SnapshotChunk { meta, offset, total, data, round } => {
                self.follow_leader(from);
                self.on_snapshot_chunk(from, meta, offset, total, data, round);
            }
            Body::AppendReply { round, result } => self.on_append_reply(from, round, result),
            Body::SnapshotProgress { index, next_offset, round } => {
                self.on_snapshot_progress(from, index, next_offset, round);
            }
            _ => {}
        }
    }

    /// Follows the leader of the current term, whatever the previous role, and resets the election
    /// timer.
    fn follow_leader(&mut self, leader: NodeId) {
        if matches!(self.role, Role::Follower { leader: Some(known) } if known == leader) {
            self.ticks_since_leader = 0;
            return;
        }
        self.become_follower(self.term, Some(leader));
    }

    fn on_append(
        &mut self,
        from: NodeId,
        prev_index: Index,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        if prev_index < self.log.committed {
            // The log already matches the leader's up to the commit index (section 3.6.3).
            let committed = self.log.committed;
            let remaining: Vec<Entry> =
                entries.into_iter().filter(|entry| entry.index > committed).collect();
            self.accept_entries(from, committed, remaining, commit, round);
            return;
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            self.reject_append(from, round, prev_index);
            return;
        }
        self.accept_entries(from, prev_index, entries, commit, round);
    }

    fn accept_entries(
        &mut self,
        from: NodeId,
        prev_index: Index,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let matched = entries.last().map_or(prev_index, |entry| entry.index);
        let new_entries = self.log.merge(entries);
        if !new_entries.is_empty() {
            let first = new_entries[0].index;
            self.out.entries.retain(|entry| entry.index < first);
            self.out.entries.extend(new_entries);
            self.refresh_membership();
        }
        self.log.committed = self.log.committed.max(commit.min(matched));
        let result = AppendResult::Accepted(matched);
        self.send(from, Body::AppendReply { round, result });
    }

    /// Rejects an append with the last index that may match: the last index of a shorter log, or the
    /// index before the entries of the conflicting term (section 3.5, last paragraph).
    pub(crate) fn reject_append(&mut self, to: NodeId, round: u64, prev_index: Index) {
        let mut hint = prev_index.min(self.log.last_index());
        let conflicting_term = self.log.term_at(hint);
        while hint > self.log.committed && self.log.term_at(hint) == conflicting_term {
            hint -= 1;
        }
        let log_is_shorter = self.log.last_index() < prev_index;
        let hint = if log_is_shorter { self.log.last_index() } else { hint };
        let result = AppendResult::Rejected(hint);
        self.send(to, Body::AppendReply { round, result });
    }

    fn on_append_reply(&mut self, from: NodeId, round: u64, result: AppendResult) {
        let last = self.log.last_index();
        let Role::Leader { peers } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&from) else {
            return;
        };
        progress.record_reply(round);
        let mut lost_entries = false;
        match result {
            AppendResult::Accepted(index) => progress.record_accepted(index),
            AppendResult::Rejected(hint) => {
                // A hint below the match index is a delayed reply, or comes from a peer that lost
                // entries it had acknowledged. An immediate append to such a peer would be rejected
                // again without end, so the next one is sent with the next heartbeat.
                lost_entries = hint < progress.match_index;
                let probe = hint.min(progress.next_index.saturating_sub(2));
                progress.record_rejected(probe);
            }
        }
        let behind = progress.next_index <= last && !lost_entries;
        self.maybe_commit();
        self.confirm_reads();
        if behind {
            self.send_append(from);
        }
        self.try_finish_transfer(from);
    }

    /// Advances the commit index to the highest index stored by a majority, if that entry is of the
    /// current term (section 3.6.2).
    pub(crate) fn maybe_commit(&mut self) {
        let id = self.config.id;
        let own_index = self.log.persisted;
        let Role::Leader { peers } = &self.role else {
            return;
        };
        let mut matches: Vec<Index> = self
            .membership
            .voters
            .iter()
            .map(|voter| match peers.get(voter) {
                Some(progress) => progress.match_index,
                None if *voter == id => own_index,
                None => 0,
            })
            .collect();
        matches.sort_unstable_by(|left, right| right.cmp(left));
        let Some(candidate) = matches.get(self.membership.quorum() - 1).copied() else {
            return;
        };
        let current_term = self.log.term_at(candidate) == Some(self.term);
        if candidate > self.log.committed
            && (current_term || self.has_weakness(Weakness::CommitAnyTerm))
        {
            self.log.committed = candidate;
            self.on_commit_advanced();
        }
    }

    /// The highest committed index that bears the loss of any one more disk: every voter holds it, and
    /// the membership that makes them voters. If no spare can take the vote of a missing voter, that is
    /// the commit index, since then the missing one is the loss that the group bears. 0 on a member that
    /// does not lead, and while a change of the membership is under way.
    pub fn settled_index(&self) -> Index {
        let Some(peers) = self.peers() else {
            return 0;
        };
        if !self.membership_is_committed() {
            return 0;
        }
        // With an even number of voters a vote is moving: another voter has one too many.
        let is_moving = self.membership.voters.len().is_multiple_of(2);
        if !is_moving && !self.has_spare() {
            return self.log.committed;
        }
        let held_by = |voter: &NodeId| match peers.get(voter) {
            Some(progress) => progress.match_index,
            None if *voter == self.config.id => self.log.persisted,
            None => 0,
        };
        let held_by_all = self.membership.voters.iter().map(held_by).min().unwrap_or(0);
        match held_by_all >= self.membership_index {
            true => held_by_all.min(self.log.committed),
            false => 0,
        }
    }

    /// Whether a learner that needs no snapshot was heard lately.
    fn has_spare(&self) -> bool {
        let is_ready = |progress: &Progress| {
            progress.is_live() && !matches!(progress.mode, Mode::Snapshot { .. })
        };
        let learners = &self.membership.learners;
        let mut peers = self.peers().into_iter().flatten();
        peers.any(|(peer, progress)| learners.contains(peer) && is_ready(progress))
    }

    fn on_commit_advanced(&mut self) {
        self.start_waiting_reads();
        // The commit index is sent immediately instead of with the next heartbeat, because followers
        // need it to answer requests and configuration convergence depends on it.
        self.broadcast_commit();
        let removed = !self.membership.voters.contains(&self.config.id);
        if removed && self.membership_index <= self.log.committed {
            self.become_follower(self.term, None);
        }
    }

    fn broadcast_commit(&mut self) {
        for peer in self.peer_ids() {
            self.send_heartbeat(peer);
        }
    }

    fn on_snapshot_chunk(
        &mut self,
        from: NodeId,
        meta: SnapshotMeta,
        offset: u64,
        total: u64,
        data: Vec<u8>,
        round: u64,
    ) {
        if meta.index <= self.log.committed {
            let result = AppendResult::Accepted(self.log.committed);
            self.send(from, Body::AppendReply { round, result });
            return;
        }
        let index = meta.index;
        let same_snapshot = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming_snapshot| incoming_snapshot.meta == meta);
        if !same_snapshot {
            self.incoming_snapshot = Some(Snapshot { meta, data: Vec::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else {
            return;
        };
        if offset == incoming_snapshot.data.len() as u64 {
            incoming_snapshot.data.extend_from_slice(&data);
        }
        let next_offset = incoming_snapshot.data.len() as u64;
        if next_offset < total {
            self.send(from, Body::SnapshotProgress { index, next_offset, round });
            return;
        }
        self.install_incoming_snapshot(from, round);
    }

    fn install_incoming_snapshot(&mut self, from: NodeId, round: u64) {
        let Some(snapshot) = self.incoming_snapshot.take() else {
            return;
        };
        let index = snapshot.meta.index;
        self.log.install(snapshot.clone());
        let log = &self.log;
        self.out
            .entries
            .retain(|entry| entry.index > index && log.term_at(entry.index) == Some(entry.term));
        self.out.snapshot = Some(snapshot);
        self.refresh_membership();
        let result = AppendResult::Accepted(index);
        self.send(from, Body::AppendReply { round, result });
    }

    fn on_snapshot_progress(&mut self, from: NodeId, index: Index, next_offset: u64, round: u64) {
        let Role::Leader { peers } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&from) else {
            return;
        };
        progress.record_reply(round);
        if let Mode::Snapshot { index: sending, offset } = &mut progress.mode {
            if *sending == index {
                *offset = next_offset;
            }
            self.send_snapshot_chunk(from);
        }
        self.confirm_reads();
    }
}
