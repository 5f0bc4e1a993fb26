//! Linearizable reads without writing to the log (section 6.4).
//!
//! No clock is involved. A read is confirmed by a heartbeat round that started after the read, so a
//! leader that was paused or partitioned cannot confirm a stale read.

use crate::raft::{ProposeError, Raft, ReadState, Role, Weakness};
use crate::Index;

/// A read that waits for the confirmation of its heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    context: u64,
    /// `None` until the leader has committed an entry of its term.
    index: Option<Index>,
    round: u64,
}

impl Raft {
    /// Starts a read. Its `context` is returned in `Ready::reads` or `Ready::failed_reads`.
    pub fn read_index(&mut self, context: u64) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        let committed = self.log.committed;
        if self.has_weakness(Weakness::UnconfirmedReads) {
            self.out.reads.push(ReadState { context, index: committed });
            return Ok(());
        }
        let index = self.committed_in_term().then_some(committed);
        self.pending_reads.push(PendingRead { context, index, round: self.round + 1 });
        if index.is_some() {
            self.broadcast_heartbeat();
            self.confirm_reads();
        }
        Ok(())
    }

    /// Assigns an index and a round to the reads that were started before the first commit of this
    /// term.
    pub(crate) fn start_waiting_reads(&mut self) {
        if !self.committed_in_term() {
            return;
        }
        let committed = self.log.committed;
        let next_round = self.round + 1;
        let mut started = false;
        for read in self.pending_reads.iter_mut().filter(|read| read.index.is_none()) {
            read.index = Some(committed);
            read.round = next_round;
            started = true;
        }
        if started {
            self.broadcast_heartbeat();
            self.confirm_reads();
        }
    }

    pub(crate) fn confirm_reads(&mut self) {
        if self.pending_reads.is_empty() {
            return;
        }
        let confirmed_round = self.confirmed_round();
        let out = &mut self.out;
        self.pending_reads.retain(|read| match read.index {
            Some(index) if read.round <= confirmed_round => {
                out.reads.push(ReadState { context: read.context, index });
                false
            }
            _ => true,
        });
    }

    /// The highest round that a majority, this leader included, has acknowledged.
    pub fn confirmed_round(&self) -> u64 {
        let Role::Leader { peers } = &self.role else {
            return 0;
        };
        let mut rounds: Vec<u64> = self
            .membership
            .voters
            .iter()
            .map(|voter| peers.get(voter).map_or(self.round, |progress| progress.acked_round))
            .collect();
        rounds.sort_unstable_by(|left, right| right.cmp(left));
        rounds.get(self.membership.quorum() - 1).copied().unwrap_or(0)
    }

    pub(crate) fn fail_pending_reads(&mut self) {
        let failed = self.pending_reads.drain(..).map(|read| read.context);
        self.out.failed_reads.extend(failed);
    }
}
