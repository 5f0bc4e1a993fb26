//! A store in memory for simulation, which can lose what a crash would lose.

use crate::record::{decode_records, encode_record, Record};
use crate::{replay, LogStore, Recovered, StorageError};
use consensus::{Entry, HardState, Snapshot};

/// Where a simulated crash strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Between two saves: nothing that was saved is lost.
    Clean,
    /// During the last write: only this many of its bytes reached the disk.
    DuringSave {
        /// Bytes of the unfinished record that survive.
        bytes: usize,
    },
}

/// A disk in memory. `synced` survives a crash, `unsynced` does not.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    checkpoint: Recovered,
    synced: Vec<u8>,
    unsynced: Vec<u8>,
    /// Broken variant: reports success before data is durable.
    acknowledges_unsynced: bool,
}

impl MemoryStore {
    /// A new disk with the fleet's first snapshot.
    pub fn new(snapshot: Snapshot) -> Self {
        let checkpoint =
            Recovered { hard_state: HardState::default(), snapshot, entries: Vec::new() };
        MemoryStore {
            checkpoint,
            synced: Vec::new(),
            unsynced: Vec::new(),
            acknowledges_unsynced: false,
        }
    }

    /// Makes the disk report success early; checkers must notice.
    pub fn acknowledge_unsynced(&mut self) {
        self.acknowledges_unsynced = true;
    }

    /// What a process finds on this disk after a crash at `point` while saving `record`.
    pub fn crash(&mut self, point: CrashPoint, record: Option<&Record>) {
        self.unsynced.clear();
        if let (CrashPoint::DuringSave { bytes }, Some(record)) = (point, record) {
            let encoded = encode_record(record);
            let kept = bytes.min(encoded.len());
            self.synced.extend_from_slice(&encoded[..kept]);
        }
    }

    /// Recovers, cutting a torn tail as the disk store does.
    pub fn recover(&mut self) -> Recovered {
        let (records, tail) = decode_records::<Record>(&self.synced);
        if let crate::TailState::Torn(offset) = tail {
            self.synced.truncate(offset as usize);
        }
        let mut state = self.checkpoint.clone();
        for record in records {
            replay(&mut state, record);
        }
        state
    }
}

impl LogStore for MemoryStore {
    fn save(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let record = Record { hard_state, entries: entries.to_vec() };
        let encoded = encode_record(&record);
        if self.acknowledges_unsynced {
            // What was written before is synced by the next write, as a real disk would in time.
            self.synced.append(&mut self.unsynced);
            self.unsynced = encoded;
        } else {
            self.synced.extend_from_slice(&encoded);
        }
        Ok(())
    }

    fn checkpoint(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.checkpoint =
            Recovered { hard_state, snapshot: snapshot.clone(), entries: entries.to_vec() };
        self.synced.clear();
        self.unsynced.clear();
        Ok(())
    }

    fn bytes_since_checkpoint(&self) -> u64 {
        (self.synced.len() + self.unsynced.len()) as u64
    }
}
