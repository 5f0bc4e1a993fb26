//! The conversation with a relay: one thread that asks, applies and asks again.

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

/// A relay that has not answered for this long, its holding time included, is left.
const REPLY_TIMEOUT: Duration = Duration::from_millis(4_000);
const BACKOFF_BASE_MS: u64 = 50;
const BACKOFF_CAP_MS: u64 = 1_000;

/// What a process does with the configuration it watches.
pub trait WatchHandler: Send + Sync {
    /// Saves and puts in force what was prepared; on an error everything stays as it was.
    fn apply_config(
        &self,
        prepared: &PreparedConfig,
        approval: Option<&bundle::Approval>,
    ) -> Result<(), String>;
    /// Endpoints or services changed.
    fn endpoints_changed(&self, endpoints: &EndpointView);
    /// A relay was connected to.
    fn connected(&self, _relay: SocketAddr) {}
}

/// Bytes of frames exchanged with relays.
#[derive(Clone, Debug, Default)]
pub struct WatchCounters {
    /// Sent.
    pub sent_bytes: Counter,
    /// Received.
    pub received_bytes: Counter,
}

/// Watches until the stop signal is set.
pub fn run_watch(
    core: &Mutex<ProxyCore>,
    tls: &TlsIdentity,
    chooser: &mut RelayChooser,
    watcher: &dyn WatchHandler,
    counters: &WatchCounters,
    clock: Clock,
    stop: &StopSignal,
) {
    let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS, fastrand::u64(..));
    while !stop.is_set() {
        let relay = chooser.current().address;
        match connect(tls, relay, Role::Relay, Purpose::ProxyWatch) {
            Ok(connection) => {
                watcher.connected(relay);
                let mut conversation =
                    Conversation { core, chooser, watcher, counters, clock, stop };
                match conversation.run(connection) {
                    Ok(pause) => {
                        backoff.reset();
                        thread::sleep(pause);
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

struct Conversation<'a> {
    core: &'a Mutex<ProxyCore>,
    chooser: &'a mut RelayChooser,
    watcher: &'a dyn WatchHandler,
    counters: &'a WatchCounters,
    clock: Clock,
    stop: &'a StopSignal,
}

impl Conversation<'_> {
    fn lock(&self) -> MutexGuard<'_, ProxyCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Talks to one relay until another should be asked; returns the pause before that.
    fn run(&mut self, mut connection: ClientConnection) -> Result<Duration, WireError> {
        self.lock().on_connect();
        while !self.stop.is_set() {
            let poll = self.lock().poll();
            let reply: ProxyReply = connection.call(&poll, REPLY_TIMEOUT)?;
            let (sent, received) = connection.take_byte_counts();
            self.counters.sent_bytes.inc_by(sent);
            self.counters.received_bytes.inc_by(received);
            if let Some(pause) = self.take(reply) {
                return Ok(pause);
            }
        }
        Ok(Duration::ZERO)
    }

    /// Returns a pause if the connection should be given up.
    fn take(&mut self, reply: ProxyReply) -> Option<Duration> {
        let now_ms = self.clock.now_ms();
        let source_age_ms = source_age(&reply);
        let effect = self.lock().on_reply(reply, now_ms);
        match effect {
            ReplyEffect::None { endpoints_changed } => {
                if endpoints_changed {
                    self.watcher.endpoints_changed(self.lock().endpoints());
                }
            }
            ReplyEffect::Prepare { prepared, approval } => {
                self.apply_config(prepared, approval.as_ref());
                self.watcher.endpoints_changed(self.lock().endpoints());
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
        let homeward = self.chooser.try_return_to_nearest(now_ms);
        (stale || homeward).then_some(Duration::ZERO)
    }

    fn apply_config(&self, prepared: PreparedConfig, approval: Option<&bundle::Approval>) {
        let generation = prepared.generation;
        match self.watcher.apply_config(&prepared, approval) {
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

fn source_age(reply: &ProxyReply) -> Option<u32> {
    match reply {
        ProxyReply::Unchanged { source_age_ms } => Some(*source_age_ms),
        ProxyReply::Update(update) => Some(update.source_age_ms),
        _ => None,
    }
}
