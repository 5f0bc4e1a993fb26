//! Syncs of files and folders. Slow syncs are logged, because everything that waits for the data to be
//! durable is delayed by them.

use crate::{IoSnafu, StorageError};
use snafu::ResultExt;
use std::fs::File;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::warn;

/// Duration from which a sync is logged as slow. A sync of a healthy disk takes some milliseconds.
const SLOW_SYNC: Duration = Duration::from_secs(1);

/// Syncs the content and metadata of a file or folder.
pub(crate) fn sync_all(file: &File, path: &Path) -> Result<(), StorageError> {
    timed(path, || file.sync_all())
}

/// Syncs the content of a file.
pub(crate) fn sync_data(file: &File, path: &Path) -> Result<(), StorageError> {
    timed(path, || file.sync_data())
}

fn timed(path: &Path, sync: impl FnOnce() -> io::Result<()>) -> Result<(), StorageError> {
    let started = Instant::now();
    sync().context(IoSnafu { action: "sync", path })?;
    let elapsed = started.elapsed();
    if elapsed >= SLOW_SYNC {
        warn!(path = %path.display(), took_ms = elapsed.as_millis() as u64, "disk_sync_slow");
    }
    Ok(())
}
