//! An in-memory store for simulation, which can simulate the data loss of a crash.

use crate::record::{decode_records, encode_record, Record};
use crate::{replay, LogStore, Recovered, StorageError};
use consensus::{Entry, HardState, Snapshot};

/// When a simulated crash happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Between two saves; no saved data is lost.
    Clean,
    /// During a save, whose record is only partially written.
    DuringSave {
        /// Number of bytes of the record that are on the disk after the crash.
        bytes: usize,
    },
}

/// A simulated disk. `synced` survives a crash, `unsynced` does not.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    checkpoint: Recovered,
    synced: Vec<u8>,
    unsynced: Vec<u8>,
    /// Whether success is reported before the data is durable, to verify that the simulator's checks
    /// detect it.
    acknowledges_unsynced: bool,
}

impl MemoryStore {
    /// Creates a store with an initial snapshot.
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

    /// Makes the store report success before the data is durable. The simulator's checks must detect
    /// the resulting data loss.
    pub fn acknowledge_unsynced(&mut self) {
        self.acknowledges_unsynced = true;
    }

    /// Simulates a crash at `point`, while saving `record` if given.
    pub fn crash(&mut self, point: CrashPoint, record: Option<&Record>) {
        self.unsynced.clear();
        if let (CrashPoint::DuringSave { bytes }, Some(record)) = (point, record) {
            let encoded = encode_record(record);
            let written = bytes.min(encoded.len());
            self.synced.extend_from_slice(&encoded[..written]);
        }
    }

    /// Recovers the stored state, truncating a torn tail as the disk store does.
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
            // Each write makes the previous one durable, as a real disk would after some time.
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
