//! Client connections of the sidecar: one request at a time on each, kept open between requests.

use crate::net::{ConnectionId, LinkUse, Net, NetEvent, SMALLEST_WINDOW_BYTES};
use crate::Millis;
use bytes::Bytes;
use http1::{
    Answer, ByteBudget, Exchange, ExchangeError, ExpectedId, Output, OutputQueue, Request,
    StreamEnd,
};
use mesh::GRANT_HEADER;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 350;
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
const MAX_ANSWER_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// How an outgoing request ended.
#[derive(Debug)]
pub enum PoolEnd {
    /// The request was not sent completely, so it cannot have run.
    NotSent,
    /// A complete answer was received.
    Answered(Answer),
    /// The request was sent, and no valid answer was received.
    Failed(ExchangeError),
}

/// A request ready to be sent.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The method, which determines the framing of the answer.
    pub method: String,
    /// The encoded head.
    pub head: Vec<u8>,
    /// The body, unless it is offered.
    pub body: Bytes,
    /// The request whose body is offered and sent only as the receiver grants it.
    pub offered: Option<Rc<Request>>,
    /// The id that the answer must carry.
    pub expected: Option<ExpectedId>,
}

#[derive(Debug)]
enum State {
    Opening {
        outgoing: OutgoingRequest,
        since: Millis,
    },
    /// No request; checks whether the connection is accepted.
    Probing {
        since: Millis,
    },
    Busy {
        exchange: Exchange,
        unsent: Option<UnsentBody>,
    },
    Idle {
        since: Millis,
    },
}

/// An offered body that has not been sent completely.
#[derive(Debug)]
struct UnsentBody {
    request: Rc<Request>,
    sent: usize,
}

#[derive(Debug)]
struct PooledConnection<K> {
    address: SocketAddr,
    key: Option<K>,
    state: State,
}

/// Connections and the requests on them; `K` identifies a request.
#[derive(Debug)]
pub struct Pool<K> {
    idle_limit_ms: u64,
    /// What the bodies of answers are charged to.
    budget: ByteBudget,
    connections: BTreeMap<ConnectionId, PooledConnection<K>>,
    by_key: BTreeMap<K, ConnectionId>,
    idle: BTreeMap<SocketAddr, Vec<ConnectionId>>,
    /// Whether the last probe connected.
    probe_result: Option<bool>,
}

impl<K: Copy + Ord> Pool<K> {
    /// Creates a pool that keeps idle connections open for `idle_limit_ms`.
    pub fn new(idle_limit_ms: u64, budget: ByteBudget) -> Self {
        Pool {
            idle_limit_ms,
            budget,
            connections: BTreeMap::new(),
            by_key: BTreeMap::new(),
            idle: BTreeMap::new(),
            probe_result: None,
        }
    }

    /// Checks whether the address accepts a connection; [`Pool::take_probe_result`] returns the
    /// result. A connection that was accepted is kept for the next request. With `again`, an idle
    /// connection that has not ended counts as a success.
    pub fn probe(&mut self, net: &mut Net, address: SocketAddr, again: bool, now: Millis) {
        if again && self.idle.get(&address).is_some_and(|idle| !idle.is_empty()) {
            self.probe_result = Some(true);
            return;
        }
        match net.connect(address) {
            Ok(id) => {
                net.set_use(id, LinkUse::Calls);
                let state = State::Probing { since: now };
                self.connections.insert(id, PooledConnection { address, key: None, state });
            }
            Err(_) => self.probe_result = Some(false),
        }
    }

    /// Takes the result of the last probe.
    pub fn take_probe_result(&mut self) -> Option<bool> {
        self.probe_result.take()
    }

    /// Sends a request; its end is reported by a later event, or at once if it cannot be sent.
    pub fn send_request(
        &mut self,
        net: &mut Net,
        address: SocketAddr,
        key: K,
        outgoing: OutgoingRequest,
        now: Millis,
    ) -> Option<PoolEnd> {
        if let Some(id) = self.take_idle(net, address) {
            let state = send(net, id, outgoing, &self.budget);
            self.connections.insert(id, PooledConnection { address, key: Some(key), state });
            self.by_key.insert(key, id);
            return None;
        }
        let Ok(id) = net.connect(address) else {
            return Some(PoolEnd::NotSent);
        };
        net.set_use(id, LinkUse::Calls);
        let state = State::Opening { outgoing, since: now };
        self.connections.insert(id, PooledConnection { address, key: Some(key), state });
        self.by_key.insert(key, id);
        None
    }

    /// Takes the most recently used idle connection, since the one that was idle longest is the
    /// most likely to be closed.
    fn take_idle(&mut self, net: &mut Net, address: SocketAddr) -> Option<ConnectionId> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(id) = idle.pop() {
            // Data received while the connection was idle belongs to no request.
            if net.input(id).is_some_and(|input| input.is_empty()) {
                return Some(id);
            }
            self.connections.remove(&id);
            net.close(id);
        }
        None
    }

    /// Whether a connection belongs to this pool.
    pub fn holds(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Aborts a request and closes its connection.
    pub fn abort(&mut self, net: &mut Net, key: K) {
        if let Some(id) = self.by_key.remove(&key) {
            self.connections.remove(&id);
            net.close(id);
        }
    }

    /// Whether a request was sent completely, so that it may have run.
    pub fn was_sent(&self, key: K) -> bool {
        let conn = self.by_key.get(&key).and_then(|id| self.connections.get(id));
        conn.is_some_and(|conn| matches!(conn.state, State::Busy { unsent: None, .. }))
    }

    /// Handles an event on one of the connections.
    pub fn on_event(
        &mut self,
        net: &mut Net,
        event: &NetEvent,
        now: Millis,
    ) -> Option<(K, PoolEnd)> {
        match event {
            NetEvent::Connected(id) => {
                self.opened(net, *id, now);
                None
            }
            NetEvent::ConnectFailed(id) => {
                let conn = self.connections.remove(id)?;
                self.note_probe_failed(&conn.state);
                let key = conn.key?;
                self.by_key.remove(&key);
                Some((key, PoolEnd::NotSent))
            }
            NetEvent::Received(id) => self.received(net, *id, now),
            NetEvent::Ended(id, end) => self.stream_ended(net, *id, *end),
            NetEvent::Accepted { .. } => None,
        }
    }

    fn opened(&mut self, net: &mut Net, id: ConnectionId, now: Millis) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        match std::mem::replace(&mut conn.state, State::Idle { since: now }) {
            State::Opening { outgoing, .. } => {
                conn.state = send(net, id, outgoing, &self.budget);
            }
            State::Probing { .. } => {
                self.probe_result = Some(true);
                self.idle.entry(conn.address).or_default().push(id);
            }
            other => conn.state = other,
        }
    }

    fn note_probe_failed(&mut self, state: &State) {
        if matches!(state, State::Probing { .. }) {
            self.probe_result = Some(false);
        }
    }

    fn received(&mut self, net: &mut Net, id: ConnectionId, now: Millis) -> Option<(K, PoolEnd)> {
        let conn = self.connections.get_mut(&id)?;
        let State::Busy { exchange, unsent } = &mut conn.state else {
            // No request was sent.
            self.drop_connection(net, id);
            return None;
        };
        let input = net.input(id)?;
        match exchange.receive(input) {
            Ok(None) => {
                send_granted(net, id, exchange, unsent);
                None
            }
            Ok(Some(answer)) => {
                // If the body was rejected, the connection is reusable only if none of the body was
                // sent.
                let in_sync = unsent.as_ref().is_none_or(|body| body.sent == 0);
                let key = conn.key.take()?;
                self.by_key.remove(&key);
                if answer.reusable && in_sync {
                    conn.state = State::Idle { since: now };
                    self.idle.entry(conn.address).or_default().push(id);
                    net.trim(id);
                } else {
                    self.drop_connection(net, id);
                }
                Some((key, PoolEnd::Answered(answer)))
            }
            Err(error) => self.fail(net, id, error),
        }
    }

    fn stream_ended(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        end: StreamEnd,
    ) -> Option<(K, PoolEnd)> {
        let conn = self.connections.get_mut(&id)?;
        match &mut conn.state {
            State::Idle { .. } => {
                self.drop_connection(net, id);
                None
            }
            State::Probing { .. } => {
                self.probe_result = Some(false);
                self.drop_connection(net, id);
                None
            }
            State::Opening { .. } => {
                let key = conn.key.take()?;
                self.by_key.remove(&key);
                self.drop_connection(net, id);
                Some((key, PoolEnd::NotSent))
            }
            State::Busy { exchange, .. } => match exchange.end_of_stream(end) {
                Ok(answer) => {
                    let key = conn.key.take()?;
                    self.by_key.remove(&key);
                    self.drop_connection(net, id);
                    Some((key, PoolEnd::Answered(answer)))
                }
                Err(error) => self.fail(net, id, error),
            },
        }
    }

    fn fail(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        error: ExchangeError,
    ) -> Option<(K, PoolEnd)> {
        let conn = self.connections.get_mut(&id)?;
        let key = conn.key.take()?;
        let sent_whole = !matches!(conn.state, State::Busy { unsent: Some(_), .. });
        self.by_key.remove(&key);
        self.drop_connection(net, id);
        Some((key, if sent_whole { PoolEnd::Failed(error) } else { PoolEnd::NotSent }))
    }

    fn drop_connection(&mut self, net: &mut Net, id: ConnectionId) {
        if let Some(conn) = self.connections.remove(&id) {
            if let Some(idle) = self.idle.get_mut(&conn.address) {
                idle.retain(|other| *other != id);
            }
        }
        net.close(id);
    }

    /// Closes connections that were idle too long, and fails requests whose connection could not be
    /// opened in time.
    pub fn tick(&mut self, net: &mut Net, now: Millis) -> Vec<(K, PoolEnd)> {
        let is_expired = |conn: &PooledConnection<K>| match conn.state {
            State::Idle { since } => since + self.idle_limit_ms <= now,
            State::Opening { since, .. } | State::Probing { since } => {
                since + CONNECT_TIMEOUT_MS <= now
            }
            State::Busy { .. } => false,
        };
        let found = self.connections.iter().filter(|(_, conn)| is_expired(conn));
        let ids: Vec<ConnectionId> = found.map(|(id, _)| *id).collect();
        let mut ends = Vec::new();
        for id in ids {
            let key = self.connections.get_mut(&id).and_then(|conn| conn.key.take());
            self.drop_connection(net, id);
            if let Some(key) = key {
                self.by_key.remove(&key);
                ends.push((key, PoolEnd::NotSent));
            }
        }
        ends
    }
}

/// Sends a request, except for a body that is only offered.
fn send(net: &mut Net, id: ConnectionId, outgoing: OutgoingRequest, budget: &ByteBudget) -> State {
    let OutgoingRequest { method, head, body, expected, offered } = outgoing;
    let mut message = OutputQueue::default();
    message.put(&head);
    message.put_shared(&body);
    // The upstream may read the body only when it begins to work on it.
    net.set_awaits_reader(id, message.len() > SMALLEST_WINDOW_BYTES);
    net.send_message(id, message);
    let exchange = Exchange::new(&method, expected, MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_BODY_BYTES);
    let exchange = exchange.with_budget(budget.clone());
    let exchange = if offered.is_some() { exchange.with_grants() } else { exchange };
    let unsent = offered.map(|request| UnsentBody { request, sent: 0 });
    State::Busy { exchange, unsent }
}

/// Sends as much of an offered body as the receiver has granted in the meantime.
fn send_granted(
    net: &mut Net,
    id: ConnectionId,
    exchange: &mut Exchange,
    unsent: &mut Option<UnsentBody>,
) {
    for interim in exchange.take_interim() {
        let Some(UnsentBody { request, sent }) = unsent else {
            return;
        };
        let remaining = request.body.len() - *sent;
        // Sidecars of an earlier version accept the whole body at once.
        let granted = interim.number(GRANT_HEADER).map_or(remaining, |bytes| bytes as usize);
        let piece = request.body.slice(*sent..*sent + granted.min(remaining));
        *sent += piece.len();
        let mut message = OutputQueue::default();
        message.push(piece);
        net.send_message(id, message);
        if *sent == request.body.len() {
            *unsent = None;
        }
    }
}
