//! Stores the applied configuration on the node's disk, if it has one.
//!
//! A configuration is saved and synced before it is applied, so that a restart never returns to an
//! older one and succeeds even if no relay is reachable.

use crate::core::PreparedConfig;
use bundle::{Bundle, Digest};
use speedy::{Readable, Writable};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use storage::{decode_records, encode_record};

const FILE_NAME: &str = "applied";

#[derive(Readable, Writable)]
struct AppliedConfig {
    generation: u64,
    digest: Digest,
    objects: Vec<u8>,
}

/// Loads the applied configuration; `None` if there is none or the file is damaged. The proxy then
/// starts like one without a disk and requires a confirmed configuration.
pub(crate) fn load(dir: &Path) -> io::Result<Option<PreparedConfig>> {
    fs::create_dir_all(dir)?;
    let bytes = match fs::read(dir.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let (mut records, _) = decode_records::<AppliedConfig>(&bytes);
    let Some(applied) = records.pop() else {
        return Ok(None);
    };
    let Ok(bundle) = Bundle::decode(&applied.objects) else {
        return Ok(None);
    };
    let intact = bundle.digest() == applied.digest;
    Ok(intact.then_some(PreparedConfig { generation: applied.generation, bundle }))
}

/// Saves and syncs a configuration that is about to be applied.
pub(crate) fn save(dir: &Path, prepared: &PreparedConfig) -> io::Result<()> {
    let applied = AppliedConfig {
        generation: prepared.generation,
        digest: prepared.bundle.digest(),
        objects: prepared.bundle.encode(),
    };
    let temp_path: PathBuf = dir.join(format!("{FILE_NAME}.tmp"));
    let mut file = File::create(&temp_path)?;
    file.write_all(&encode_record(&applied))?;
    file.sync_all()?;
    fs::rename(&temp_path, dir.join(FILE_NAME))?;
    File::open(dir)?.sync_all()
}
