//! Data folders and stores on disk: the files `identity`, `checkpoint-N` and `log-N`.

use crate::record::{decode_records, encode_record, Record, TailState};
use crate::sync::{sync_all, sync_data};
use crate::{
    replay, DamagedSnafu, EmptyFolderSnafu, IoSnafu, LockedSnafu, LogStore, Recovered,
    StorageError, WrongOwnerSnafu,
};
use consensus::{Entry, HardState, Snapshot};
use snafu::{ensure, ResultExt};
use speedy::{Readable, Writable};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Name of the file that records the owner of a data folder.
pub const IDENTITY_FILE: &str = "identity";
/// Name of the file by which a process holds a data folder.
pub const LOCK_FILE: &str = "lock";
const CHECKPOINT_PREFIX: &str = "checkpoint-";
const LOG_PREFIX: &str = "log-";

/// Owner of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FolderIdentity {
    /// Name of the fleet.
    pub fleet: String,
    /// Id of the member.
    pub member: u64,
}

impl fmt::Display for FolderIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "member {} of fleet '{}'", self.member, self.fleet)
    }
}

#[derive(Readable, Writable)]
struct Checkpoint {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

/// A member's data folder, locked against other processes until this value is dropped.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

/// Opens and locks a member's data folder. `create` is true for `--bootstrap` and `--join`, which
/// may create the folder, and false for a member that must already have its data.
pub fn open_data_folder(
    path: &Path,
    identity: &FolderIdentity,
    create: bool,
) -> Result<DataFolder, StorageError> {
    let identity_path = path.join(IDENTITY_FILE);
    let exists = identity_path.exists();
    ensure!(exists || create, EmptyFolderSnafu { path });
    fs::create_dir_all(path).context(IoSnafu { action: "create", path })?;
    let lock_path = path.join(LOCK_FILE);
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&lock_path)
        .context(IoSnafu { action: "open", path: &lock_path })?;
    ensure!(lock.try_lock().is_ok(), LockedSnafu { path });
    if !exists {
        write_atomically(path, IDENTITY_FILE, &encode_record(identity))?;
    }
    let found = read_identity(path)?;
    ensure!(found == *identity, WrongOwnerSnafu { path, found, expected: identity.clone() });
    Ok(DataFolder { path: path.to_owned(), _lock: lock })
}

impl DataFolder {
    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the owner of the folder at `path` without locking it.
    pub fn identity(path: &Path) -> Result<FolderIdentity, StorageError> {
        read_identity(path)
    }
}

fn read_identity(folder: &Path) -> Result<FolderIdentity, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    let bytes = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
    let (mut records, _) = decode_records::<FolderIdentity>(&bytes);
    let damaged =
        DamagedSnafu { path, offset: 0u64, reason: "the identity record cannot be decoded" };
    records.pop().ok_or_else(|| damaged.build())
}

/// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
pub(crate) fn write_atomically(
    folder: &Path,
    name: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = folder.join(format!("{name}.tmp"));
    let path = folder.join(name);
    let mut file =
        File::create(&temporary).context(IoSnafu { action: "create", path: &temporary })?;
    file.write_all(bytes).context(IoSnafu { action: "write", path: &temporary })?;
    sync_all(&file, &temporary)?;
    fs::rename(&temporary, &path).context(IoSnafu { action: "rename", path: &temporary })?;
    sync_folder(folder)
}

pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).context(IoSnafu { action: "open", path: folder })?;
    sync_all(&handle, folder)
}

/// A store on disk, in a folder of its own.
#[derive(Debug)]
pub struct DiskStore {
    folder: PathBuf,
    sequence: u64,
    log: File,
    log_bytes: u64,
}

impl DiskStore {
    /// Opens or creates the store of one group. `initial` is used only if nothing is stored yet.
    pub fn open(folder: &Path, initial: Snapshot) -> Result<(DiskStore, Recovered), StorageError> {
        fs::create_dir_all(folder).context(IoSnafu { action: "create", path: folder })?;
        if let Some(parent) = folder.parent() {
            // A new folder is durable only once its parent is synced, whatever was synced in it.
            sync_folder(parent)?;
        }
        let Some(sequence) = latest_checkpoint(folder)? else {
            return Self::create(folder, initial);
        };
        let mut state = read_checkpoint(folder, sequence)?;
        let log_path = folder.join(format!("{LOG_PREFIX}{sequence}"));
        let log_bytes = replay_log(&log_path, &mut state)?;
        let log = open_log(&log_path)?;
        log.set_len(log_bytes).context(IoSnafu { action: "truncate", path: &log_path })?;
        sync_all(&log, &log_path)?;
        sync_folder(folder)?;
        remove_older(folder, sequence)?;
        let store = DiskStore { folder: folder.to_owned(), sequence, log, log_bytes };
        Ok((store, state))
    }

    fn create(folder: &Path, initial: Snapshot) -> Result<(DiskStore, Recovered), StorageError> {
        let state =
            Recovered { hard_state: HardState::default(), snapshot: initial, entries: Vec::new() };
        let log = write_checkpoint(folder, 1, state.hard_state, &state.snapshot, &[])?;
        let store = DiskStore { folder: folder.to_owned(), sequence: 1, log, log_bytes: 0 };
        Ok((store, state))
    }

    /// Reads a store without changing it, for `chutecove data`. `None` if nothing is stored.
    pub fn inspect(folder: &Path) -> Result<Option<Recovered>, StorageError> {
        let Some(sequence) = latest_checkpoint(folder)? else {
            return Ok(None);
        };
        let mut state = read_checkpoint(folder, sequence)?;
        replay_log(&folder.join(format!("{LOG_PREFIX}{sequence}")), &mut state)?;
        Ok(Some(state))
    }
}

pub(crate) fn open_log(path: &Path) -> Result<File, StorageError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(IoSnafu { action: "open", path })
}

fn latest_checkpoint(folder: &Path) -> Result<Option<u64>, StorageError> {
    let sequences = numbered_files(folder, CHECKPOINT_PREFIX)?;
    Ok(sequences.into_iter().max())
}

fn numbered_files(folder: &Path, prefix: &str) -> Result<Vec<u64>, StorageError> {
    let files = fs::read_dir(folder).context(IoSnafu { action: "list", path: folder })?;
    let mut numbers = Vec::new();
    for file in files {
        let file = file.context(IoSnafu { action: "list", path: folder })?;
        let name = file.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(prefix));
        numbers.extend(number.and_then(|digits| digits.parse::<u64>().ok()));
    }
    Ok(numbers)
}

fn read_checkpoint(folder: &Path, sequence: u64) -> Result<Recovered, StorageError> {
    let path = folder.join(format!("{CHECKPOINT_PREFIX}{sequence}"));
    let bytes = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
    let (mut records, tail) = decode_records::<Checkpoint>(&bytes);
    let reason = "the checkpoint is incomplete or its checksum does not match";
    ensure!(
        tail == TailState::Clean && records.len() == 1,
        DamagedSnafu { path, offset: 0u64, reason }
    );
    let checkpoint = records.remove(0);
    Ok(Recovered {
        hard_state: checkpoint.hard_state,
        snapshot: checkpoint.snapshot,
        entries: checkpoint.entries,
    })
}

/// Replays a log into `state`. Returns the length of the log without a torn tail.
fn replay_log(path: &Path, state: &mut Recovered) -> Result<u64, StorageError> {
    if !path.exists() {
        return Ok(0);
    }
    let bytes = fs::read(path).context(IoSnafu { action: "read", path })?;
    let (records, tail) = decode_records::<Record>(&bytes);
    let valid_bytes = match tail {
        TailState::Clean => bytes.len() as u64,
        TailState::Torn(offset) => offset,
        TailState::Damaged(offset) => {
            let reason = "a record is damaged, but later records are intact";
            return DamagedSnafu { path, offset, reason }.fail();
        }
    };
    for record in records {
        replay(state, record);
    }
    Ok(valid_bytes)
}

fn write_checkpoint(
    folder: &Path,
    sequence: u64,
    hard_state: HardState,
    snapshot: &Snapshot,
    entries: &[Entry],
) -> Result<File, StorageError> {
    let log_path = folder.join(format!("{LOG_PREFIX}{sequence}"));
    let log = open_log(&log_path)?;
    sync_all(&log, &log_path)?;
    let checkpoint =
        Checkpoint { hard_state, snapshot: snapshot.clone(), entries: entries.to_vec() };
    let name = format!("{CHECKPOINT_PREFIX}{sequence}");
    write_atomically(folder, &name, &encode_record(&checkpoint))?;
    Ok(log)
}

fn remove_older(folder: &Path, sequence: u64) -> Result<(), StorageError> {
    for prefix in [CHECKPOINT_PREFIX, LOG_PREFIX] {
        for number in numbered_files(folder, prefix)? {
            if number < sequence {
                let path = folder.join(format!("{prefix}{number}"));
                fs::remove_file(&path).context(IoSnafu { action: "remove", path: &path })?;
            }
        }
    }
    Ok(())
}

impl LogStore for DiskStore {
    fn save(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let record = Record { hard_state, entries: entries.to_vec() };
        let bytes = encode_record(&record);
        let path = self.folder.join(format!("{LOG_PREFIX}{}", self.sequence));
        if let Err(source) = self.log.write_all(&bytes) {
            // A partially written record must not precede the next one.
            let truncated = self.log.set_len(self.log_bytes);
            truncated.context(IoSnafu { action: "truncate", path: &path })?;
            return Err(source).context(IoSnafu { action: "write", path: &path });
        }
        sync_data(&self.log, &path)?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    fn checkpoint(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let next_sequence = self.sequence + 1;
        self.log = write_checkpoint(&self.folder, next_sequence, hard_state, snapshot, entries)?;
        self.sequence = next_sequence;
        self.log_bytes = 0;
        remove_older(&self.folder, next_sequence)
    }

    fn bytes_since_checkpoint(&self) -> u64 {
        self.log_bytes
    }
}
