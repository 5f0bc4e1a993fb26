//! Addresses of the replicas, reloaded when the settings file changes.

use settings::{ControlSettings, PeerSettings};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

/// Network addresses of all replicas by member id.
#[derive(Debug)]
pub(crate) struct AddressBook {
    path: Option<PathBuf>,
    peers: Mutex<PeerTable>,
}

#[derive(Debug)]
struct PeerTable {
    by_id: BTreeMap<u64, PeerSettings>,
    modified: Option<SystemTime>,
}

impl AddressBook {
    pub fn new(settings: &ControlSettings, path: Option<PathBuf>) -> Self {
        let by_id = index_by_id(&settings.peer);
        let modified = path.as_deref().and_then(modification_time);
        AddressBook { path, peers: Mutex::new(PeerTable { by_id, modified }) }
    }

    pub fn get(&self, id: u64) -> Option<PeerSettings> {
        self.lock().by_id.get(&id).cloned()
    }

    pub fn ids(&self) -> Vec<u64> {
        self.lock().by_id.keys().copied().collect()
    }

    /// Reloads the settings file if its modification time changed; returns whether it did.
    pub fn reload_if_changed(&self) -> Result<bool, settings::SettingsError> {
        let Some(path) = &self.path else {
            return Ok(false);
        };
        let modified = modification_time(path);
        if self.lock().modified == modified {
            return Ok(false);
        }
        self.lock().modified = modified;
        let settings: ControlSettings = settings::load(path, &[])?;
        self.lock().by_id = index_by_id(&settings.peer);
        Ok(true)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn index_by_id(peers: &[PeerSettings]) -> BTreeMap<u64, PeerSettings> {
    peers.iter().map(|peer| (peer.id, peer.clone())).collect()
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|metadata| metadata.modified()).ok()
}
