//! Drives one consensus group: saves, sends and applies what the core hands over.

mod driver;

use crate::machine::StateMachine;
use consensus::{Config, Membership, Message, Raft, Snapshot};
use driver::Driver;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::{channel, sync_channel, Sender, SyncSender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use storage::{DiskStore, LogStore, Recovered, StorageError};
use telemetry::BootInstant;
use verdict::Verdict;

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
    pub quorum_contact: Option<BootInstant>,
    /// How far each peer's log is known to match, when leading.
    pub matched: BTreeMap<u64, u64>,
    /// Whether its store has no room: it takes part in nothing until there is some.
    pub storage_full: bool,
    /// Checkpoints for which the disk had no room so far.
    pub checkpoints_postponed: u64,
    /// When the replica's thread last looked; long ago if the process or the machine stood still.
    pub updated_at: BootInstant,
}

/// How long a status is believed without its thread having looked again: ten ticks. A replica that
/// stood still answers for nothing that it knew before; other threads may run before its own.
const STATUS_TRUST: Duration = Duration::from_millis(500);

impl ReplicaStatus {
    /// The leader, if one is known and the replica has not stood still since.
    pub fn current_leader(&self) -> Option<u64> {
        self.leader.filter(|_| self.updated_at.elapsed() < STATUS_TRUST)
    }
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
        Self::start_with_store(store, recovered, parameters, send)
    }

    /// Starts the replica's thread on a store that was recovered.
    pub fn start_with_store<S: LogStore + Send + 'static>(
        store: S,
        recovered: Recovered,
        parameters: ReplicaParameters,
        send: impl Fn(Message) + Send + 'static,
    ) -> Result<Self, StorageError> {
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
            applied: raft.log().delivered,
            membership: raft.membership().clone(),
            quorum_contact: None,
            matched: BTreeMap::new(),
            storage_full: false,
            checkpoints_postponed: 0,
            updated_at: BootInstant::now(),
        };
        let published = Arc::new(Mutex::new(Published { machine, status }));
        let changed = Arc::new(Condvar::new());
        let (inputs, received) = channel();
        let driver = Driver::new(
            raft,
            store,
            parameters,
            published.clone(),
            changed.clone(),
            Box::new(send),
        );
        thread::spawn(move || driver.run(received));
        Ok(Replica { inputs, published, changed })
    }

    /// The state machine and status.
    pub fn lock(&self) -> MutexGuard<'_, Published<M>> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change of the state machine or the status.
    pub fn wait_for_change<'a>(
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

    /// Before a planned stop: hands leadership to the peer that is furthest, and waits for that. The only
    /// voter of a group has nobody to wait for.
    pub fn transfer_leadership(&self, timeout: Duration) {
        if self.lock().status.membership.voters.len() <= 1 {
            return;
        }
        let (done, finished) = sync_channel(1);
        let _ = self.inputs.send(Input::TransferLeadership(done));
        let _ = finished.recv_timeout(timeout);
        let deadline = BootInstant::now() + timeout;
        let mut published = self.lock();
        while published.status.is_leader && BootInstant::now() < deadline {
            published = self.wait_for_change(published, Duration::from_millis(10));
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
