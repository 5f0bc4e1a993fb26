//! Tests of `chutecove data backup` and `restore`: a copy that lacks a part is refused.

use consensus::{Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta};
use control::CONFIG_GROUP;
use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use storage::{open_data_folder, DiskStore, FolderIdentity, LogStore};

const PROGRAM: &str = env!("CARGO_BIN_EXE_chutecove");
const ENTRIES: u64 = 20;

/// What is damaged in a backup, and how.
type Damage = (&'static str, fn(&Path));

/// Held while a data folder is, and while a process starts: until it runs its program, it shares the
/// files that this process has open, and with them the hold on the folder of another test.
static HELD: Mutex<()> = Mutex::new(());

fn run(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).current_dir(folder).stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = {
        let _held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
        command.spawn().expect("it starts")
    };
    child.wait_with_output().expect("it ends")
}

/// Runs a command that must succeed.
fn succeed(folder: &Path, arguments: &[&str]) {
    let output = run(folder, arguments);
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {told}");
}

/// Writes the data folder of a replica that has accepted some entries and stopped.
fn write_data(folder: &Path) {
    let _held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    let identity = FolderIdentity { fleet: "fares".to_owned(), member: 1 };
    let _folder = open_data_folder(folder, &identity, true).expect("it is created");
    let meta = SnapshotMeta { index: 0, term: 0, membership: Membership::of_voters([1]) };
    let initial = Snapshot { meta, data: Vec::new() };
    let (mut store, _) =
        DiskStore::open(&folder.join(CONFIG_GROUP), initial).expect("it is created");
    let entry = |index| Entry { term: 1, index, payload: Payload::Command(vec![index as u8; 100]) };
    let entries: Vec<Entry> = (1..=ENTRIES).map(entry).collect();
    for entry in &entries {
        let hard_state = HardState { term: 1, vote: Some(1) };
        store.save(Some(hard_state), std::slice::from_ref(entry)).expect("the disk has room");
    }
}

fn last_entry(folder: &Path) -> u64 {
    let state = DiskStore::inspect(&folder.join(CONFIG_GROUP)).expect("it is read");
    state.expect("it is there").entries.last().map_or(0, |entry| entry.index)
}

#[test]
fn a_backup_is_restored_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    write_data(&path.join("data"));
    succeed(path, &["data", "backup", "data", "backup"]);
    succeed(path, &["data", "check", "backup"]);
    succeed(path, &["data", "restore", "backup", "restored"]);
    assert_eq!(last_entry(&path.join("restored")), ENTRIES);
    assert!(!path.join("restored/manifest").exists(), "it is of the backup only");
}

/// Guards against half of a copy that is restored as a whole one: a log that ends early reads like one
/// that a crash cut, so accepted entries were gone without a word.
#[test]
fn a_backup_that_lacks_a_part_is_refused() {
    let damages: [Damage; 5] = [
        ("the end of the log is missing", |backup| {
            let log = backup.join(CONFIG_GROUP).join("log-1");
            let half = fs::metadata(&log).expect("it is there").len() / 2;
            let file = fs::OpenOptions::new().write(true).open(&log).expect("it opens");
            file.set_len(half).expect("it is cut");
        }),
        ("the log is missing", |backup| {
            fs::remove_file(backup.join(CONFIG_GROUP).join("log-1")).expect("it is there");
        }),
        ("a group is missing", |backup| {
            fs::remove_dir_all(backup.join(CONFIG_GROUP)).expect("it is there");
        }),
        ("the manifest is missing", |backup| {
            fs::remove_file(backup.join("manifest")).expect("it is there");
        }),
        ("the manifest is cut", |backup| {
            fs::write(backup.join("manifest"), "0123").expect("it is written");
        }),
    ];
    for (name, damage) in damages {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path();
        write_data(&path.join("data"));
        succeed(path, &["data", "backup", "data", "backup"]);
        damage(&path.join("backup"));
        let output = run(path, &["data", "restore", "backup", "restored"]);
        assert_eq!(output.status.code(), Some(1), "{name}");
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(told.contains("manifest"), "{name}: {told}");
        assert!(!path.join("restored").exists(), "{name}: nothing is changed");
    }
}

#[test]
fn a_copy_without_manifest_is_restored_only_on_request() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    write_data(&path.join("data"));
    let refused = run(path, &["data", "restore", "data", "restored"]);
    assert_eq!(refused.status.code(), Some(1));
    succeed(path, &["data", "restore", "--unverified", "data", "restored"]);
    assert_eq!(last_entry(&path.join("restored")), ENTRIES);
}
