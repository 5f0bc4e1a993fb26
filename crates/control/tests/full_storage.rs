//! A replica whose store has no room: it stands still, says so, and goes on once there is room.

use consensus::{Config, Entry, HardState, Membership, Snapshot, SnapshotMeta};
use control::{Replica, ReplicaParameters, RequestError, StateMachine};
use std::io::{Error, ErrorKind};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use storage::{LogStore, MemoryStore, StorageError};

/// Longest wait for anything; only a broken replica comes near it.
const PATIENCE: Duration = Duration::from_secs(30);
const ONLY_MEMBER: u64 = 1;

/// How often a state was encoded, by tests whose replicas make checkpoints.
static ENCODED: AtomicU64 = AtomicU64::new(0);

/// Adds up what it is told.
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

/// A store that has no room, or fails to sync, while it is told so.
struct Failing {
    store: MemoryStore,
    full: Arc<AtomicBool>,
    /// Whether there is room for the log, and none for a checkpoint.
    full_for_checkpoints: Arc<AtomicBool>,
}

impl Failing {
    fn check(&self, full: &AtomicBool) -> Result<(), StorageError> {
        if !full.load(Ordering::SeqCst) {
            return Ok(());
        }
        let source = Error::from(ErrorKind::StorageFull);
        Err(StorageError::Io { action: "write", path: PathBuf::from("log-1"), source })
    }
}

impl LogStore for Failing {
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
    let store = Failing { store, full, full_for_checkpoints };
    Replica::start_with_store(store, recovered, parameters, |_| {}).expect("started")
}

/// Asks until the answer is this one.
fn wait<T: PartialEq + std::fmt::Debug>(what: &str, expected: T, ask: impl Fn() -> T) {
    let end = Instant::now() + PATIENCE;
    loop {
        let answer = ask();
        if answer == expected {
            return;
        }
        assert!(Instant::now() < end, "{what}: {answer:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_replica_without_room_stands_still_and_goes_on_later() {
    let full = Arc::new(AtomicBool::new(false));
    let replica = start(&full);
    wait("it leads", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(3, PATIENCE), Ok(3));

    full.store(true, Ordering::SeqCst);
    let during = replica.propose(4, Duration::from_millis(200));
    assert!(matches!(during, Err(RequestError::Unanswered { .. })), "{during:?}");
    assert!(replica.lock().status.storage_full);
    assert!(!replica.lock().status.is_leader, "it can keep no promise");
    let refused = Err(RequestError::NotLeader { leader: None });
    assert_eq!(replica.propose(5, PATIENCE), refused, "refused clearly, and at once");
    assert!(replica.read(PATIENCE).is_err());
    assert_eq!(replica.lock().machine.0, 3, "what is in force is served on");

    full.store(false, Ordering::SeqCst);
    wait("it has room", false, || replica.lock().status.storage_full);
    wait("it leads again", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(1, PATIENCE), Ok(8), "the order without an answer was kept");
}

#[test]
fn a_checkpoint_without_room_is_counted_and_tried_again_a_second_later() {
    let full_for_checkpoints = Arc::new(AtomicBool::new(true));
    let replica = start_with(&Arc::default(), &full_for_checkpoints, 1);
    wait("it leads", true, || replica.lock().status.is_leader);
    assert_eq!(replica.propose(3, PATIENCE), Ok(3), "the log has room");
    let postponed = || replica.lock().status.checkpoints_postponed;
    wait("it is counted", true, || postponed() > 0);
    let (begun, before) = (Instant::now(), ENCODED.load(Ordering::SeqCst));
    for _ in 0..50 {
        replica.propose(1, PATIENCE).expect("orders go on");
    }
    let tries = ENCODED.load(Ordering::SeqCst) - before;
    assert!(tries <= begun.elapsed().as_secs() + 1, "{tries} tries in {:?}", begun.elapsed());

    full_for_checkpoints.store(false, Ordering::SeqCst);
    wait("it is made", true, || {
        replica.propose(1, PATIENCE).expect("orders go on");
        ENCODED.load(Ordering::SeqCst) > before + tries + 1
    });
    let held = postponed();
    replica.propose(1, PATIENCE).expect("orders go on");
    assert_eq!(postponed(), held);
}

#[test]
fn only_a_write_without_room_may_be_tried_again() {
    let io = |action, kind| {
        let source = Error::from(kind);
        StorageError::Io { action, path: PathBuf::from("log-1"), source }
    };
    assert!(io("write", ErrorKind::StorageFull).is_full());
    assert!(io("write", ErrorKind::QuotaExceeded).is_full());
    assert!(!io("sync", ErrorKind::StorageFull).is_full(), "what is on the disk is not known");
    assert!(!io("truncate", ErrorKind::StorageFull).is_full());
    assert!(!io("write", ErrorKind::PermissionDenied).is_full());
}
