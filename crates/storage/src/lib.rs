//! Durable state of one member of a replicated group.
//!
//! A store holds a *checkpoint* (snapshot, hard state and the entries kept at that time) and an
//! append-only *log* of what was saved since. Everything a `save` was given is on disk, synced,
//! when it returns; a failed sync is fatal to the process and never retried, because the kernel
//! may have dropped the dirty pages.
#![forbid(unsafe_code)]

mod disk;
mod memory;
mod record;
mod sync;

pub use disk::{open_data_folder, DataFolder, DiskStore, FolderIdentity, IDENTITY_FILE};
pub use memory::{CrashPoint, MemoryStore};
pub use record::{decode_records, encode_record, Record, TailState};

use consensus::{Entry, HardState, Snapshot};
use snafu::Snafu;
use std::io::ErrorKind;
use std::path::PathBuf;

/// What recovery found.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries kept, oldest first; some may be covered by the snapshot.
    pub entries: Vec<Entry>,
}

/// Errors of the store; all but [`StorageError::is_full`] are fatal to the member that meets them.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The operating system refused.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file.
        path: PathBuf,
        /// Why it failed.
        source: std::io::Error,
    },
    /// A record in the middle of a file does not have its checksum.
    #[snafu(display("{} is damaged at byte {offset}: {reason}", path.display()))]
    Damaged {
        /// Which file.
        path: PathBuf,
        /// Where the damaged record begins.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The folder belongs to another member, group or fleet.
    #[snafu(display(
        "{} belongs to {found}, not to {expected}; a member never takes over another's data",
        path.display()
    ))]
    WrongOwner {
        /// Which folder.
        path: PathBuf,
        /// Owner recorded in it.
        found: FolderIdentity,
        /// Owner that tried to open it.
        expected: FolderIdentity,
    },
    /// The folder is empty although the member should have data.
    #[snafu(display(
        "{} is empty: a member whose disk was lost returns under a new id, as a learner \
         (start it with --join), and only a new fleet is started with --bootstrap",
        path.display()
    ))]
    EmptyFolder {
        /// Which folder.
        path: PathBuf,
    },
    /// Another process holds the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// Which folder.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether there was no room for a write. Nothing of it is kept, and it may be tried again;
    /// every other error leaves open what is on the disk.
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
    /// Saves and syncs, or keeps nothing of it when the store is full; entries at or below the stored last index replace the stored tail.
    fn save(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Replaces everything by a snapshot, the hard state and the entries kept.
    fn checkpoint(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Bytes saved since the last checkpoint; the driver compacts when it grows.
    fn bytes_since_checkpoint(&self) -> u64;
}

/// Applies a saved record to the state being rebuilt.
pub(crate) fn replay(state: &mut Recovered, record: Record) {
    if let Some(hard_state) = record.hard_state {
        state.hard_state = hard_state;
    }
    if let Some(first) = record.entries.first() {
        state.entries.retain(|entry| entry.index < first.index);
    }
    state.entries.extend(record.entries);
}
