//! Reports to a relay which backends have announced that they are leaving.

use crate::runtime::Shared;
use endpoints::LeavingMark;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::debug;
use wire::{connect, ObservationReply, ProxyObservation, Purpose, Role};

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Starts a thread that reports marks as they arrive; after a change of relay, it reports all of
/// this proxy's own marks again.
pub(crate) fn spawn(shared: &Arc<Shared>, marks: Receiver<LeavingMark>) {
    let shared = shared.clone();
    thread::spawn(move || {
        let mut reported_to: Option<SocketAddr> = None;
        loop {
            let new_marks = match marks.recv_timeout(RETRY_DELAY) {
                Ok(mark) => vec![mark],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let relay = shared.current_relay();
            let relay_changed = relay.is_some() && relay != reported_to;
            let leaving = if relay_changed { shared.own_marks() } else { new_marks };
            let Some(relay) = relay.filter(|_| !leaving.is_empty()) else {
                continue;
            };
            if report(&shared, relay, leaving) {
                reported_to = Some(relay);
            } else {
                reported_to = None;
                thread::sleep(RETRY_DELAY);
            }
        }
    });
}

fn report(shared: &Shared, relay: SocketAddr, leaving: Vec<LeavingMark>) -> bool {
    let connected = connect(&shared.tls, relay, Role::Relay, Purpose::ProxyReport);
    let result = connected.and_then(|mut connection| {
        connection.call::<_, ObservationReply>(&ProxyObservation { leaving }, REPORT_TIMEOUT)
    });
    if let Err(error) = &result {
        debug!(%relay, %error, "observation_not_told");
    }
    result.is_ok()
}
