//! Watches a relay for configuration and endpoints: polls, applies the reply and polls again.

use crate::chooser::RelayChooser;
use crate::core::{PreparedConfig, ProxyCore, ReplyEffect};
use endpoints::EndpointView;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{Clock, Counter, StopSignal};
use tracing::{debug, info, warn};
use wire::{connect, Backoff, ClientConnection, ProxyReply, Purpose, Role, TlsIdentity, WireError};

/// Maximum wait for a reply, including the time for which the relay holds the poll. After it, the
/// proxy switches to another relay.
const REPLY_TIMEOUT: Duration = Duration::from_millis(4_000);
const BACKOFF_BASE_MS: u64 = 50;
const BACKOFF_CAP_MS: u64 = 1_000;

/// Handler for the configuration and endpoints received by [`run_watch`].
pub trait WatchHandler: Send + Sync {
    /// Stores and applies a prepared configuration; on an error, nothing changes.
    fn apply_config(
        &self,
        prepared: &PreparedConfig,
        approval: Option<&bundle::Approval>,
    ) -> Result<(), String>;
    /// Called when endpoints or services have changed.
    fn endpoints_changed(&self, endpoints: &EndpointView);
    /// Called when a relay was connected to.
    fn connected(&self, _relay: SocketAddr) {}
}

/// Byte counts of the frames exchanged with relays.
#[derive(Clone, Debug, Default)]
pub struct WatchCounters {
    /// Bytes sent.
    pub sent_bytes: Counter,
    /// Bytes received.
    pub received_bytes: Counter,
}

/// Watches relays until the stop signal is set.
pub fn run_watch(
    core: &Mutex<ProxyCore>,
    tls: &TlsIdentity,
    chooser: &mut RelayChooser,
    handler: &dyn WatchHandler,
    counters: &WatchCounters,
    clock: Clock,
    stop: &StopSignal,
) {
    let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS, fastrand::u64(..));
    while !stop.is_set() {
        let relay = chooser.current().address;
        match connect(tls, relay, Role::Relay, Purpose::ProxyWatch) {
            Ok(connection) => {
                handler.connected(relay);
                let mut session = WatchSession { core, chooser, handler, counters, clock, stop };
                match session.run(connection) {
                    Ok(delay) => {
                        backoff.reset();
                        thread::sleep(delay);
                        continue;
                    }
                    Err(error) => debug!(%relay, %error, "relay_lost"),
                }
            }
            Err(error) => debug!(%relay, %error, "relay_unreachable"),
        }
        chooser.on_failure(clock.now_ms());
        thread::sleep(backoff.next_delay());
    }
}

struct WatchSession<'a> {
    core: &'a Mutex<ProxyCore>,
    chooser: &'a mut RelayChooser,
    handler: &'a dyn WatchHandler,
    counters: &'a WatchCounters,
    clock: Clock,
    stop: &'a StopSignal,
}

impl WatchSession<'_> {
    fn lock(&self) -> MutexGuard<'_, ProxyCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Polls one relay until the proxy should reconnect; returns the delay before that.
    fn run(&mut self, mut connection: ClientConnection) -> Result<Duration, WireError> {
        self.lock().on_connect();
        while !self.stop.is_set() {
            let poll = self.lock().poll();
            let reply: ProxyReply = connection.call(&poll, REPLY_TIMEOUT)?;
            let (sent, received) = connection.take_byte_counts();
            self.counters.sent_bytes.inc_by(sent);
            self.counters.received_bytes.inc_by(received);
            if let Some(delay) = self.handle_reply(reply) {
                return Ok(delay);
            }
        }
        Ok(Duration::ZERO)
    }

    /// Handles a reply; returns the delay before reconnecting if the connection should be closed.
    fn handle_reply(&mut self, reply: ProxyReply) -> Option<Duration> {
        let now_ms = self.clock.now_ms();
        let source_age_ms = reply_source_age_ms(&reply);
        let effect = self.lock().on_reply(reply, now_ms);
        match effect {
            ReplyEffect::None { endpoints_changed } => {
                if endpoints_changed {
                    self.handler.endpoints_changed(self.lock().endpoints());
                }
            }
            ReplyEffect::Prepare { prepared, approval } => {
                self.apply_config(prepared, approval.as_ref());
                self.handler.endpoints_changed(self.lock().endpoints());
            }
            ReplyEffect::Retry { after_ms } => {
                return Some(Duration::from_millis(u64::from(after_ms)));
            }
            ReplyEffect::Leave => {
                self.chooser.on_failure(now_ms);
                return Some(Duration::ZERO);
            }
        }
        let stale = source_age_ms.is_some_and(|age| self.chooser.on_source_age(age, now_ms));
        let back_to_nearest = self.chooser.try_return_to_nearest(now_ms);
        (stale || back_to_nearest).then_some(Duration::ZERO)
    }

    fn apply_config(&self, prepared: PreparedConfig, approval: Option<&bundle::Approval>) {
        let generation = prepared.generation;
        match self.handler.apply_config(&prepared, approval) {
            Ok(()) => {
                self.lock().commit(prepared);
                info!(generation, "generation_applied");
            }
            Err(error) => {
                warn!(generation, %error, "generation_refused");
                self.lock().refuse(generation, error);
            }
        }
    }
}

fn reply_source_age_ms(reply: &ProxyReply) -> Option<u32> {
    match reply {
        ProxyReply::Unchanged { source_age_ms } => Some(*source_age_ms),
        ProxyReply::Update(update) => Some(update.source_age_ms),
        _ => None,
    }
}
