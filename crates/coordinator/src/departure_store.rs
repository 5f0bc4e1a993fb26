//! Keeps departures on disk, in a thread of its own: a slow disk must delay neither links nor consensus.

use crate::hub::Hub;
use mesh::KnownDeparture;
use speedy::{Readable, Writable};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use storage::{Journal, StorageError};
use telemetry::Clock;
use tracing::{info, warn};

/// Name of the file in the data folder.
const FILE: &str = "departures";
/// Size from which the file is rewritten with the recent departures alone, in bytes: some thousand of them.
const REWRITE_BYTES: u64 = 256 * 1024;
/// Delay before a write that failed is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Departures that are written together.
#[derive(Debug, Readable, Writable)]
struct Batch {
    departures: Vec<KnownDeparture>,
}

/// The file with the departures.
pub(crate) struct DepartureStore {
    journal: Journal<Batch>,
    /// Position up to which departures are on disk.
    written: u64,
    /// Whether the end of the file is uncertain after an error.
    is_uncertain: bool,
}

impl DepartureStore {
    /// Opens the file and returns the departures in it, the oldest first.
    pub fn open(folder: &Path) -> Result<(Self, Vec<KnownDeparture>), StorageError> {
        let (journal, batches) = Journal::<Batch>::open(folder, FILE)?;
        let departures: Vec<KnownDeparture> =
            batches.into_iter().flat_map(|batch| batch.departures).collect();
        info!(departures = departures.len(), bytes = journal.bytes(), "departures_read");
        Ok((DepartureStore { journal, written: 0, is_uncertain: false }, departures))
    }

    /// Starts the thread that writes what the registry learns from now on; what it knows already comes
    /// from the file.
    pub fn spawn(mut self, hub: Arc<Hub>, clock: Clock) {
        self.written = hub.lock().registry.departures().position();
        hub.set_durable_departures(self.written);
        let (due, woken) = sync_channel(1);
        hub.set_departure_writer(due);
        thread::spawn(move || self.run(&hub, clock, &woken));
    }

    fn run(&mut self, hub: &Hub, clock: Clock, woken: &Receiver<()>) {
        loop {
            match woken.recv_timeout(RETRY_DELAY) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => self.write_new(hub, clock),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn write_new(&mut self, hub: &Hub, clock: Clock) {
        let (new, recent, position) = {
            let state = hub.lock();
            let departures = state.registry.departures();
            if departures.position() == self.written {
                return;
            }
            let (new, now) = (departures.since(self.written), clock.now_ms());
            (new, departures.recent(now), departures.position())
        };
        let is_large = self.journal.bytes() >= REWRITE_BYTES;
        let saved = match is_large || self.is_uncertain {
            true => self.journal.replace(&Batch { departures: recent }),
            false => self.journal.append(&Batch { departures: new }),
        };
        self.is_uncertain = saved.is_err();
        match saved {
            Ok(()) => {
                self.written = position;
                hub.set_durable_departures(position);
                hub.wake();
            }
            Err(error) => warn!(%error, "departures_not_written"),
        }
    }
}

/// Wakes the thread that writes departures.
pub(crate) type DepartureWriter = SyncSender<()>;
