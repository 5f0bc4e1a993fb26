//! A replica whose disk is full stops taking part in consensus, reports it in its status, and
//! resumes once there is space.

use consensus::{Config, Entry, HardState, Membership, Snapshot, SnapshotMeta};
use control::{Replica, ReplicaParameters, RequestError, StateMachine};
use std::io::{Error, ErrorKind};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use storage::{LogStore, MemoryStore, StorageError};

/// Maximum wait for any condition; only a faulty replica comes close to it.
const TIMEOUT: Duration = Duration::from_secs(30);
const ONLY_MEMBER: u64 = 1;

/// Number of times a state was encoded; counted in tests whose replicas make checkpoints.
static ENCODED: AtomicU64 = AtomicU64::new(0);

/// State machine that adds up its commands.
#[derive(Default)]
struct Sum(u64);

impl StateMachine for Sum {
    type Command = u64;
    type Answer = u64;

    fn apply(&mut self, _: u64, command: &u64) -> u64 {
        self.0 += command;
        self.0
    }

    fn encode(&self) -> Vec<u8> {
        ENCODED.fetch_add(1, Ordering::SeqCst);
        self.0.to_le_bytes().to_vec()
    }

    fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        Ok(Sum(bytes.try_into().map_or(0, u64::from_le_bytes)))
    }
}

/// A store that reports a full disk while a flag is set.
struct FullStore {
    store: MemoryStore,
    /// Whether every write fails.
    full: Arc<AtomicBool>,
    /// Whether checkpoints fail while log writes succeed.
    full_for_checkpoints: Arc<AtomicBool>,
}

impl FullStore {
    fn check(&self, full: &AtomicBool) -> Result<(), StorageError> {
        if !full.load(Ordering::SeqCst) {
            return Ok(());
        }
        let source = Error::from(ErrorKind::StorageFull);
        Err(StorageError::Io { action: "write", path: PathBuf::from("log-1"), source })
    }
}

impl LogStore for FullStore {
    fn save(&mut self, state: Option<HardState>, entries: &[Entry]) -> Result<(), StorageError> {
        self.check(&self.full)?;
        self.store.save(state, entries)
    }

    fn checkpoint(
        &mut self,
        state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.check(&self.full)?;
        self.check(&self.full_for_checkpoints)?;
        self.store.checkpoint(state, snapshot, entries)
    }

    fn bytes_since_checkpoint(&self) -> u64 {
        self.store.bytes_since_checkpoint()
    }
}

fn start(full: &Arc<AtomicBool>) -> Replica<Sum> {
    start_with(full, &Arc::default(), 1 << 20)
}

fn start_with(
    full: &Arc<AtomicBool>,
    full_for_checkpoints: &Arc<AtomicBool>,
    checkpoint_bytes: u64,
) -> Replica<Sum> {
    let membership = Membership::of_voters([ONLY_MEMBER]);
    let meta = SnapshotMeta { index: 0, term: 0, membership: membership.clone() };
    let mut store = MemoryStore::new(Snapshot { meta, data: Vec::new() });
    let recovered = store.recover();
    let parameters = ReplicaParameters {
        group: "sums".to_owned(),
        folder: PathBuf::new(),
        consensus: Config {
            id: ONLY_MEMBER,
            election_ticks: 5,
            heartbeat_ticks: 1,
            seed: 1,
            weakness: None,
        },
        initial: membership,
        tick: Duration::from_millis(5),
        checkpoint_bytes,
    };
    let (full, full_for_checkpoints) = (full.clone(), full_for_checkpoints.clone());
    let store = FullStore { store, full, full_for_checkpoints };
    Replica::start_with_store(store, recovered, parameters, |_| {}).expect("started")
}

/// Polls until `poll` returns `expected`.
fn wait_until<T: PartialEq + std::fmt::Debug>(what: &str, expected: T, poll: impl Fn() -> T) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let value = poll();
        if value == expected {
            return;
        }
        assert!(Instant::now() < deadline, "{what}: {value:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_replica_without_room_stands_still_and_goes_on_later() {
    let full = Arc::new(AtomicBool::new(false));
    let replica = start(&full);
    wait_until("replica leads", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(3, TIMEOUT), Ok(3));

    full.store(true, Ordering::SeqCst);
    let during = replica.propose(4, Duration::from_millis(200));
    assert!(matches!(during, Err(RequestError::Unanswered { .. })), "{during:?}");
    assert!(replica.lock().status.storage_full);
    assert!(!replica.lock().status.is_leader, "a replica with a full disk must not lead");
    let refused = Err(RequestError::NotLeader { leader: None });
    assert_eq!(replica.propose(5, TIMEOUT), refused, "rejected immediately");
    assert!(replica.read(TIMEOUT).is_err());
    assert_eq!(replica.lock().machine.0, 3, "the applied state is still served");

    full.store(false, Ordering::SeqCst);
    wait_until("storage has space", false, || replica.lock().status.storage_full);
    wait_until("replica leads again", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(1, TIMEOUT), Ok(8), "the unanswered proposal was kept");
}

#[test]
fn a_checkpoint_without_room_is_counted_and_tried_again_a_second_later() {
    let full_for_checkpoints = Arc::new(AtomicBool::new(true));
    let replica = start_with(&Arc::default(), &full_for_checkpoints, 1);
    wait_until("replica leads", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(3, TIMEOUT), Ok(3), "log writes succeed");
    let postponed = || replica.lock().status.checkpoints_postponed;
    wait_until("postponed checkpoint is counted", true, || postponed() > 0);
    let (started, before) = (Instant::now(), ENCODED.load(Ordering::SeqCst));
    for _ in 0..50 {
        replica.propose(1, TIMEOUT).expect("proposals succeed");
    }
    let attempts = ENCODED.load(Ordering::SeqCst) - before;
    assert!(
        attempts <= started.elapsed().as_secs() + 1,
        "{attempts} attempts in {:?}",
        started.elapsed()
    );

    full_for_checkpoints.store(false, Ordering::SeqCst);
    wait_until("checkpoint is made", true, || {
        replica.propose(1, TIMEOUT).expect("proposals succeed");
        ENCODED.load(Ordering::SeqCst) > before + attempts + 1
    });
    let count = postponed();
    replica.propose(1, TIMEOUT).expect("proposals succeed");
    assert_eq!(postponed(), count);
}

#[test]
fn only_a_write_without_room_may_be_tried_again() {
    let io = |action, kind| {
        let source = Error::from(kind);
        StorageError::Io { action, path: PathBuf::from("log-1"), source }
    };
    assert!(io("write", ErrorKind::StorageFull).is_full());
    assert!(io("write", ErrorKind::QuotaExceeded).is_full());
    assert!(
        !io("sync", ErrorKind::StorageFull).is_full(),
        "after a failed sync the content on disk is unknown"
    );
    assert!(!io("truncate", ErrorKind::StorageFull).is_full());
    assert!(!io("write", ErrorKind::PermissionDenied).is_full());
}
