//! Drives one consensus group: saves, sends and applies what the core hands over.

use crate::machine::StateMachine;
use consensus::{Config, Membership, Message, ProposeError, Raft, Ready, Snapshot};
use snafu::Snafu;
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::mpsc::{channel, sync_channel, Receiver, RecvTimeoutError, Sender, SyncSender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use storage::{DiskStore, LogStore, StorageError};
use tracing::{error, info};
use verdict::Verdict;

/// Inputs taken in before the next save, so that one sync serves many of them.
const MAX_BATCH: usize = 512;
/// Exit code of a process whose disk failed.
const EXIT_DISK_FAILED: i32 = 74;

/// Fixed parameters of one replica of one group.
#[derive(Clone, Debug)]
pub struct ReplicaParameters {
    /// Name in logs.
    pub group: String,
    /// Folder of its store.
    pub folder: PathBuf,
    /// Consensus parameters.
    pub consensus: Config,
    /// Membership of a new group; empty for a member that joins.
    pub initial: Membership,
    /// Length of one tick.
    pub tick: Duration,
    /// Log size at which a checkpoint is made, bytes.
    pub checkpoint_bytes: u64,
}

/// Why a request to a replica has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// Another replica leads.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// Who does, if known.
        leader: Option<u64>,
    },
    /// Refused before anything was appended.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// Not committed in time, or leadership was lost meanwhile.
    #[snafu(display("not answered in time"))]
    Unanswered {
        /// Whether it may still be committed.
        verdict: Verdict,
    },
}

impl RequestError {
    /// Whether the request may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            RequestError::Unanswered { verdict } => *verdict,
            _ => Verdict::NotRun,
        }
    }
}

/// What a replica knows of its group.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// Current term.
    pub term: u64,
    /// Highest index applied.
    pub applied: u64,
    /// Members.
    pub membership: Membership,
    /// Start of the latest heartbeat round that a quorum answered, when leading.
    pub quorum_contact: Option<Instant>,
    /// How far each peer's log is known to match, when leading.
    pub matched: BTreeMap<u64, u64>,
}

/// The state machine with the group's status.
pub struct Published<M> {
    /// State up to `status.applied`.
    pub machine: M,
    /// The group.
    pub status: ReplicaStatus,
}

type Reply<T> = SyncSender<Result<T, RequestError>>;

enum Input<M: StateMachine> {
    Message(Message),
    Propose(M::Command, Reply<M::Answer>),
    Read(Reply<u64>),
    ChangeMembership(Membership, Reply<u64>),
    TransferLeadership(SyncSender<()>),
}

/// Access to one replica; clones share it.
pub struct Replica<M: StateMachine> {
    inputs: Sender<Input<M>>,
    published: Arc<Mutex<Published<M>>>,
    changed: Arc<Condvar>,
}

impl<M: StateMachine> Clone for Replica<M> {
    fn clone(&self) -> Self {
        Replica {
            inputs: self.inputs.clone(),
            published: self.published.clone(),
            changed: self.changed.clone(),
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Recovers the store and starts the replica's thread. `send` passes messages to peers and
    /// must not block.
    pub fn start(
        parameters: ReplicaParameters,
        send: impl Fn(Message) + Send + 'static,
    ) -> Result<Self, StorageError> {
        let initial = Snapshot {
            meta: consensus::SnapshotMeta {
                index: 0,
                term: 0,
                membership: parameters.initial.clone(),
            },
            data: Vec::new(),
        };
        let (store, recovered) = DiskStore::open(&parameters.folder, initial)?;
        let machine = decode_machine::<M>(&recovered.snapshot, &parameters)?;
        let raft = Raft::new(
            parameters.consensus.clone(),
            recovered.hard_state,
            recovered.snapshot,
            recovered.entries,
        );
        let status = ReplicaStatus {
            is_leader: false,
            leader: None,
            term: raft.term(),
            applied: raft.log().handed_out,
            membership: raft.membership().clone(),
            quorum_contact: None,
            matched: BTreeMap::new(),
        };
        let published = Arc::new(Mutex::new(Published { machine, status }));
        let changed = Arc::new(Condvar::new());
        let (inputs, received) = channel();
        let driver = Driver {
            raft,
            store,
            parameters,
            published: published.clone(),
            changed: changed.clone(),
            send: Box::new(send),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            next_read: 1,
            rounds: VecDeque::new(),
            quorum_contact: None,
        };
        thread::spawn(move || driver.run(received));
        Ok(Replica { inputs, published, changed })
    }

    /// The state machine and status.
    pub fn lock(&self) -> MutexGuard<'_, Published<M>> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change of the state machine or the status.
    pub fn wait_changed<'a>(
        &self,
        guard: MutexGuard<'a, Published<M>>,
        longest: Duration,
    ) -> MutexGuard<'a, Published<M>> {
        let waited = self.changed.wait_timeout(guard, longest);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Hands over a message from a peer.
    pub fn step(&self, message: Message) {
        // A closed channel means that the process is ending.
        let _ = self.inputs.send(Input::Message(message));
    }

    /// Proposes a command and waits until it was applied.
    pub fn propose(
        &self,
        command: M::Command,
        timeout: Duration,
    ) -> Result<M::Answer, RequestError> {
        self.request(timeout, Verdict::MayHaveRun, |reply| Input::Propose(command, reply))
    }

    /// Waits until this replica has applied everything committed before the call, confirmed by a
    /// quorum.
    pub fn read(&self, timeout: Duration) -> Result<u64, RequestError> {
        self.request(timeout, Verdict::NotRun, Input::Read)
    }

    /// Proposes a new membership and waits until it is committed.
    pub fn change_membership(
        &self,
        next: Membership,
        timeout: Duration,
    ) -> Result<u64, RequestError> {
        let input = |reply| Input::ChangeMembership(next, reply);
        self.request(timeout, Verdict::MayHaveRun, input)
    }

    fn request<T>(
        &self,
        timeout: Duration,
        verdict: Verdict,
        input: impl FnOnce(Reply<T>) -> Input<M>,
    ) -> Result<T, RequestError> {
        let (reply, answer) = sync_channel(1);
        if self.inputs.send(input(reply)).is_err() {
            return Err(RequestError::Unanswered { verdict: Verdict::NotRun });
        }
        let unanswered = RequestError::Unanswered { verdict };
        answer.recv_timeout(timeout).unwrap_or(Err(unanswered))
    }

    /// Before a planned stop: hands leadership to the peer that is furthest, and waits for that.
    pub fn transfer_leadership(&self, timeout: Duration) {
        let (done, finished) = sync_channel(1);
        let _ = self.inputs.send(Input::TransferLeadership(done));
        let _ = finished.recv_timeout(timeout);
        let deadline = Instant::now() + timeout;
        let mut published = self.lock();
        while published.status.is_leader && Instant::now() < deadline {
            published = self.wait_changed(published, Duration::from_millis(10));
        }
    }
}

fn decode_machine<M: StateMachine>(
    snapshot: &Snapshot,
    parameters: &ReplicaParameters,
) -> Result<M, StorageError> {
    M::decode(&snapshot.data).map_err(|_| StorageError::Damaged {
        path: parameters.folder.clone(),
        offset: 0,
        reason: "the snapshot's state cannot be decoded",
    })
}

struct Driver<M: StateMachine> {
    raft: Raft,
    store: DiskStore,
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
    rounds: VecDeque<(u64, Instant)>,
    quorum_contact: Option<Instant>,
}

enum Proposal<M: StateMachine> {
    Command(Reply<M::Answer>),
    Membership(Reply<u64>),
}

impl<M: StateMachine> Driver<M> {
    fn run(mut self, inputs: Receiver<Input<M>>) {
        let mut next_tick = Instant::now() + self.parameters.tick;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    self.take(input);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_tick {
                self.raft.tick();
                // After a pause of the process one tick passes, not all that were missed: an
                // election must wait for messages that are already in the socket buffers.
                next_tick = Instant::now() + self.parameters.tick;
            }
            if let Err(failure) = self.work() {
                error!(group = %self.parameters.group, error = %failure, "storage_failed");
                std::process::exit(EXIT_DISK_FAILED);
            }
        }
    }

    fn take(&mut self, input: Input<M>) {
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
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            self.save(&ready)?;
            for message in &ready.messages {
                (self.send)(message.clone());
            }
            self.apply(ready)?;
        }
        self.note_rounds();
        self.publish_status();
        if self.store.bytes_since_checkpoint() >= self.parameters.checkpoint_bytes {
            self.checkpoint()?;
        }
        Ok(())
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
        for entry in ready.committed {
            self.apply_entry(&mut published, &entry);
            published.status.applied = entry.index;
        }
        let applied = published.status.applied;
        drop(published);
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
            self.rounds.push_back((newest, Instant::now()));
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
