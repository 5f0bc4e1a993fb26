//! Forwards claim commands to the leader of their claim group.

use claims::group_of;
use settings::{ControlAddressSettings, RelaySettings};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::debug;
use verdict::Verdict;
use wire::{
    connect, ClaimReply, ClaimRequest, ClientConnection, Purpose, Role, TlsIdentity, WireError,
};

/// Maximum time for one command, including retries after leader changes.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// Forwards claim commands over pooled connections to the control replicas.
pub(crate) struct ClaimForwarder {
    replicas: Vec<ControlAddressSettings>,
    groups: u32,
    /// Index of the replica that was last known to lead each group.
    leaders: Mutex<BTreeMap<u32, usize>>,
    /// Idle connections by replica.
    idle: Mutex<BTreeMap<usize, Vec<ClientConnection>>>,
}

impl ClaimForwarder {
    pub fn new(settings: &RelaySettings) -> Self {
        ClaimForwarder {
            replicas: settings.control.clone(),
            groups: settings.claim_groups,
            leaders: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Forwards a command, and retries until the leader of the group has answered or the time limit
    /// is reached. Commands contain the id of their attempt, so sending one twice is harmless.
    pub fn forward(&self, tls: &TlsIdentity, request: ClaimRequest) -> ClaimReply {
        if self.groups == 0 {
            return ClaimReply::Unavailable { verdict: Verdict::NotRun };
        }
        let group = group_of(request.command.key(), self.groups);
        let deadline = BootInstant::now() + FORWARD_TIMEOUT;
        let mut verdict = Verdict::NotRun;
        while BootInstant::now() < deadline {
            let replica = self.leader(group);
            match self.call(tls, replica, &request) {
                Ok(ClaimReply::NotLeader { leader }) => self.redirect(group, replica, leader),
                Ok(ClaimReply::Unavailable { verdict: reason }) => {
                    verdict = worst_verdict(verdict, reason);
                    self.redirect(group, replica, None);
                }
                Ok(answer) => return answer,
                Err(error) => {
                    debug!(%error, group, "claim_forward_failed");
                    verdict = worst_verdict(verdict, error.verdict());
                    self.redirect(group, replica, None);
                }
            }
        }
        ClaimReply::Unavailable { verdict }
    }

    fn leader(&self, group: u32) -> usize {
        let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        leaders.get(&group).copied().unwrap_or(group as usize % self.replicas.len())
    }

    fn redirect(&self, group: u32, tried: usize, leader: Option<u64>) {
        let leader_position = self.replicas.iter().position(|replica| Some(replica.id) == leader);
        let next = leader_position.unwrap_or((tried + 1) % self.replicas.len());
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).insert(group, next);
        if leader_position.is_none() {
            thread::sleep(RETRY_DELAY);
        }
    }

    fn call(
        &self,
        tls: &TlsIdentity,
        replica: usize,
        request: &ClaimRequest,
    ) -> Result<ClaimReply, WireError> {
        let address = self.replicas[replica].address;
        let mut connection = match self.take_idle(replica) {
            Some(connection) => connection,
            None => connect(tls, address, Role::Control, Purpose::Claims)?,
        };
        let reply = connection.call(request, CALL_TIMEOUT)?;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(replica).or_default().push(connection);
        Ok(reply)
    }

    fn take_idle(&self, replica: usize) -> Option<ClientConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&replica).and_then(Vec::pop)
    }
}

fn worst_verdict(previous: Verdict, new: Verdict) -> Verdict {
    match (previous, new) {
        (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}
