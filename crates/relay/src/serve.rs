//! Serves connections from proxies and other relays, with one thread per connection.

use crate::runtime::Shared;
use bundle::BundleUpdate;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{debug, warn};
use wire::{
    ClaimRequest, MirrorRequest, ObservationReply, ProxyObservation, ProxyPoll, ProxyReply,
    Purpose, ServerConnection, WireError,
};

/// Maximum time between a reply and the next request on a connection; a proxy sends its next
/// request immediately.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which a peer's request is held until there are new marks.
const MIRROR_HOLD: Duration = Duration::from_secs(1);

/// Serves one connection until it ends.
pub(crate) fn serve(shared: &Arc<Shared>, mut connection: ServerConnection) {
    let result = match connection.purpose() {
        Purpose::ProxyWatch => serve_watch(shared, &mut connection),
        Purpose::ProxyReport => serve_observations(shared, &mut connection),
        Purpose::Claims => serve_claims(shared, &mut connection),
        Purpose::Mirror => serve_mirror(shared, &mut connection),
        _ => Ok(()),
    };
    if let Err(error) = result {
        debug!(peer = %connection.peer().name, %error, "connection_ended");
    }
}

fn serve_watch(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    let first: ProxyPoll = connection.receive(REQUEST_TIMEOUT)?;
    let ProxyPoll::State(state) = &first else {
        return Ok(());
    };
    if state.name.id != connection.peer().name || state.name.zone != connection.peer().zone {
        warn!(peer = %connection.peer().name, claimed = %state.name.id, "wrong_proxy_name");
        return Ok(());
    }
    let session = {
        let mut locked = shared.lock();
        let session = locked.core.open_session(state, shared.clock.now_ms());
        shared.metrics.sessions.set(locked.core.session_count() as i64);
        shared.report_changed(&mut locked);
        session
    };
    let result = serve_polls(shared, connection, session);
    let mut locked = shared.lock();
    locked.core.close_session(session);
    shared.metrics.sessions.set(locked.core.session_count() as i64);
    shared.report_changed(&mut locked);
    result
}

fn serve_polls(
    shared: &Shared,
    connection: &mut ServerConnection,
    session: crate::SessionId,
) -> Result<(), WireError> {
    loop {
        let reply = wait_for_reply(shared, session);
        count_reply(shared, &reply);
        connection.send(&reply)?;
        let (sent, received) = connection.take_byte_counts();
        shared.metrics.proxy_sent_bytes.inc_by(sent);
        shared.metrics.proxy_received_bytes.inc_by(received);
        if matches!(reply, ProxyReply::Leaving | ProxyReply::Busy { .. }) {
            return Ok(());
        }
        let poll: ProxyPoll = connection.receive(REQUEST_TIMEOUT)?;
        let mut locked = shared.lock();
        locked.core.on_poll(session, &poll, shared.clock.now_ms());
        let was_update = matches!(reply, ProxyReply::Update(_));
        if was_update || matches!(poll, ProxyPoll::State(_)) {
            shared.report_changed(&mut locked);
        }
    }
}

fn wait_for_reply(shared: &Shared, session: crate::SessionId) -> ProxyReply {
    let deadline = BootInstant::now() + Duration::from_millis(shared.settings.hold_ms);
    let mut locked = shared.lock();
    loop {
        if shared.stop.is_set() {
            return ProxyReply::Leaving;
        }
        let now_ms = shared.clock.now_ms();
        if let Some(reply) = locked.core.answer(session, now_ms) {
            return reply;
        }
        let remaining = deadline.saturating_duration_since(BootInstant::now());
        if remaining.is_zero() {
            return locked.core.unchanged(now_ms);
        }
        let (guard, _) = shared
            .update_available
            .wait_timeout(locked, remaining)
            .unwrap_or_else(PoisonError::into_inner);
        locked = guard;
    }
}

fn count_reply(shared: &Shared, reply: &ProxyReply) {
    match reply {
        ProxyReply::Busy { .. } => {
            shared.metrics.rejected_proxies.inc();
        }
        ProxyReply::Update(update) => match update.config.as_ref().map(|config| &config.update) {
            Some(BundleUpdate::Delta(_)) => {
                shared.metrics.deltas_sent.inc();
            }
            Some(BundleUpdate::Snapshot { .. }) => {
                shared.metrics.snapshots_sent.inc();
            }
            _ => {}
        },
        _ => {}
    }
}

fn serve_observations(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let observation: ProxyObservation = connection.receive(REQUEST_TIMEOUT)?;
        let new_marks = shared.lock().core.observe_leaving(observation.leaving);
        if new_marks > 0 {
            shared.update_available.notify_all();
        }
        connection.send(&ObservationReply { new_marks })?;
    }
}

fn serve_claims(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let request: ClaimRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = shared.claims.forward(&shared.tls, request);
        connection.send(&reply)?;
    }
}

fn serve_mirror(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let request: MirrorRequest = connection.receive(REQUEST_TIMEOUT)?;
        let deadline = BootInstant::now() + MIRROR_HOLD;
        let mut locked = shared.lock();
        let reply = loop {
            if let Some(reply) = locked.core.answer_mirror(&request) {
                break reply;
            }
            let remaining = deadline.saturating_duration_since(BootInstant::now());
            if remaining.is_zero() {
                break locked.core.mirror_reply(Vec::new());
            }
            let (guard, _) = shared
                .update_available
                .wait_timeout(locked, remaining)
                .unwrap_or_else(PoisonError::into_inner);
            locked = guard;
        };
        drop(locked);
        connection.send(&reply)?;
    }
}
