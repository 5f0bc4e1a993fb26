//! Submits claim commands through the nearest relay that can reach the leader of the claim group.

use claims::{ClaimAnswer, ClaimCommand};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{debug, warn};
use wire::{connect, ClaimReply, ClaimRequest, ClientConnection, Purpose, Role, TlsIdentity};

const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of outcomes and releases that wait to be recorded.
const BACKGROUND_QUEUE: usize = 4_096;
/// How long recording an outcome or release is retried.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(20);
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Client for claims, with a pool of connections to the current relay.
pub(crate) struct ClaimClient {
    tls: Arc<TlsIdentity>,
    relays: Vec<SocketAddr>,
    /// Index of the relay in use.
    current_relay: Mutex<usize>,
    idle: Mutex<Vec<ClientConnection>>,
    background: SyncSender<ClaimCommand>,
}

/// No quorum answered before the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoQuorum;

impl ClaimClient {
    /// Creates a client and starts its background thread; `relays` are in order of preference.
    pub fn start(tls: Arc<TlsIdentity>, relays: Vec<SocketAddr>) -> Arc<Self> {
        let (background, commands) = sync_channel(BACKGROUND_QUEUE);
        let client = Arc::new(ClaimClient {
            tls,
            relays,
            current_relay: Mutex::new(0),
            idle: Mutex::default(),
            background,
        });
        let background_client = client.clone();
        thread::spawn(move || background_client.run_background(&commands));
        client
    }

    /// Submits a command, and retries through other relays until a quorum has answered or the
    /// deadline has passed.
    pub fn submit(
        &self,
        command: &ClaimCommand,
        deadline: BootInstant,
    ) -> Result<ClaimAnswer, NoQuorum> {
        while BootInstant::now() < deadline {
            let timeout = deadline.saturating_duration_since(BootInstant::now()).min(CALL_TIMEOUT);
            match self.call(command, timeout) {
                Some(answer) => return Ok(answer),
                None => self.switch_to_next_relay(),
            }
        }
        Err(NoQuorum)
    }

    /// Queues an outcome or a release to be recorded in the background.
    pub fn submit_in_background(&self, command: ClaimCommand) {
        if self.background.try_send(command).is_err() {
            // The claim stays open, so resends are told that the call may have run, which is safe.
            warn!("claim_outcome_dropped");
        }
    }

    fn run_background(&self, commands: &Receiver<ClaimCommand>) {
        for command in commands.iter() {
            let deadline = BootInstant::now() + BACKGROUND_TIMEOUT;
            while self.submit(&command, deadline).is_err() && BootInstant::now() < deadline {
                thread::sleep(BACKGROUND_RETRY_DELAY);
            }
        }
    }

    fn call(&self, command: &ClaimCommand, timeout: Duration) -> Option<ClaimAnswer> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let current_relay =
                    *self.current_relay.lock().unwrap_or_else(PoisonError::into_inner);
                let address = self.relays[current_relay];
                connect(&self.tls, address, Role::Relay, Purpose::Claims)
                    .map_err(|error| debug!(%error, "claim_connect_failed"))
                    .ok()?
            }
        };
        let request = ClaimRequest { command: command.clone() };
        match connection.call(&request, timeout) {
            Ok(ClaimReply::Answer(answer)) => {
                self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
                Some(answer)
            }
            Ok(other) => {
                debug!(reply = ?other, "claim_not_answered");
                None
            }
            Err(error) => {
                debug!(%error, "claim_call_failed");
                None
            }
        }
    }

    fn switch_to_next_relay(&self) {
        let mut current_relay = self.current_relay.lock().unwrap_or_else(PoisonError::into_inner);
        *current_relay = (*current_relay + 1) % self.relays.len();
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        drop(current_relay);
        thread::sleep(Duration::from_millis(fastrand::u64(1..20)));
    }
}
