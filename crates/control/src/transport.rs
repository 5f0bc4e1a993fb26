//! Sends consensus messages, with one connection and one thread per peer so that replicas never
//! block.

use crate::address_book::AddressBook;
use std::collections::BTreeMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::debug;
use wire::{connect, Backoff, ClientConnection, GroupMessage, Purpose, Role, TlsIdentity};

/// Maximum number of queued messages per peer; further ones are dropped, as if lost by the network.
const QUEUE_LENGTH: usize = 4_096;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_CAP_MS: u64 = 500;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Outgoing message queues, one per peer.
pub(crate) struct Transport {
    tls: Arc<TlsIdentity>,
    addresses: Arc<AddressBook>,
    queues: Mutex<BTreeMap<u64, SyncSender<GroupMessage>>>,
}

impl Transport {
    pub fn new(tls: Arc<TlsIdentity>, addresses: Arc<AddressBook>) -> Self {
        Transport { tls, addresses, queues: Mutex::default() }
    }

    /// Queues a message for its recipient, or drops it if the queue is full.
    pub fn send(&self, message: GroupMessage) {
        let peer = message.message.to;
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(peer).or_insert_with(|| self.start_sender(peer));
        if let Err(TrySendError::Disconnected(_)) = queue.try_send(message) {
            queues.remove(&peer);
        }
    }

    fn start_sender(&self, peer: u64) -> SyncSender<GroupMessage> {
        let (queue, messages) = sync_channel(QUEUE_LENGTH);
        let tls = self.tls.clone();
        let addresses = self.addresses.clone();
        thread::spawn(move || run_sender(&tls, &addresses, peer, &messages));
        queue
    }
}

fn run_sender(
    tls: &TlsIdentity,
    addresses: &AddressBook,
    peer: u64,
    messages: &Receiver<GroupMessage>,
) {
    let mut connection: Option<ClientConnection> = None;
    let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS, fastrand::u64(..));
    let mut retry_at = BootInstant::now();
    loop {
        let message = match messages.recv_timeout(RECEIVE_TIMEOUT) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if connection.is_none() && BootInstant::now() >= retry_at {
            connection = open_connection(tls, addresses, peer);
            match connection {
                Some(_) => backoff.reset(),
                None => retry_at = BootInstant::now() + backoff.next_delay(),
            }
        }
        // Without a connection the message is dropped; consensus retransmits what is still needed.
        if let Some(active) = &mut connection {
            if let Err(error) = active.send(&message) {
                debug!(peer, %error, "consensus_send_failed");
                connection = None;
            }
        }
    }
}

fn open_connection(
    tls: &TlsIdentity,
    addresses: &AddressBook,
    peer: u64,
) -> Option<ClientConnection> {
    let address = addresses.get(peer)?.address;
    match connect(tls, address, Role::Control, Purpose::Consensus) {
        Ok(connection) => Some(connection),
        Err(error) => {
            debug!(peer, %error, "consensus_connect_failed");
            None
        }
    }
}
