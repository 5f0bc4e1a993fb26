//! The configuration in force, on the node's disk if it has one.
//!
//! It is saved and synced before it is put in force, so that a restart never goes back and works
//! even when every relay is out of reach.

use crate::core::PreparedConfig;
use bundle::{Bundle, Digest};
use speedy::{Readable, Writable};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use storage::{decode_records, encode_record};

const FILE_NAME: &str = "applied";

#[derive(Readable, Writable)]
struct Applied {
    generation: u64,
    digest: Digest,
    objects: Vec<u8>,
}

/// Reads what was in force; `None` if nothing was, or if the file is damaged: the proxy then
/// starts like one without a disk and asks for confirmation.
pub(crate) fn load(folder: &Path) -> io::Result<Option<PreparedConfig>> {
    fs::create_dir_all(folder)?;
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let (mut records, _) = decode_records::<Applied>(&bytes);
    let Some(applied) = records.pop() else {
        return Ok(None);
    };
    let Ok(bundle) = Bundle::decode(&applied.objects) else {
        return Ok(None);
    };
    let whole = bundle.digest() == applied.digest;
    Ok(whole.then_some(PreparedConfig { generation: applied.generation, bundle }))
}

/// Saves and syncs what will be in force.
pub(crate) fn save(folder: &Path, prepared: &PreparedConfig) -> io::Result<()> {
    let applied = Applied {
        generation: prepared.generation,
        digest: prepared.bundle.digest(),
        objects: prepared.bundle.encode(),
    };
    let temporary: PathBuf = folder.join(format!("{FILE_NAME}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(&encode_record(&applied))?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
