//! The manifest of a backup: each file with its digest and length.
//!
//! A log that ends within a record is what a crash leaves, and is read up to there. In a copy the same
//! means that a part is missing, which only the manifest tells. It is written last, so that a backup that
//! broke off has none.

use ring::digest::{digest, SHA256};
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use storage::LOCK_FILE;

/// Name of the manifest in the folder of a backup.
pub const MANIFEST_FILE: &str = "manifest";

/// Why a folder is not what its manifest says.
#[derive(Debug, Snafu)]
pub enum ManifestError {
    /// A file or folder cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// There is no manifest.
    #[snafu(display("{} has no manifest: the backup broke off, or was not made by `data backup`", path.display()))]
    Missing {
        /// The folder.
        path: PathBuf,
    },
    /// A line of the manifest cannot be read.
    #[snafu(display("{}: line {line} cannot be read", path.display()))]
    Malformed {
        /// The manifest.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
    },
    /// The files are not those of the manifest.
    #[snafu(display("{}: {file} is missing, changed or not in the manifest", path.display()))]
    Differs {
        /// The folder.
        path: PathBuf,
        /// First file that differs.
        file: String,
    },
}

/// What the manifest says of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FileDigest {
    /// SHA-256 of the content, in hexadecimal.
    digest: String,
    /// Length in bytes.
    bytes: u64,
}

/// Files by their path within the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    files: BTreeMap<String, FileDigest>,
}

impl Manifest {
    /// Reads all files of a folder but those that belong to no copy.
    pub fn of_folder(folder: &Path) -> Result<Self, ManifestError> {
        let mut files = BTreeMap::new();
        read_folder(folder, "", &mut files)?;
        Ok(Manifest { files })
    }

    /// Reads the manifest that is stored in a folder.
    pub fn stored_in(folder: &Path) -> Result<Self, ManifestError> {
        let path = folder.join(MANIFEST_FILE);
        let text = match fs::read_to_string(&path) {
            Err(error) if error.kind() == ErrorKind::NotFound => {
                return MissingSnafu { path: folder }.fail();
            }
            read => read.context(IoSnafu { path: &path })?,
        };
        let mut files = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let malformed = MalformedSnafu { path: &path, line: index + 1 };
            let (file_digest, name) = parse_line(line).context(malformed)?;
            files.insert(name, file_digest);
        }
        Ok(Manifest { files })
    }

    /// Checks that a folder has exactly these files.
    pub fn verify(&self, folder: &Path) -> Result<(), ManifestError> {
        let found = Manifest::of_folder(folder)?;
        let names = self.files.keys().chain(found.files.keys());
        let differing = names.clone().find(|name| self.files.get(*name) != found.files.get(*name));
        let file = differing.cloned().unwrap_or_default();
        ensure!(differing.is_none(), DiffersSnafu { path: folder, file });
        Ok(())
    }

    /// Stores the manifest in a folder, synced; it is there as a whole or not at all.
    pub fn store_in(&self, folder: &Path) -> Result<(), ManifestError> {
        let path = folder.join(MANIFEST_FILE);
        let temporary = folder.join(format!("{MANIFEST_FILE}.tmp"));
        let context = || IoSnafu { path: &path };
        let mut file = File::create(&temporary).with_context(|_| context())?;
        file.write_all(self.to_string().as_bytes()).with_context(|_| context())?;
        file.sync_all().with_context(|_| context())?;
        fs::rename(&temporary, &path).with_context(|_| context())?;
        let handle = File::open(folder).with_context(|_| context())?;
        handle.sync_all().with_context(|_| context())
    }
}

impl fmt::Display for Manifest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, FileDigest { digest, bytes }) in &self.files {
            writeln!(f, "{digest} {bytes} {name}")?;
        }
        Ok(())
    }
}

fn parse_line(line: &str) -> Option<(FileDigest, String)> {
    let (digest, rest) = line.split_once(' ')?;
    let (bytes, name) = rest.split_once(' ')?;
    let bytes = u64::from_str(bytes).ok()?;
    Some((FileDigest { digest: digest.to_owned(), bytes }, name.to_owned()))
}

/// Whether a file of a data folder belongs to a copy of it.
pub fn is_copied(name: &str) -> bool {
    name != MANIFEST_FILE && name != LOCK_FILE
}

fn read_folder(
    folder: &Path,
    prefix: &str,
    files: &mut BTreeMap<String, FileDigest>,
) -> Result<(), ManifestError> {
    let context = || IoSnafu { path: folder };
    for entry in fs::read_dir(folder).with_context(|_| context())? {
        let entry = entry.with_context(|_| context())?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = entry.path();
        if path.is_dir() {
            read_folder(&path, &format!("{prefix}{name}/"), files)?;
        } else if is_copied(&name) {
            let content = fs::read(&path).context(IoSnafu { path: &path })?;
            files.insert(format!("{prefix}{name}"), digest_of(&content));
        }
    }
    Ok(())
}

fn digest_of(content: &[u8]) -> FileDigest {
    let hash = digest(&SHA256, content);
    let digest = hash.as_ref().iter().map(|byte| format!("{byte:02x}")).collect();
    FileDigest { digest, bytes: content.len() as u64 }
}
