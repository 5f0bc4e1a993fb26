//! Thread of one replica: handles inputs, and persists, sends and applies the output of the Raft
//! core.

use super::{decode_machine, Input, Published, ReplicaParameters, Reply, RequestError};
use crate::machine::StateMachine;
use consensus::{Membership, Message, ProposeError, Raft, Ready};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, VecDeque};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;
use storage::{LogStore, StorageError};
use telemetry::{BootInstant, SuspendDetector};
use tracing::{error, info, warn};
use verdict::Verdict;

/// Maximum number of inputs handled before the next save, so that one sync covers many of them.
const MAX_BATCH: usize = 512;
/// Time spent applying a batch of entries from which it is logged, in milliseconds.
const SLOW_APPLY_MS: u64 = 20;
/// Delay before retrying a checkpoint that failed because the disk was full. Each attempt encodes
/// the whole state, which delays calls from other replicas.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a voter may lag until acknowledgements no longer wait for it: longer than a silent one
/// keeps its vote, and short enough that an order which is repeated is acknowledged within some seconds.
const LAG_LIMIT: Duration = Duration::from_secs(3);
/// Process exit code after a disk failure.
const EXIT_DISK_FAILED: i32 = 74;

/// State of a replica's thread: the Raft core, its store and the requests waiting for a result.
pub(super) struct Driver<M: StateMachine, S: LogStore> {
    raft: Raft,
    store: S,
    /// Output of the core that could not be saved because the disk is full. While it is set, the
    /// replica takes no part in consensus.
    unsaved_ready: Option<Ready>,
    full_since: Option<BootInstant>,
    /// When a postponed checkpoint is retried.
    checkpoint_retry_at: Option<BootInstant>,
    parameters: ReplicaParameters,
    published: Arc<Mutex<Published<M>>>,
    changed: Arc<Condvar>,
    send: Box<dyn Fn(Message) + Send>,
    /// Uncommitted proposals and membership changes with their term, by log index.
    proposals: BTreeMap<u64, (u64, Proposal<M>)>,
    reads: BTreeMap<u64, Reply<u64>>,
    confirmed_reads: Vec<(u64, Reply<u64>)>,
    next_read: u64,
    /// Heartbeat rounds not yet answered by a quorum, with their start time.
    rounds: VecDeque<(u64, BootInstant)>,
    quorum_contact: Option<BootInstant>,
    /// Since when committed entries have not been settled, on a leader.
    unsettled_since: Option<BootInstant>,
}

enum Proposal<M: StateMachine> {
    Command(Reply<M::Answer>),
    Membership(Reply<u64>),
}

impl<M: StateMachine, S: LogStore> Driver<M, S> {
    /// Creates a driver; [`Driver::run`] starts it.
    pub fn new(
        raft: Raft,
        store: S,
        parameters: ReplicaParameters,
        published: Arc<Mutex<Published<M>>>,
        changed: Arc<Condvar>,
        send: Box<dyn Fn(Message) + Send>,
    ) -> Self {
        Driver {
            raft,
            store,
            unsaved_ready: None,
            full_since: None,
            checkpoint_retry_at: None,
            parameters,
            published,
            changed,
            send,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            next_read: 1,
            rounds: VecDeque::new(),
            quorum_contact: None,
            unsettled_since: None,
        }
    }

    /// Runs until every handle to the replica is dropped.
    pub fn run(mut self, inputs: Receiver<Input<M>>) {
        let mut next_tick = BootInstant::now() + self.parameters.tick;
        let mut sleep = SuspendDetector::default();
        loop {
            let wait = next_tick.saturating_duration_since(BootInstant::now());
            let received = inputs.recv_timeout(wait);
            self.handle_sleep(sleep.check());
            match received {
                Ok(input) => {
                    self.handle_input(input);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if BootInstant::now() >= next_tick {
                if self.unsaved_ready.is_none() {
                    self.raft.tick();
                }
                // After the process was suspended only one tick elapses instead of all missed ones,
                // so that messages already in the socket buffers are handled before an election
                // starts.
                next_tick = BootInstant::now() + self.parameters.tick;
            }
            match self.process_ready() {
                Ok(()) => {}
                Err(failure) if failure.is_full() => continue,
                Err(failure) => {
                    error!(group = %self.parameters.group, error = %failure, "storage_failed");
                    telemetry::flush_logs_and_exit(EXIT_DISK_FAILED);
                }
            }
        }
    }

    /// Discards leadership knowledge after the machine slept long enough for another election.
    fn handle_sleep(&mut self, slept: Option<Duration>) {
        let Some(slept) = slept else {
            return;
        };
        let slept_ms = slept.as_millis() as u64;
        info!(group = %self.parameters.group, slept_ms, "machine_slept");
        let election = self.parameters.tick * self.parameters.consensus.election_ticks;
        if slept >= election && self.unsaved_ready.is_none() {
            self.raft.note_sleep();
        }
    }

    fn handle_input(&mut self, input: Input<M>) {
        if self.unsaved_ready.is_some() {
            reject_input(input);
            return;
        }
        match input {
            Input::Message(message) => self.raft.step(message),
            Input::Propose(command, reply) => self.propose(&command, reply),
            Input::Read(reply) => self.read(reply),
            Input::ChangeMembership(next, reply) => self.change_membership(next, reply),
            Input::Retire => self.raft.retire(),
            Input::TransferLeadership(done) => {
                self.raft.resign();
                let _ = done.try_send(());
            }
        }
    }

    fn propose(&mut self, command: &M::Command, reply: Reply<M::Answer>) {
        let encoded = match command.write_to_vec() {
            Ok(encoded) => encoded,
            Err(error) => {
                let reason = error.to_string();
                let _ = reply.try_send(Err(RequestError::Refused { reason }));
                return;
            }
        };
        match self.raft.propose(encoded) {
            Ok((term, index)) => {
                self.proposals.insert(index, (term, Proposal::Command(reply)));
            }
            Err(refusal) => {
                let _ = reply.try_send(Err(request_error(refusal)));
            }
        }
    }

    fn read(&mut self, reply: Reply<u64>) {
        let context = self.next_read;
        self.next_read += 1;
        match self.raft.read_index(context) {
            Ok(()) => {
                self.reads.insert(context, reply);
            }
            Err(refusal) => {
                let _ = reply.try_send(Err(request_error(refusal)));
            }
        }
    }

    fn change_membership(&mut self, next: Membership, reply: Reply<u64>) {
        match self.raft.propose_membership(next) {
            Ok(index) => {
                let proposal = Proposal::Membership(reply);
                self.proposals.insert(index, (self.raft.term(), proposal));
            }
            Err(refusal) => {
                let _ = reply.try_send(Err(request_error(refusal)));
            }
        }
    }

    /// Saves, sends and applies the output of the core until there is none left.
    fn process_ready(&mut self) -> Result<(), StorageError> {
        while let Some(ready) = self.next_ready() {
            if let Err(failure) = self.save(&ready) {
                self.pause_for_full_disk(ready, &failure);
                return Err(failure);
            }
            self.resume_after_full_disk();
            for message in &ready.messages {
                (self.send)(message.clone());
            }
            self.apply(ready)?;
        }
        self.track_rounds();
        self.publish_status();
        let retry_is_pending = self.checkpoint_retry_at.is_some_and(|at| BootInstant::now() < at);
        if !retry_is_pending
            && self.store.bytes_since_checkpoint() >= self.parameters.checkpoint_bytes
        {
            self.checkpoint_or_postpone()?;
        }
        Ok(())
    }

    /// Makes a checkpoint, or postpones it if the disk is full: no acknowledged entry depends on
    /// it.
    fn checkpoint_or_postpone(&mut self) -> Result<(), StorageError> {
        self.checkpoint_retry_at = None;
        match self.checkpoint() {
            Err(failure) if failure.is_full() => {
                warn!(group = %self.parameters.group, error = %failure, "checkpoint_postponed");
                self.checkpoint_retry_at = Some(BootInstant::now() + CHECKPOINT_RETRY_DELAY);
                let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
                published.status.checkpoints_postponed += 1;
                Ok(())
            }
            result => result,
        }
    }

    /// Returns the next output of the core, starting with output that could not be saved before.
    fn next_ready(&mut self) -> Option<Ready> {
        if let Some(ready) = self.unsaved_ready.take() {
            return Some(ready);
        }
        self.raft.has_ready().then(|| self.raft.ready())
    }

    /// Stops taking part in consensus while the disk is full. Unsaved output must not be sent or
    /// acknowledged, so to its peers this replica behaves like a suspended process.
    fn pause_for_full_disk(&mut self, ready: Ready, failure: &StorageError) {
        self.unsaved_ready = Some(ready);
        if self.full_since.is_some() {
            return;
        }
        self.full_since = Some(BootInstant::now());
        error!(group = %self.parameters.group, error = %failure, "storage_full");
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        published.status.storage_full = true;
        published.status.is_leader = false;
        published.status.leader = None;
        published.status.quorum_contact = None;
        drop(published);
        self.changed.notify_all();
    }

    /// Ends the pause caused by a full disk after the output of the core was saved.
    fn resume_after_full_disk(&mut self) {
        let Some(since) = self.full_since.take() else {
            return;
        };
        let paused_ms = since.elapsed().as_millis() as u64;
        info!(group = %self.parameters.group, paused_ms, "storage_has_room");
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        published.status.storage_full = false;
    }

    fn save(&mut self, ready: &Ready) -> Result<(), StorageError> {
        if !ready.must_save() {
            return Ok(());
        }
        if let Some(snapshot) = &ready.snapshot {
            let retained = self.raft.log().retained();
            self.store.checkpoint(self.raft.hard_state(), snapshot, retained)?;
        } else {
            self.store.save(ready.hard_state, &ready.entries)?;
        }
        self.raft.on_persisted(self.raft.log().last_index());
        Ok(())
    }

    fn apply(&mut self, ready: Ready) -> Result<(), StorageError> {
        let published = self.published.clone();
        let mut published = published.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(snapshot) = &ready.snapshot {
            published.machine = decode_machine::<M>(snapshot, &self.parameters)?;
            published.status.applied = snapshot.meta.index;
            info!(group = %self.parameters.group, index = snapshot.meta.index, "snapshot_installed");
        }
        let changed = !ready.committed.is_empty() || ready.snapshot.is_some();
        let (entries, started) = (ready.committed.len(), BootInstant::now());
        for entry in ready.committed {
            self.apply_entry(&mut published, &entry);
            published.status.applied = entry.index;
        }
        let applied = published.status.applied;
        drop(published);
        let apply_ms = started.elapsed().as_millis() as u64;
        if apply_ms >= SLOW_APPLY_MS {
            info!(group = %self.parameters.group, entries, applied, apply_ms, "entries_applied");
        }
        if changed {
            self.changed.notify_all();
        }
        for read in ready.reads {
            if let Some(reply) = self.reads.remove(&read.context) {
                self.confirmed_reads.push((read.index, reply));
            }
        }
        for context in ready.failed_reads {
            if let Some(reply) = self.reads.remove(&context) {
                let leader = self.raft.leader();
                let _ = reply.try_send(Err(RequestError::NotLeader { leader }));
            }
        }
        self.complete_reads(applied);
        Ok(())
    }

    fn complete_reads(&mut self, applied: u64) {
        self.confirmed_reads.retain(|(index, reply)| {
            if *index > applied {
                return true;
            }
            let _ = reply.try_send(Ok(applied));
            false
        });
    }

    fn apply_entry(&mut self, published: &mut Published<M>, entry: &consensus::Entry) {
        let proposal = self.proposals.remove(&entry.index);
        let pending = proposal.and_then(|(term, proposal)| {
            if term == entry.term {
                return Some(proposal);
            }
            // An entry of another term has this index, so the proposal can never be committed.
            reject_proposal(proposal, RequestError::Unanswered { verdict: Verdict::NotRun });
            None
        });
        match &entry.payload {
            consensus::Payload::Command(bytes) => {
                let Ok(command) = M::Command::read_from_buffer(bytes) else {
                    error!(group = %self.parameters.group, index = entry.index, "undecodable_entry");
                    return;
                };
                let answer = published.machine.apply(entry.index, &command);
                if let Some(Proposal::Command(reply)) = pending {
                    let _ = reply.try_send(Ok(answer));
                }
            }
            consensus::Payload::Membership(_) => {
                if let Some(Proposal::Membership(reply)) = pending {
                    let _ = reply.try_send(Ok(entry.index));
                }
            }
            consensus::Payload::Noop => {}
        }
    }

    /// Tracks the start of the latest heartbeat round answered by a quorum.
    fn track_rounds(&mut self) {
        if !self.raft.is_leader() {
            self.rounds.clear();
            self.quorum_contact = None;
            return;
        }
        let latest = self.raft.round();
        if self.rounds.back().is_none_or(|(round, _)| *round < latest) {
            self.rounds.push_back((latest, BootInstant::now()));
        }
        let confirmed = self.raft.confirmed_round();
        while let Some((round, started)) = self.rounds.front().copied() {
            if round > confirmed {
                break;
            }
            self.quorum_contact = Some(started);
            self.rounds.pop_front();
        }
    }

    /// The highest log index that counts as settled.
    fn settled_index(&mut self) -> u64 {
        let (settled, committed) = (self.raft.settled_index(), self.raft.log().committed);
        if !self.raft.is_leader() || settled >= committed {
            self.unsettled_since = None;
            return settled;
        }
        let since = *self.unsettled_since.get_or_insert_with(BootInstant::now);
        match since.elapsed() < LAG_LIMIT {
            true => settled,
            false => committed,
        }
    }

    fn publish_status(&mut self) {
        let settled = self.settled_index();
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let status = &mut published.status;
        let is_leader = self.raft.is_leader();
        let leader_changed = status.is_leader != is_leader || status.leader != self.raft.leader();
        let settled_changed = status.settled != settled;
        status.settled = settled;
        status.is_leader = is_leader;
        status.leader = self.raft.leader();
        status.term = self.raft.term();
        status.updated_at = BootInstant::now();
        status.quorum_contact = self.quorum_contact;
        if status.membership != *self.raft.membership() {
            status.membership = self.raft.membership().clone();
        }
        status.membership_committed = self.raft.membership_is_committed();
        status.matched = self
            .raft
            .peers()
            .map(|peers| peers.iter().map(|(id, peer)| (*id, peer.match_index)).collect())
            .unwrap_or_default();
        let (leader, term) = (status.leader, status.term);
        drop(published);
        if leader_changed {
            info!(group = %self.parameters.group, ?leader, term, "leader_changed");
        }
        if leader_changed || settled_changed {
            self.changed.notify_all();
        }
    }

    fn checkpoint(&mut self) -> Result<(), StorageError> {
        let (applied, data) = {
            let published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
            (published.status.applied, published.machine.encode())
        };
        let Some(snapshot) = self.raft.compact(applied, data) else {
            return Ok(());
        };
        let retained = self.raft.log().retained();
        self.store.checkpoint(self.raft.hard_state(), &snapshot, retained)?;
        info!(group = %self.parameters.group, index = applied, "checkpoint_made");
        Ok(())
    }
}

/// Rejects an input while the disk is full. Messages from peers are dropped, as by a suspended
/// process.
fn reject_input<M: StateMachine>(input: Input<M>) {
    let refusal = RequestError::NotLeader { leader: None };
    match input {
        Input::Message(_) | Input::Retire => {}
        Input::Propose(_, reply) => {
            let _ = reply.try_send(Err(refusal));
        }
        Input::Read(reply) | Input::ChangeMembership(_, reply) => {
            let _ = reply.try_send(Err(refusal));
        }
        Input::TransferLeadership(done) => {
            let _ = done.try_send(());
        }
    }
}

fn reject_proposal<M: StateMachine>(proposal: Proposal<M>, error: RequestError) {
    match proposal {
        Proposal::Command(reply) => {
            let _ = reply.try_send(Err(error));
        }
        Proposal::Membership(reply) => {
            let _ = reply.try_send(Err(error));
        }
    }
}

fn request_error(error: ProposeError) -> RequestError {
    match error {
        ProposeError::NotLeader { leader } => RequestError::NotLeader { leader },
        ProposeError::NotReady => {
            RequestError::Refused { reason: "the leader is handing over its office".to_owned() }
        }
        ProposeError::Membership { source } => RequestError::Refused { reason: source.to_string() },
    }
}
