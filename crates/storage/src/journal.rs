//! A small file of records that are only appended, each of them synced.

use crate::disk::{open_log, sync_folder, write_atomically};
use crate::record::{decode_records, encode_record, TailState};
use crate::sync::{sync_all, sync_data};
use crate::{DamagedSnafu, IoSnafu, StorageError};
use snafu::ResultExt;
use speedy::{LittleEndian, Readable, Writable};
use std::fs::{self, File};
use std::io::Write;
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

/// A file of records of type `T` in a data folder.
#[derive(Debug)]
pub struct Journal<T> {
    folder: PathBuf,
    name: &'static str,
    file: File,
    bytes: u64,
    record: PhantomData<T>,
}

impl<T> Journal<T>
where
    T: Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    /// Opens or creates the file and returns its records, the oldest first. A torn record at the end,
    /// which was never reported as saved, is removed.
    pub fn open(folder: &Path, name: &'static str) -> Result<(Self, Vec<T>), StorageError> {
        let path = folder.join(name);
        let file = open_log(&path)?;
        let content = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
        let (records, tail) = decode_records::<T>(&content);
        let bytes = match tail {
            TailState::Clean => content.len() as u64,
            TailState::Torn(offset) => offset,
            TailState::Damaged(offset) => {
                let reason = "a record is damaged, but later records are intact";
                return DamagedSnafu { path, offset, reason }.fail();
            }
        };
        file.set_len(bytes).context(IoSnafu { action: "truncate", path: &path })?;
        sync_all(&file, &path)?;
        sync_folder(folder)?;
        let folder = folder.to_owned();
        Ok((Journal { folder, name, file, bytes, record: PhantomData }, records))
    }

    /// Appends and syncs a record. After an error the end of the file is uncertain, until
    /// [`Journal::replace`] has succeeded.
    pub fn append(&mut self, record: &T) -> Result<(), StorageError> {
        let path = self.folder.join(self.name);
        let encoded = encode_record(record);
        self.file.write_all(&encoded).context(IoSnafu { action: "write", path: &path })?;
        sync_data(&self.file, &path)?;
        self.bytes += encoded.len() as u64;
        Ok(())
    }

    /// Replaces the whole file by one record.
    pub fn replace(&mut self, record: &T) -> Result<(), StorageError> {
        let encoded = encode_record(record);
        write_atomically(&self.folder, self.name, &encoded)?;
        self.file = open_log(&self.folder.join(self.name))?;
        self.bytes = encoded.len() as u64;
        Ok(())
    }

    /// Size of the file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
