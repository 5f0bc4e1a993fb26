//! Receives leaving marks and subscriber counts from other relays.

use crate::runtime::Shared;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::debug;
use wire::{
    connect, Backoff, ClientConnection, MirrorReply, MirrorRequest, Purpose, Role, WireError,
};

const MIRROR_TIMEOUT: Duration = Duration::from_secs(3);
const BACKOFF_BASE_MS: u64 = 100;
const BACKOFF_CAP_MS: u64 = 2_000;

/// Starts one thread per peer.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    for peer in shared.settings.peer.clone() {
        let shared = shared.clone();
        thread::spawn(move || mirror_peer(&shared, peer));
    }
}

fn mirror_peer(shared: &Shared, peer: SocketAddr) {
    let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS, fastrand::u64(..));
    while !shared.stop.is_set() {
        let connected = connect(&shared.tls, peer, Role::Relay, Purpose::Mirror);
        let result = connected.and_then(|connection| {
            backoff.reset();
            poll_peer(shared, peer, connection)
        });
        if let Err(error) = result {
            debug!(%peer, %error, "mirror_failed");
        }
        thread::sleep(backoff.next_delay());
    }
}

fn poll_peer(
    shared: &Shared,
    peer: SocketAddr,
    mut connection: ClientConnection,
) -> Result<(), WireError> {
    let peer_name = peer.to_string();
    let mut request = MirrorRequest { epoch: 0, sequence: 0 };
    while !shared.stop.is_set() {
        let reply: MirrorReply = connection.call(&request, MIRROR_TIMEOUT)?;
        request = MirrorRequest { epoch: reply.epoch, sequence: reply.sequence };
        if shared.lock().core.on_mirror_reply(&peer_name, reply) {
            shared.update_available.notify_all();
        }
    }
    Ok(())
}
