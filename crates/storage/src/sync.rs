//! Syncs of files and folders, and a line when one takes long: whatever waits for it waits as well.

use crate::{IoSnafu, StorageError};
use snafu::ResultExt;
use std::fs::File;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::warn;

/// A sync of a sound disk takes some milliseconds.
const SLOW: Duration = Duration::from_secs(1);

/// Syncs a file, or a folder, with all that is told of it.
pub(crate) fn sync_all(file: &File, path: &Path) -> Result<(), StorageError> {
    timed(path, || file.sync_all())
}

/// Syncs what a file holds.
pub(crate) fn sync_data(file: &File, path: &Path) -> Result<(), StorageError> {
    timed(path, || file.sync_data())
}

fn timed(path: &Path, sync: impl FnOnce() -> io::Result<()>) -> Result<(), StorageError> {
    let begun = Instant::now();
    sync().context(IoSnafu { action: "sync", path })?;
    let took = begun.elapsed();
    if took >= SLOW {
        warn!(path = %path.display(), took_ms = took.as_millis() as u64, "disk_sync_slow");
    }
    Ok(())
}
