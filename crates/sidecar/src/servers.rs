//! Connections on which this sidecar is asked: callers, peers, the upstream that registers, and
//! those who look at readiness and metrics.

use crate::net::{ConnectionId, LinkUse, Net};
use crate::Millis;
use http1::{Offer, Request, Response, ServerConnection, ServerLimits, Slot};
use mesh::GRANT_HEADER;
use std::collections::BTreeMap;

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Callers on this machine.
    Caller,
    /// Sidecars of callers.
    Peer,
    /// The upstream on this machine, which registers.
    Registration,
    /// Readiness.
    Ready,
    /// Metrics.
    Metrics,
}

/// Limits in time, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerTimes {
    /// Longest time for sending a head.
    pub header_ms: u64,
    /// Longest rest between requests.
    pub idle_ms: u64,
}

#[derive(Debug)]
struct Held {
    kind: ServerKind,
    core: ServerConnection,
    /// The request that is being read.
    reading: Option<Reading>,
    /// Since when nothing was asked.
    resting_since: Millis,
}

/// A request that is not here whole.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// Its place among those read on its connection.
    request: u64,
    since: Millis,
}

impl Held {
    fn reads_call(&self) -> bool {
        matches!(self.kind, ServerKind::Caller | ServerKind::Peer) && self.reading.is_some()
    }

    /// Takes in which request is being read now. Its time begins anew with each: one that was
    /// answered before it was whole leaves nothing of its own to the next.
    fn note_reading(&mut self, request: Option<u64>, now: Millis) {
        let same = self.reading.filter(|held| Some(held.request) == request);
        self.reading = same.or(request.map(|request| Reading { request, since: now }));
    }
}

/// All such connections.
#[derive(Debug, Default)]
pub struct Servers {
    connections: BTreeMap<ConnectionId, Held>,
}

impl Servers {
    /// Takes in a new connection.
    pub fn accepted(&mut self, net: &mut Net, id: ConnectionId, kind: ServerKind, now: Millis) {
        net.set_use(id, LinkUse::Answers);
        let core = ServerConnection::default();
        let held = Held { kind, core, reading: None, resting_since: now };
        self.connections.insert(id, held);
    }

    /// What a connection is for, if it is one of these.
    pub fn kind(&self, id: ConnectionId) -> Option<ServerKind> {
        self.connections.get(&id).map(|held| held.kind)
    }

    /// Takes whole requests out of what was received.
    pub fn received(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        limits: ServerLimits,
        now: Millis,
    ) -> Vec<(Slot, Request)> {
        let Some(held) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        let Some(input) = net.input(id) else {
            return Vec::new();
        };
        let mut output = Vec::new();
        let requests = held.core.receive(input, limits, &mut output);
        let reading = held.core.reading(input);
        held.note_reading(reading, now);
        held.resting_since = now;
        net.trim(id);
        if !output.is_empty() {
            net.send(id, &output);
        }
        if held.core.unanswered() == 0 && requests.is_empty() && !output.is_empty() {
            self.finish_if_over(net, id);
        }
        requests
    }

    /// A connection that was answered here, because what came could not be read, is finished.
    fn finish_if_over(&mut self, net: &mut Net, id: ConnectionId) {
        let over = self.connections.get(&id).is_some_and(|held| held.core.is_over());
        if over {
            self.connections.remove(&id);
            net.finish(id);
        }
    }

    /// The request on a connection whose body is offered and not granted yet.
    pub fn offer(&self, id: ConnectionId) -> Option<Offer<'_>> {
        self.connections.get(&id)?.core.offer()
    }

    /// Bytes of the body that is being read on a connection.
    pub fn body_bytes(&self, id: ConnectionId) -> u64 {
        self.connections.get(&id).map_or(0, |held| held.core.body_bytes())
    }

    /// Lets the other side send so many bytes more of the body that it offered.
    pub fn allow(&mut self, net: &mut Net, id: ConnectionId, slot: Slot, bytes: u64) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        let mut output = Vec::new();
        held.core.allow(slot, GRANT_HEADER, bytes, &mut output);
        net.send(id, &output);
    }

    /// Answers a request; `close` ends the connection after it. Requests that were held back
    /// behind it are returned.
    pub fn answer(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        slot: Slot,
        response: Response,
        close: bool,
        now: Millis,
    ) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        let mut output = Vec::new();
        let over = held.core.answer(slot, response, close, &mut output);
        held.resting_since = now;
        net.send(id, &output);
        if over {
            self.connections.remove(&id);
            net.finish(id);
        }
    }

    /// The other side ended a connection; true if it was one of these.
    pub fn ended(&mut self, net: &mut Net, id: ConnectionId) -> bool {
        let held = self.connections.remove(&id);
        if held.is_some() {
            net.close(id);
        }
        held.is_some()
    }

    /// Ends what is read too slowly or rested too long.
    pub fn tick(&mut self, net: &mut Net, times: impl Fn(ServerKind) -> ServerTimes, now: Millis) {
        let mut slow = Vec::new();
        let mut idle = Vec::new();
        for (id, held) in &mut self.connections {
            let limits = times(held.kind);
            let unanswered = held.core.unanswered();
            let reading = net.input(*id).and_then(|input| held.core.reading(input));
            held.note_reading(reading, now);
            if held.reading.is_some_and(|reading| reading.since + limits.header_ms <= now) {
                slow.push(*id);
            } else if unanswered == 0
                && held.reading.is_none()
                && held.resting_since + limits.idle_ms <= now
            {
                idle.push(*id);
            }
        }
        for id in slow {
            self.time_out(net, id);
        }
        for id in idle {
            self.connections.remove(&id);
            net.finish(id);
        }
    }

    /// Calls of callers and peers that are not here whole.
    pub fn reading_calls(&self) -> usize {
        self.connections.values().filter(|held| held.reads_call()).count()
    }

    /// Answers the calls of callers and peers that are not here whole.
    pub fn end_reading(&mut self, net: &mut Net) {
        let found = self.connections.iter().filter(|(_, held)| held.reads_call());
        let ids: Vec<ConnectionId> = found.map(|(id, _)| *id).collect();
        for id in ids {
            self.time_out(net, id);
        }
    }

    /// Answers a request that is not here whole with 408; nothing more is read.
    fn time_out(&mut self, net: &mut Net, id: ConnectionId) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        held.reading = None;
        let mut output = Vec::new();
        let over = held.core.time_out(&mut output);
        net.send(id, &output);
        if over {
            self.connections.remove(&id);
            net.finish(id);
        }
    }
}
