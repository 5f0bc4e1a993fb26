//! Telling a relay which back ends said that they leave.

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
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends marks as they come; after a change of relay all own marks are told again.
pub(crate) fn spawn(shared: &Arc<Shared>, marks: Receiver<LeavingMark>) {
    let shared = shared.clone();
    thread::spawn(move || {
        let mut told: Option<SocketAddr> = None;
        loop {
            let news = match marks.recv_timeout(RETRY_PAUSE) {
                Ok(mark) => vec![mark],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let relay = shared.current_relay();
            let relay_changed = relay.is_some() && relay != told;
            let leaving = if relay_changed { shared.own_marks() } else { news };
            let Some(relay) = relay.filter(|_| !leaving.is_empty()) else {
                continue;
            };
            if tell(&shared, relay, leaving) {
                told = Some(relay);
            } else {
                told = None;
                thread::sleep(RETRY_PAUSE);
            }
        }
    });
}

fn tell(shared: &Shared, relay: SocketAddr, leaving: Vec<LeavingMark>) -> bool {
    let opened = connect(&shared.tls, relay, Role::Relay, Purpose::ProxyReport);
    let answered = opened.and_then(|mut connection| {
        connection.call::<_, ObservationReply>(&ProxyObservation { leaving }, REPORT_TIMEOUT)
    });
    if let Err(error) = &answered {
        debug!(%relay, %error, "observation_not_told");
    }
    answered.is_ok()
}
