//! State of a connection from a proxy to a relay.

use crate::confirmation::Ticket;
use bundle::Digest;
use rollout::ProxyName;
use std::collections::BTreeSet;
use std::sync::Arc;
use wire::{ProxyPoll, ProxyReply, ProxyState, RefusedGeneration};

/// Identifies a connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub(crate) u64);

/// Configuration and endpoint position that a proxy has reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub generation: Option<u64>,
    pub digest: Digest,
    pub endpoint_epoch: u64,
    pub endpoint_sequence: u64,
}

/// State of one connection of a proxy.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub name: ProxyName,
    pub position: Position,
    pub refused: Option<RefusedGeneration>,
    /// Behind an `Arc` because a session is cloned for every reply.
    pub services: Arc<BTreeSet<String>>,
    /// For a proxy that started without stored state: determines which confirmed reads began after
    /// its first request.
    pub ticket: Option<Ticket>,
    /// Position of the proxy after it has applied the last reply.
    pub sent_position: Option<Position>,
    /// Whether the last reply was a large update, which counts towards the limit on them.
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
            sent_position: None,
            catching_up: false,
            last_heard_ms: now_ms,
        }
    }

    /// Handles a request: either the last reply was applied completely, or the proxy sends its full
    /// state.
    pub fn on_poll(&mut self, poll: &ProxyPoll, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.catching_up = false;
        match poll {
            ProxyPoll::Applied => {
                if let Some(sent_position) = self.sent_position.take() {
                    self.position = sent_position;
                }
            }
            ProxyPoll::State(state) => {
                self.sent_position = None;
                self.position = Position::of(state);
                self.refused = state.refused.clone();
                self.services = Arc::new(state.services.iter().cloned().collect());
            }
        }
    }

    /// Records the position that the proxy reaches by applying a reply.
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
        self.sent_position = Some(next);
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
