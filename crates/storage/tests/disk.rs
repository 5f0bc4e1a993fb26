//! Crashes at every byte of the log, damaged records, checkpoints, and ownership of data folders.

use consensus::{Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta};
use std::fs;
use std::path::{Path, PathBuf};
use storage::{
    open_data_folder, DiskStore, FolderIdentity, Journal, LogStore, Recovered, StorageError,
};

const SAVES: u64 = 12;

fn first_snapshot() -> Snapshot {
    let membership = Membership::of_voters([1, 2, 3]);
    Snapshot { meta: SnapshotMeta { index: 0, term: 0, membership }, data: Vec::new() }
}

fn entry(index: u64) -> Entry {
    Entry { term: 1, index, payload: Payload::Command(vec![index as u8; index as usize * 7]) }
}

/// Saves one entry at a time. Returns the length of the log and the expected recovered state after
/// each save, starting before the first.
fn saved_store(folder: &Path) -> Vec<(u64, Recovered)> {
    let (mut store, mut state) = DiskStore::open(folder, first_snapshot()).unwrap();
    let mut states = vec![(0, state.clone())];
    for index in 1..=SAVES {
        let hard_state = HardState { term: index, vote: Some(1) };
        store.save(Some(hard_state), &[entry(index)]).unwrap();
        state.hard_state = hard_state;
        state.entries.push(entry(index));
        states.push((store.bytes_since_checkpoint(), state.clone()));
    }
    states
}

fn log_file(folder: &Path) -> PathBuf {
    folder.join("log-1")
}

#[test]
fn a_crash_at_any_byte_keeps_every_finished_save() {
    let original = tempfile::tempdir().unwrap();
    let states = saved_store(original.path());
    let log = fs::read(log_file(original.path())).unwrap();
    let checkpoint = fs::read(original.path().join("checkpoint-1")).unwrap();
    for length in 0..=log.len() {
        let crashed = tempfile::tempdir().unwrap();
        fs::write(crashed.path().join("checkpoint-1"), &checkpoint).unwrap();
        fs::write(log_file(crashed.path()), &log[..length]).unwrap();
        let (mut store, recovered) = DiskStore::open(crashed.path(), first_snapshot()).unwrap();
        let last_save = states.iter().rev().find(|(bytes, _)| *bytes <= length as u64).unwrap();
        assert_eq!(recovered, last_save.1, "after a crash at byte {length}");
        // A record saved after recovery must not follow the torn bytes.
        store.save(None, &[entry(99)]).unwrap();
        drop(store);
        let (_, reopened) = DiskStore::open(crashed.path(), first_snapshot()).unwrap();
        assert_eq!(reopened.entries.last(), Some(&entry(99)));
    }
}

#[test]
fn damage_in_the_middle_is_refused_with_file_and_offset() {
    let folder = tempfile::tempdir().unwrap();
    let states = saved_store(folder.path());
    let path = log_file(folder.path());
    let mut log = fs::read(&path).unwrap();
    let third_record = states[2].0;
    log[third_record as usize + 12] ^= 0x40;
    fs::write(&path, log).unwrap();
    let error = DiskStore::open(folder.path(), first_snapshot()).unwrap_err();
    match error {
        StorageError::Damaged { path: found, offset, .. } => {
            assert_eq!((found, offset), (path, third_record));
        }
        other => panic!("{other}"),
    }
}

#[test]
fn a_crash_before_a_checkpoint_is_renamed_leaves_the_old_state() {
    let folder = tempfile::tempdir().unwrap();
    let states = saved_store(folder.path());
    fs::write(folder.path().join("checkpoint-2.tmp"), b"incomplete checkpoint").unwrap();
    fs::write(folder.path().join("log-2"), b"").unwrap();
    let (_, recovered) = DiskStore::open(folder.path(), first_snapshot()).unwrap();
    assert_eq!(recovered, states.last().unwrap().1);
}

#[test]
fn a_checkpoint_bounds_the_disk_and_keeps_the_state() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, mut state) = DiskStore::open(folder.path(), first_snapshot()).unwrap();
    for index in 1..=200 {
        store.save(None, &[entry(index % 20 + 1)]).unwrap();
        if index % 20 == 0 {
            state.snapshot.meta.index = index;
            store.checkpoint(state.hard_state, &state.snapshot, &[]).unwrap();
        }
    }
    let files = fs::read_dir(folder.path()).unwrap().count();
    assert_eq!(files, 2, "only one checkpoint and one log remain");
    drop(store);
    let (_, recovered) = DiskStore::open(folder.path(), first_snapshot()).unwrap();
    assert_eq!(recovered, state);
}

#[test]
fn a_folder_is_opened_only_by_its_owner_once_and_never_empty() {
    let folder = tempfile::tempdir().unwrap();
    let identity = |member| FolderIdentity { fleet: "fares".to_owned(), member };
    let path = folder.path().join("data");
    let empty = open_data_folder(&path, &identity(1), false);
    assert!(matches!(empty, Err(StorageError::EmptyFolder { .. })));
    let open_folder = open_data_folder(&path, &identity(1), true).unwrap();
    let second = open_data_folder(&path, &identity(1), false);
    assert!(matches!(second, Err(StorageError::Locked { .. })));
    drop(open_folder);
    let other = open_data_folder(&path, &identity(2), false);
    assert!(matches!(other, Err(StorageError::WrongOwner { .. })));
    open_data_folder(&path, &identity(1), false).unwrap();
}

#[test]
fn a_failed_checkpoint_names_the_file_and_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, mut state) = DiskStore::open(folder.path(), first_snapshot()).unwrap();
    store.save(None, &[entry(1)]).unwrap();
    state.entries.push(entry(1));
    // This device cannot be synced, which simulates a failing disk.
    let next_log = folder.path().join("log-2");
    std::os::unix::fs::symlink("/dev/full", &next_log).unwrap();
    let error = store.checkpoint(state.hard_state, &state.snapshot, &[]).unwrap_err();
    assert!(error.to_string().contains("log-2"), "{error}");
    drop(store);
    let (_, recovered) = DiskStore::open(folder.path(), first_snapshot()).unwrap();
    assert_eq!(recovered, state);
}

/// A crash at every byte of a journal leaves the records before it, and further ones follow them.
#[test]
fn a_journal_keeps_what_was_appended_and_drops_a_torn_end() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, records) = Journal::<String>::open(folder.path(), "notes").unwrap();
    assert_eq!(records, Vec::<String>::new());
    let mut ends = vec![0];
    for text in ["one", "two", "three"] {
        journal.append(&text.to_owned()).unwrap();
        ends.push(journal.bytes());
    }
    drop(journal);
    let path = folder.path().join("notes");
    let whole = fs::read(&path).unwrap();
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).unwrap();
        let (mut journal, records) = Journal::<String>::open(folder.path(), "notes").unwrap();
        let complete = ends.iter().filter(|end| **end <= cut as u64).count() - 1;
        assert_eq!(records, ["one", "two", "three"][..complete], "cut at {cut}");
        journal.append(&"next".to_owned()).unwrap();
        let (_, records) = Journal::<String>::open(folder.path(), "notes").unwrap();
        assert_eq!(records.last().map(String::as_str), Some("next"), "cut at {cut}");
    }
}

#[test]
fn a_journal_is_replaced_as_a_whole_and_refuses_damage() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::<String>::open(folder.path(), "notes").unwrap();
    journal.append(&"old".to_owned()).unwrap();
    journal.replace(&"new".to_owned()).unwrap();
    journal.append(&"newer".to_owned()).unwrap();
    let (_, records) = Journal::<String>::open(folder.path(), "notes").unwrap();
    assert_eq!(records, ["new", "newer"]);
    let path = folder.path().join("notes");
    let mut bytes = fs::read(&path).unwrap();
    bytes[9] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let damaged = Journal::<String>::open(folder.path(), "notes");
    assert!(matches!(damaged, Err(StorageError::Damaged { .. })));
}
