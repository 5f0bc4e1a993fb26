//! The thread of one replica: takes inputs in, saves, sends and applies.

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

/// Inputs taken in before the next save, so that one sync serves many of them.
const MAX_BATCH: usize = 512;
/// Entries that take this long to apply are told in the log, milliseconds.
const LONG_APPLY_MS: u64 = 20;
/// From a checkpoint for which the disk had no room to the next try: encoding the state takes time that
/// calls of other replicas wait for.
const CHECKPOINT_PAUSE: Duration = Duration::from_secs(1);
/// Exit code of a process whose disk failed.
const EXIT_DISK_FAILED: i32 = 74;

/// One replica's thread: the core, its store, and who waits for what.
pub(super) struct Driver<M: StateMachine, S: LogStore> {
    raft: Raft,
    store: S,
    /// What the store had no room for; while there is any, this replica stands still.
    unsaved: Option<Ready>,
    full_since: Option<BootInstant>,
    /// When a checkpoint that was postponed is tried again.
    checkpoint_at: Option<BootInstant>,
    parameters: ReplicaParameters,
    published: Arc<Mutex<Published<M>>>,
    changed: Arc<Condvar>,
    send: Box<dyn Fn(Message) + Send>,
    /// Proposals and membership changes not committed yet, by index, with their term.
    proposals: BTreeMap<u64, (u64, Proposal<M>)>,
    reads: BTreeMap<u64, Reply<u64>>,
    confirmed_reads: Vec<(u64, Reply<u64>)>,
    next_read: u64,
    /// Start of heartbeat rounds not yet answered by a quorum.
    rounds: VecDeque<(u64, BootInstant)>,
    quorum_contact: Option<BootInstant>,
}

enum Proposal<M: StateMachine> {
    Command(Reply<M::Answer>),
    Membership(Reply<u64>),
}

impl<M: StateMachine, S: LogStore> Driver<M, S> {
    /// A driver that has not begun yet.
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
            unsaved: None,
            full_since: None,
            checkpoint_at: None,
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
        }
    }

    /// Runs until every handle of the replica is gone.
    pub fn run(mut self, inputs: Receiver<Input<M>>) {
        let mut next_tick = BootInstant::now() + self.parameters.tick;
        let mut sleep = SuspendDetector::default();
        loop {
            let wait = next_tick.saturating_duration_since(BootInstant::now());
            let received = inputs.recv_timeout(wait);
            self.note_sleep(sleep.check());
            match received {
                Ok(input) => {
                    self.take(input);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if BootInstant::now() >= next_tick {
                if self.unsaved.is_none() {
                    self.raft.tick();
                }
                // After a pause of the process one tick passes, not all that were missed: an
                // election must wait for messages that are already in the socket buffers.
                next_tick = BootInstant::now() + self.parameters.tick;
            }
            match self.work() {
                Ok(()) => {}
                Err(failure) if failure.is_full() => continue,
                Err(failure) => {
                    error!(group = %self.parameters.group, error = %failure, "storage_failed");
                    telemetry::flush_logs_and_exit(EXIT_DISK_FAILED);
                }
            }
        }
    }

    /// Gives up what was known before a sleep that was long enough for another election.
    fn note_sleep(&mut self, slept: Option<Duration>) {
        let Some(slept) = slept else {
            return;
        };
        let slept_ms = slept.as_millis() as u64;
        info!(group = %self.parameters.group, slept_ms, "machine_slept");
        let election = self.parameters.tick * self.parameters.consensus.election_ticks;
        if slept >= election && self.unsaved.is_none() {
            self.raft.note_sleep();
        }
    }

    fn take(&mut self, input: Input<M>) {
        if self.unsaved.is_some() {
            refuse_input(input);
            return;
        }
        match input {
            Input::Message(message) => self.raft.step(message),
            Input::Propose(command, reply) => self.propose(&command, reply),
            Input::Read(reply) => self.read(reply),
            Input::ChangeMembership(next, reply) => self.change_membership(next, reply),
            Input::TransferLeadership(done) => {
                let furthest = self.raft.peers().and_then(|peers| {
                    let voters = &self.raft.membership().voters;
                    let eligible = peers.iter().filter(|(id, _)| voters.contains(id));
                    eligible.max_by_key(|(_, progress)| progress.match_index).map(|(id, _)| *id)
                });
                if let Some(peer) = furthest {
                    self.raft.transfer_leadership(peer);
                }
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

    /// Saves, sends and applies until the core has nothing more to hand over.
    fn work(&mut self) -> Result<(), StorageError> {
        while let Some(ready) = self.next_ready() {
            if let Err(failure) = self.save(&ready) {
                self.stand_still(ready, &failure);
                return Err(failure);
            }
            self.go_on();
            for message in &ready.messages {
                (self.send)(message.clone());
            }
            self.apply(ready)?;
        }
        self.note_rounds();
        self.publish_status();
        let is_paused = self.checkpoint_at.is_some_and(|at| BootInstant::now() < at);
        if !is_paused && self.store.bytes_since_checkpoint() >= self.parameters.checkpoint_bytes {
            self.checkpoint_or_postpone()?;
        }
        Ok(())
    }

    /// Makes a checkpoint, later if the disk has no room for it: nothing that was promised depends on it.
    fn checkpoint_or_postpone(&mut self) -> Result<(), StorageError> {
        self.checkpoint_at = None;
        match self.checkpoint() {
            Err(failure) if failure.is_full() => {
                warn!(group = %self.parameters.group, error = %failure, "checkpoint_postponed");
                self.checkpoint_at = Some(BootInstant::now() + CHECKPOINT_PAUSE);
                let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
                published.status.checkpoints_postponed += 1;
                Ok(())
            }
            made => made,
        }
    }

    /// What the core hands over next; what could not be saved comes first.
    fn next_ready(&mut self) -> Option<Ready> {
        if let Some(ready) = self.unsaved.take() {
            return Some(ready);
        }
        self.raft.has_ready().then(|| self.raft.ready())
    }

    /// Without room for what the core handed over, nothing may be sent or promised: to the others
    /// this replica is one that was frozen.
    fn stand_still(&mut self, ready: Ready, failure: &StorageError) {
        self.unsaved = Some(ready);
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

    /// Notes that what the core handed over was saved.
    fn go_on(&mut self) {
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
        let (entries, began) = (ready.committed.len(), BootInstant::now());
        for entry in ready.committed {
            self.apply_entry(&mut published, &entry);
            published.status.applied = entry.index;
        }
        let applied = published.status.applied;
        drop(published);
        let apply_ms = began.elapsed().as_millis() as u64;
        if apply_ms >= LONG_APPLY_MS {
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
        self.answer_reads(applied);
        Ok(())
    }

    fn answer_reads(&mut self, applied: u64) {
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
        let own = proposal.and_then(|(term, proposal)| {
            if term == entry.term {
                return Some(proposal);
            }
            // Another entry took this place: the proposal can never be committed.
            refuse(proposal, RequestError::Unanswered { verdict: Verdict::NotRun });
            None
        });
        match &entry.payload {
            consensus::Payload::Command(bytes) => {
                let Ok(command) = M::Command::read_from_buffer(bytes) else {
                    error!(group = %self.parameters.group, index = entry.index, "undecodable_entry");
                    return;
                };
                let answer = published.machine.apply(entry.index, &command);
                if let Some(Proposal::Command(reply)) = own {
                    let _ = reply.try_send(Ok(answer));
                }
            }
            consensus::Payload::Membership(_) => {
                if let Some(Proposal::Membership(reply)) = own {
                    let _ = reply.try_send(Ok(entry.index));
                }
            }
            consensus::Payload::Noop => {}
        }
    }

    /// Remembers when the latest round answered by a quorum began.
    fn note_rounds(&mut self) {
        if !self.raft.is_leader() {
            self.rounds.clear();
            self.quorum_contact = None;
            return;
        }
        let newest = self.raft.round();
        if self.rounds.back().is_none_or(|(round, _)| *round < newest) {
            self.rounds.push_back((newest, BootInstant::now()));
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

    fn publish_status(&mut self) {
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let status = &mut published.status;
        let is_leader = self.raft.is_leader();
        let leader_changed = status.is_leader != is_leader || status.leader != self.raft.leader();
        status.is_leader = is_leader;
        status.leader = self.raft.leader();
        status.term = self.raft.term();
        status.updated_at = BootInstant::now();
        status.quorum_contact = self.quorum_contact;
        if status.membership != *self.raft.membership() {
            status.membership = self.raft.membership().clone();
        }
        status.matched = self
            .raft
            .peers()
            .map(|peers| peers.iter().map(|(id, peer)| (*id, peer.match_index)).collect())
            .unwrap_or_default();
        let (leader, term) = (status.leader, status.term);
        drop(published);
        if leader_changed {
            info!(group = %self.parameters.group, ?leader, term, "leader_changed");
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

/// Answers what is asked of a replica that stands still. Messages of peers are dropped, as by one
/// that is frozen.
fn refuse_input<M: StateMachine>(input: Input<M>) {
    let refusal = RequestError::NotLeader { leader: None };
    match input {
        Input::Message(_) => {}
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

fn refuse<M: StateMachine>(proposal: Proposal<M>, error: RequestError) {
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
