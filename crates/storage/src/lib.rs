//! Durable state of one member of a replicated group.
//!
//! A store consists of a *checkpoint* (snapshot, hard state and the entries retained at that time)
//! and an append-only *log* of everything saved since. When `save` returns, its data is written and
//! synced. A failed sync is fatal to the process and never retried, because the kernel may have
//! dropped the dirty pages.
#![forbid(unsafe_code)]

mod disk;
mod journal;
mod memory;
mod record;
mod sync;

pub use disk::{open_data_folder, DataFolder, DiskStore, FolderIdentity, IDENTITY_FILE, LOCK_FILE};
pub use journal::Journal;
pub use memory::{CrashPoint, MemoryStore};
pub use record::{decode_records, encode_record, Record, TailState};

use consensus::{Entry, HardState, Snapshot};
use snafu::Snafu;
use std::io::ErrorKind;
use std::path::PathBuf;

/// State recovered from a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Retained entries, oldest first; some may be covered by the snapshot.
    pub entries: Vec<Entry>,
}

/// Errors of a store. All are fatal to the member, except those for which
/// [`StorageError::is_full`] is true.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An I/O operation failed.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Io {
        /// The operation.
        action: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file contains a damaged record that a torn write does not explain.
    #[snafu(display("{} is damaged at byte {offset}: {reason}", path.display()))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Byte offset of the damaged record.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// The folder belongs to another member or fleet.
    #[snafu(display(
        "{} belongs to {found}, not to {expected}; a member never takes over another's data",
        path.display()
    ))]
    WrongOwner {
        /// The data folder.
        path: PathBuf,
        /// Owner recorded in the folder.
        found: FolderIdentity,
        /// Member that tried to open it.
        expected: FolderIdentity,
    },
    /// The folder holds no data although the member should have some.
    #[snafu(display(
        "{} is empty: a member whose disk was lost returns under a new id, as a learner \
         (start it with --join), and only a new fleet is started with --bootstrap",
        path.display()
    ))]
    EmptyFolder {
        /// The data folder.
        path: PathBuf,
    },
    /// The folder is locked by another process.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The data folder.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether a write failed because the disk is full. Nothing of that write is kept, and it may be
    /// retried. After any other error the content of the disk is uncertain.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { action: "write", source, .. } => {
                matches!(source.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
            }
            _ => false,
        }
    }
}

/// Durable storage of one member.
pub trait LogStore {
    /// Saves and syncs the hard state and entries; keeps nothing of them if the disk is full. The
    /// entries replace stored entries from the first index on.
    fn save(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Replaces the content of the store by a snapshot, the hard state and the retained entries.
    fn checkpoint(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Number of bytes saved since the last checkpoint. The driver compacts when it grows too large.
    fn bytes_since_checkpoint(&self) -> u64;
}

/// Applies a saved record to the state being recovered.
pub(crate) fn replay(state: &mut Recovered, record: Record) {
    if let Some(hard_state) = record.hard_state {
        state.hard_state = hard_state;
    }
    if let Some(first) = record.entries.first() {
        state.entries.retain(|entry| entry.index < first.index);
    }
    state.entries.extend(record.entries);
}
