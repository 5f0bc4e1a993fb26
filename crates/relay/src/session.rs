//! What a relay knows of one connected proxy.

use crate::confirmation::Ticket;
use bundle::Digest;
use rollout::ProxyName;
use std::collections::BTreeSet;
use std::sync::Arc;
use wire::{ProxyPoll, ProxyReply, ProxyState, RefusedGeneration};

/// Identifies a connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub(crate) u64);

/// Position of a proxy in configuration and endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub generation: Option<u64>,
    pub digest: Digest,
    pub endpoint_epoch: u64,
    pub endpoint_sequence: u64,
}

/// One connection of a proxy.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub name: ProxyName,
    pub position: Position,
    pub refused: Option<RefusedGeneration>,
    /// Shared, because a session is copied for every answer.
    pub services: Arc<BTreeSet<String>>,
    /// Held until a read that began after the first request is confirmed.
    pub ticket: Option<Ticket>,
    /// Where the proxy will be once it has applied the last answer.
    pub sent: Option<Position>,
    /// Whether the last answer holds one of the places for large updates.
    pub catching_up: bool,
    pub last_heard_ms: u64,
}

impl Session {
    pub fn new(state: &ProxyState, ticket: Option<Ticket>, now_ms: u64) -> Self {
        Session {
            name: state.name.clone(),
            position: Position::of(state),
            refused: state.refused.clone(),
            services: Arc::new(state.services.iter().cloned().collect()),
            ticket,
            sent: None,
            catching_up: false,
            last_heard_ms: now_ms,
        }
    }

    /// Takes a request in: either everything sent was applied, or the proxy says where it is.
    pub fn on_poll(&mut self, poll: &ProxyPoll, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.catching_up = false;
        match poll {
            ProxyPoll::Applied => {
                if let Some(sent) = self.sent.take() {
                    self.position = sent;
                }
            }
            ProxyPoll::State(state) => {
                self.sent = None;
                self.position = Position::of(state);
                self.refused = state.refused.clone();
                self.services = Arc::new(state.services.iter().cloned().collect());
            }
        }
    }

    /// Remembers what an answer will lead to.
    pub fn on_sent(&mut self, reply: &ProxyReply) {
        let ProxyReply::Update(update) = reply else {
            return;
        };
        let mut next = self.position.clone();
        if let Some(config) = &update.config {
            next.generation = Some(config.generation);
            next.digest = config.update.target();
        }
        if let Some(endpoints) = &update.endpoints {
            next.endpoint_epoch = endpoints.epoch;
            next.endpoint_sequence = endpoints.sequence;
        }
        self.sent = Some(next);
    }
}

impl Position {
    fn of(state: &ProxyState) -> Self {
        Position {
            generation: state.generation,
            digest: state.digest,
            endpoint_epoch: state.endpoint_epoch,
            endpoint_sequence: state.endpoint_sequence,
        }
    }
}
