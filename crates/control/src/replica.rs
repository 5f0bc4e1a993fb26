//! Replica of one consensus group: connects the Raft core to its store, peers and state machine.

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
use tracing::info;
use verdict::Verdict;

/// Fixed parameters of one replica of one group.
#[derive(Clone, Debug)]
pub struct ReplicaParameters {
    /// Name of the group in logs.
    pub group: String,
    /// Directory of the replica's store.
    pub folder: PathBuf,
    /// Consensus parameters.
    pub consensus: Config,
    /// Initial membership of a new group; empty for a member that joins an existing group.
    pub initial: Membership,
    /// Duration of one tick of the Raft core.
    pub tick: Duration,
    /// Log size that triggers a checkpoint, in bytes.
    pub checkpoint_bytes: u64,
}

/// Reason a request to a replica failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// This replica is not the leader.
    #[snafu(display("not the leader; the leader is {leader:?}"))]
    NotLeader {
        /// The current leader, if known.
        leader: Option<u64>,
    },
    /// Refused before anything was appended to the log.
    #[snafu(display("{reason}"))]
    Refused {
        /// Reason for the refusal.
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

/// State of a group as known to one replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// Current term.
    pub term: u64,
    /// Highest log index applied to the state machine.
    pub applied: u64,
    /// Voters and learners of the group.
    pub membership: Membership,
    /// Whether it is committed. Until then it is lost if the leader is.
    pub membership_committed: bool,
    /// Start of the latest heartbeat round answered by a quorum; set only on the leader.
    pub quorum_contact: Option<BootInstant>,
    /// Highest log index known to match on each peer; filled only on the leader.
    pub matched: BTreeMap<u64, u64>,
    /// Highest log index that bears the loss of one more disk, see [`Raft::settled_index`]; 0 on a
    /// replica that does not lead. The commit index, once a voter has lagged for so long that waiting
    /// for it or for its successor is given up.
    pub settled: u64,
    /// Whether the disk is full; the replica takes no part in consensus until space is available.
    pub storage_full: bool,
    /// Number of checkpoints postponed so far because the disk was full.
    pub checkpoints_postponed: u64,
    /// When the replica's thread last updated the status; old if the process or machine was
    /// suspended.
    pub updated_at: BootInstant,
}

/// Maximum age at which a status is trusted: ten ticks. After the process or machine was suspended,
/// other threads may run before the replica's thread, and must not act on the outdated status.
const MAX_STATUS_AGE: Duration = Duration::from_millis(500);

/// Wait for an applied command to be settled from which it is logged: some round trips between regions.
const SLOW_SETTLEMENT: Duration = Duration::from_millis(300);

impl ReplicaStatus {
    /// The other voters that are not known to hold the log up to `index`.
    pub fn voters_behind(&self, index: u64) -> Vec<u64> {
        let is_behind = |voter: &&u64| self.matched.get(voter).is_some_and(|held| *held < index);
        self.membership.voters.iter().filter(is_behind).copied().collect()
    }

    /// The other members whose disks are known to hold the log up to `index`.
    pub fn held_by(&self, index: u64) -> Vec<u64> {
        let holds = |(_, held): &(&u64, &u64)| **held >= index;
        self.matched.iter().filter(holds).map(|(member, _)| *member).collect()
    }

    /// The leader, if one is known and the status is not outdated.
    pub fn current_leader(&self) -> Option<u64> {
        self.leader.filter(|_| self.updated_at.elapsed() < MAX_STATUS_AGE)
    }
}

/// State machine and status that a replica publishes to other threads.
pub struct Published<M> {
    /// State after applying the log up to `status.applied`.
    pub machine: M,
    /// State of the group.
    pub status: ReplicaStatus,
}

type Reply<T> = SyncSender<Result<T, RequestError>>;

enum Input<M: StateMachine> {
    Message(Message),
    Propose(M::Command, Reply<M::Answer>),
    Read(Reply<u64>),
    ChangeMembership(Membership, Reply<u64>),
    TransferLeadership(SyncSender<()>),
    Retire,
}

/// Handle to a replica; clones refer to the same replica.
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

    /// Starts the replica's thread with a store that is already recovered.
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
            membership_committed: raft.membership_is_committed(),
            quorum_contact: None,
            matched: BTreeMap::new(),
            settled: 0,
            storage_full: false,
            checkpoints_postponed: 0,
            updated_at: BootInstant::now(),
        };
        let published = Arc::new(Mutex::new(Published { machine, status }));
        let changed = Arc::new(Condvar::new());
        let (inputs, receiver) = channel();
        let driver = Driver::new(
            raft,
            store,
            parameters,
            published.clone(),
            changed.clone(),
            Box::new(send),
        );
        thread::spawn(move || driver.run(receiver));
        Ok(Replica { inputs, published, changed })
    }

    /// Locks the published state machine and status.
    pub fn lock(&self) -> MutexGuard<'_, Published<M>> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the state machine or the status may have changed, for at most `timeout`.
    pub fn wait_for_change<'a>(
        &self,
        guard: MutexGuard<'a, Published<M>>,
        timeout: Duration,
    ) -> MutexGuard<'a, Published<M>> {
        let result = self.changed.wait_timeout(guard, timeout);
        result.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Passes a message from a peer to the replica.
    pub fn step(&self, message: Message) {
        // A closed channel means that the process is exiting.
        let _ = self.inputs.send(Input::Message(message));
    }

    /// Proposes a command and waits until it is applied.
    pub fn propose(
        &self,
        command: M::Command,
        timeout: Duration,
    ) -> Result<M::Answer, RequestError> {
        self.request(timeout, Verdict::MayHaveRun, |reply| Input::Propose(command, reply))
    }

    /// Proposes a command and waits until it is applied, and until it would survive the loss of one more
    /// disk, see [`ReplicaStatus::settled`]. What a caller is told as done must be proposed so.
    pub fn propose_settled(
        &self,
        command: M::Command,
        timeout: Duration,
    ) -> Result<M::Answer, RequestError> {
        let deadline = BootInstant::now() + timeout;
        let answer = self.propose(command, timeout)?;
        match self.wait_until_settled(deadline) {
            true => Ok(answer),
            false => Err(RequestError::Unanswered { verdict: Verdict::MayHaveRun }),
        }
    }

    /// Waits until everything applied so far is settled; returns whether it is. A replica that no longer
    /// leads cannot tell.
    fn wait_until_settled(&self, deadline: BootInstant) -> bool {
        let started = BootInstant::now();
        let mut published = self.lock();
        let applied = published.status.applied;
        let voters_behind = published.status.voters_behind(applied);
        let waits_for = |status: &ReplicaStatus| status.is_leader && status.settled < applied;
        while waits_for(&published.status) && BootInstant::now() < deadline {
            let left = deadline.saturating_duration_since(BootInstant::now());
            published = self.wait_for_change(published, left);
        }
        let is_settled = published.status.is_leader && published.status.settled >= applied;
        let held_by = published.status.held_by(applied);
        let membership = published.status.membership.clone();
        drop(published);
        let waited = started.elapsed();
        let waited_ms = waited.as_millis() as u64;
        if is_settled {
            let Membership { voters, learners } = &membership;
            info!(applied, ?held_by, ?voters, ?learners, waited_ms, "order_settled");
        }
        if !is_settled || waited >= SLOW_SETTLEMENT {
            info!(applied, is_settled, waited_ms, ?voters_behind, "settlement_slow");
        }
        is_settled
    }

    /// Waits until a quorum has confirmed that this replica leads and it has applied everything
    /// committed before the call. Returns the applied index.
    pub fn read(&self, timeout: Duration) -> Result<u64, RequestError> {
        self.request(timeout, Verdict::NotRun, Input::Read)
    }

    /// Proposes a new membership and waits until it is committed. Returns its log index.
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

    /// Does not stand for election any more, since this process stops: leadership that returns to it would
    /// have to be handed over once more.
    pub fn retire(&self) {
        // A closed channel means that the process is exiting.
        let _ = self.inputs.send(Input::Retire);
    }

    /// Transfers leadership to the most up-to-date voter before a planned shutdown and waits until
    /// this replica no longer leads. Does nothing in a group with a single voter.
    pub fn transfer_leadership(&self, timeout: Duration) {
        if self.lock().status.membership.voters.len() <= 1 {
            return;
        }
        let (done, started) = sync_channel(1);
        let _ = self.inputs.send(Input::TransferLeadership(done));
        let _ = started.recv_timeout(timeout);
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
