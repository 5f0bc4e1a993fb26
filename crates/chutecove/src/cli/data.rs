//! The subcommand `chutecove data`.

use crate::cli::manifest::{is_copied, Manifest, MANIFEST_FILE};
use crate::cli::{parse_options, positional_argument};
use crate::exit::Failure;
use consensus::Payload;
use control::{CLAIM_GROUP_PREFIX, CONFIG_GROUP};
use getopts::Options;
use rollout::ConfigMachine;
use std::fs;
use std::path::{Path, PathBuf};
use storage::{open_data_folder, DataFolder, DiskStore};

const BRIEF: &str = "\
Usage: chutecove data check DIR        (verifies all files; the replica must be stopped)
       chutecove data show DIR         (identity, groups, positions, generations)
       chutecove data backup DIR DEST  (copies a stopped replica's folder, after a check)
       chutecove data restore SRC DIR  (copies a backup to an empty folder, after a check)";
const UNVERIFIED: &str = "unverified";

/// Checks, prints or copies the data folder of a control replica.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optflag("", UNVERIFIED, "restore a copy that has no manifest, which may lack its end");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let verb = positional_argument(&matches, 0, "VERB")?;
    let folder = Path::new(positional_argument(&matches, 1, "DIR")?);
    match verb {
        "check" => check(folder).map(|groups| println!("{} groups are intact", groups.len())),
        "show" => show(folder),
        "backup" => {
            let destination = Path::new(positional_argument(&matches, 2, "DEST")?);
            back_up(folder, destination)
        }
        "restore" => {
            let destination = Path::new(positional_argument(&matches, 2, "DIR")?);
            restore(folder, destination, matches.opt_present(UNVERIFIED))
        }
        _ => Err(Failure::usage(BRIEF)),
    }
}

fn list_groups(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    let listing = fs::read_dir(folder)
        .map_err(|error| Failure::usage(format!("{}: {error}", folder.display())))?;
    let is_group = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        path.is_dir() && (name == CONFIG_GROUP || name.starts_with(CLAIM_GROUP_PREFIX))
    };
    let mut groups: Vec<PathBuf> =
        listing.flatten().map(|entry| entry.path()).filter(is_group).collect();
    groups.sort();
    Ok(groups)
}

fn check(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    DataFolder::identity(folder).map_err(Failure::refused)?;
    if folder.join(MANIFEST_FILE).exists() {
        stored_manifest(folder)?;
    }
    let groups = list_groups(folder)?;
    for group in &groups {
        DiskStore::inspect(group).map_err(Failure::refused)?;
    }
    Ok(groups)
}

fn show(folder: &Path) -> Result<(), Failure> {
    let identity = DataFolder::identity(folder).map_err(Failure::refused)?;
    println!("{identity}");
    for group in list_groups(folder)? {
        let Some(state) = DiskStore::inspect(&group).map_err(Failure::refused)? else {
            continue;
        };
        let meta = &state.snapshot.meta;
        let last = state.entries.last().map_or(meta.index, |entry| entry.index);
        println!("{}", group.display());
        println!("  term {} vote {:?}", state.hard_state.term, state.hard_state.vote);
        println!("  snapshot at {} of term {}, last entry {last}", meta.index, meta.term);
        println!("  voters {:?} learners {:?}", meta.membership.voters, meta.membership.learners);
        let commands = state.entries.iter();
        let commands = commands.filter(|entry| matches!(entry.payload, Payload::Command(_)));
        println!("  {} commands after the snapshot", commands.count());
        if group.ends_with(CONFIG_GROUP) {
            show_generations(&state.snapshot.data);
        }
    }
    Ok(())
}

fn show_generations(snapshot: &[u8]) {
    let Ok(machine) = ConfigMachine::decode(snapshot) else {
        return;
    };
    for record in machine.history() {
        let digest = record.digest.short();
        println!("  generation {} {digest} by {}", record.generation, record.operator);
    }
}

fn back_up(source: &Path, destination: &Path) -> Result<(), Failure> {
    copy(source, destination)?;
    let manifest = Manifest::of_folder(source).map_err(Failure::refused)?;
    manifest.verify(destination).map_err(Failure::refused)?;
    manifest.store_in(destination).map_err(Failure::refused)?;
    println!("copied and checked");
    Ok(())
}

fn restore(source: &Path, destination: &Path, unverified: bool) -> Result<(), Failure> {
    let manifest = match unverified {
        true => Manifest::of_folder(source).map_err(Failure::refused)?,
        false => stored_manifest(source)?,
    };
    copy(source, destination)?;
    manifest.verify(destination).map_err(Failure::refused)?;
    println!("copied and checked");
    Ok(())
}

/// The manifest of a folder whose files are what it says.
fn stored_manifest(folder: &Path) -> Result<Manifest, Failure> {
    let manifest = Manifest::stored_in(folder).map_err(Failure::refused)?;
    manifest.verify(folder).map_err(Failure::refused)?;
    Ok(manifest)
}

fn copy(source: &Path, destination: &Path) -> Result<(), Failure> {
    let identity = DataFolder::identity(source).map_err(Failure::refused)?;
    // A running replica holds the lock; its files could change while they are copied.
    let _lock = open_data_folder(source, &identity, false).map_err(Failure::refused)?;
    check(source)?;
    if destination.exists()
        && fs::read_dir(destination).is_ok_and(|mut entries| entries.next().is_some())
    {
        return Err(Failure::usage(format!("{} is not empty", destination.display())));
    }
    copy_folder(source, destination)
        .map_err(|error| Failure::refused(format!("{}: {error}", destination.display())))?;
    check(destination)?;
    Ok(())
}

fn copy_folder(source: &Path, destination: &Path) -> std::io::Result<()> {
    fs::create_dir_all(destination)?;
    for entry in fs::read_dir(source)? {
        let entry = entry?;
        let target = destination.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else if is_copied(&entry.file_name().to_string_lossy()) {
            fs::copy(entry.path(), &target)?;
            fs::File::open(&target)?.sync_all()?;
        }
    }
    fs::File::open(destination)?.sync_all()
}
