//! Asking for claims, through the nearest relay that can reach their leader.

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
/// Releases and outcomes that wait to be recorded.
const BACKGROUND_QUEUE: usize = 4_096;
/// How long the recording of an outcome or release is tried.
const BACKGROUND_LIMIT: Duration = Duration::from_secs(20);
const BACKGROUND_PAUSE: Duration = Duration::from_millis(100);

/// Connections over which claims are asked for.
pub(crate) struct ClaimLink {
    tls: Arc<TlsIdentity>,
    relays: Vec<SocketAddr>,
    preferred: Mutex<usize>,
    idle: Mutex<Vec<ClientConnection>>,
    background: SyncSender<ClaimCommand>,
}

/// No quorum answered; nothing was sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoQuorum;

impl ClaimLink {
    /// `relays` in order of preference.
    pub fn start(tls: Arc<TlsIdentity>, relays: Vec<SocketAddr>) -> Arc<Self> {
        let (background, commands) = sync_channel(BACKGROUND_QUEUE);
        let link = Arc::new(ClaimLink {
            tls,
            relays,
            preferred: Mutex::new(0),
            idle: Mutex::default(),
            background,
        });
        let for_thread = link.clone();
        thread::spawn(move || for_thread.record_in_background(&commands));
        link
    }

    /// Asks until a quorum answers or `limit` is reached.
    pub fn ask(&self, command: &ClaimCommand, limit: BootInstant) -> Result<ClaimAnswer, NoQuorum> {
        while BootInstant::now() < limit {
            let timeout = limit.saturating_duration_since(BootInstant::now()).min(CALL_TIMEOUT);
            match self.call(command, timeout) {
                Some(answer) => return Ok(answer),
                None => self.go_to_next_relay(),
            }
        }
        Err(NoQuorum)
    }

    /// Records an outcome or a release without making the caller wait.
    pub fn record_later(&self, command: ClaimCommand) {
        if self.background.try_send(command).is_err() {
            // The claim stays open: resends are told that the call may have run, which is safe.
            warn!("claim_outcome_dropped");
        }
    }

    fn record_in_background(&self, commands: &Receiver<ClaimCommand>) {
        for command in commands.iter() {
            let limit = BootInstant::now() + BACKGROUND_LIMIT;
            while self.ask(&command, limit).is_err() && BootInstant::now() < limit {
                thread::sleep(BACKGROUND_PAUSE);
            }
        }
    }

    fn call(&self, command: &ClaimCommand, timeout: Duration) -> Option<ClaimAnswer> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let preferred = *self.preferred.lock().unwrap_or_else(PoisonError::into_inner);
                let address = self.relays[preferred];
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

    fn go_to_next_relay(&self) {
        let mut preferred = self.preferred.lock().unwrap_or_else(PoisonError::into_inner);
        *preferred = (*preferred + 1) % self.relays.len();
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        drop(preferred);
        thread::sleep(Duration::from_millis(fastrand::u64(1..20)));
    }
}
