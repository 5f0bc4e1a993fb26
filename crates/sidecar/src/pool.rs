//! Connections on which this sidecar asks: one request at a time each, kept between requests.

use crate::net::{ConnectionId, LinkUse, Net, NetEvent};
use crate::Millis;
use http1::{Answer, Exchange, ExchangeError, ExpectedId, Request, StreamEnd};
use mesh::GRANT_HEADER;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time for opening a connection, milliseconds.
const OPEN_LIMIT_MS: u64 = 350;
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
const MAX_ANSWER_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// How an asked request ended.
#[derive(Debug)]
pub enum PoolEnd {
    /// It was not sent whole, so it cannot have run.
    NotSent,
    /// A whole answer.
    Answered(Answer),
    /// It was sent, and no proper answer came.
    Failed(ExchangeError),
}

/// A request as it is asked.
#[derive(Debug)]
pub struct Asked {
    /// Method, which decides how the answer is framed.
    pub method: String,
    /// The whole request as bytes, or its head if its body is offered.
    pub bytes: Vec<u8>,
    /// The request whose body is offered: sent as the other side grants it.
    pub offered: Option<Rc<Request>>,
    /// Id that its answer carries.
    pub expected: Option<ExpectedId>,
}

#[derive(Debug)]
enum State {
    Opening {
        asked: Asked,
        since: Millis,
    },
    /// Nothing is asked; it is tried whether a connection is taken.
    Probing {
        since: Millis,
    },
    Busy {
        exchange: Exchange,
        unsent: Option<Unsent>,
    },
    Idle {
        since: Millis,
    },
}

/// A body that is offered and not sent whole.
#[derive(Debug)]
struct Unsent {
    request: Rc<Request>,
    sent: usize,
}

#[derive(Debug)]
struct Held<K> {
    address: SocketAddr,
    key: Option<K>,
    state: State,
}

/// Connections with what is asked on them; `K` names a request.
#[derive(Debug)]
pub struct Pool<K> {
    idle_limit_ms: u64,
    connections: BTreeMap<ConnectionId, Held<K>>,
    by_key: BTreeMap<K, ConnectionId>,
    idle: BTreeMap<SocketAddr, Vec<ConnectionId>>,
    /// Whether the connection that was tried last was taken.
    probed: Option<bool>,
}

impl<K: Copy + Ord> Pool<K> {
    /// A pool that keeps connections for `idle_limit_ms` between requests.
    pub fn new(idle_limit_ms: u64) -> Self {
        Pool {
            idle_limit_ms,
            connections: BTreeMap::new(),
            by_key: BTreeMap::new(),
            idle: BTreeMap::new(),
            probed: None,
        }
    }

    /// Tries whether a connection is taken; [`Pool::take_probed`] tells. One that is taken is kept
    /// for the next request. `again`: one that rests unused, and so has not ended, will do.
    pub fn probe(&mut self, net: &mut Net, address: SocketAddr, again: bool, now: Millis) {
        if again && self.idle.get(&address).is_some_and(|idle| !idle.is_empty()) {
            self.probed = Some(true);
            return;
        }
        match net.connect(address) {
            Ok(id) => {
                let state = State::Probing { since: now };
                self.connections.insert(id, Held { address, key: None, state });
            }
            Err(_) => self.probed = Some(false),
        }
    }

    /// What the last probe showed, once.
    pub fn take_probed(&mut self) -> Option<bool> {
        self.probed.take()
    }

    /// Asks a request; the end comes with a later event, or at once if it cannot be sent.
    pub fn ask(
        &mut self,
        net: &mut Net,
        address: SocketAddr,
        key: K,
        asked: Asked,
        now: Millis,
    ) -> Option<PoolEnd> {
        if let Some(id) = self.take_idle(net, address) {
            let state = send(net, id, asked);
            self.connections.insert(id, Held { address, key: Some(key), state });
            self.by_key.insert(key, id);
            return None;
        }
        let Ok(id) = net.connect(address) else {
            return Some(PoolEnd::NotSent);
        };
        net.set_use(id, LinkUse::Calls);
        let state = State::Opening { asked, since: now };
        self.connections.insert(id, Held { address, key: Some(key), state });
        self.by_key.insert(key, id);
        None
    }

    /// The connection used last, since the one that rested longest is the likeliest to be closed.
    fn take_idle(&mut self, net: &mut Net, address: SocketAddr) -> Option<ConnectionId> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(id) = idle.pop() {
            // Bytes that came while it rested belong to no request.
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

    /// Gives up a request; its connection is closed.
    pub fn abort(&mut self, net: &mut Net, key: K) {
        if let Some(id) = self.by_key.remove(&key) {
            self.connections.remove(&id);
            net.close(id);
        }
    }

    /// Whether a request was sent whole, so that it may have run.
    pub fn was_sent(&self, key: K) -> bool {
        let held = self.by_key.get(&key).and_then(|id| self.connections.get(id));
        held.is_some_and(|held| matches!(held.state, State::Busy { unsent: None, .. }))
    }

    /// Takes in an event of one of its connections.
    pub fn on_event(
        &mut self,
        net: &mut Net,
        event: &NetEvent,
        now: Millis,
    ) -> Option<(K, PoolEnd)> {
        match event {
            NetEvent::Opened(id) => {
                self.opened(net, *id, now);
                None
            }
            NetEvent::NotOpened(id) => {
                let held = self.connections.remove(id)?;
                self.note_probe_failed(&held.state);
                let key = held.key?;
                self.by_key.remove(&key);
                Some((key, PoolEnd::NotSent))
            }
            NetEvent::Received(id) => self.received(net, *id, now),
            NetEvent::Ended(id, end) => self.stream_ended(net, *id, *end),
            NetEvent::Accepted { .. } => None,
        }
    }

    fn opened(&mut self, net: &mut Net, id: ConnectionId, now: Millis) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        match std::mem::replace(&mut held.state, State::Idle { since: now }) {
            State::Opening { asked, .. } => held.state = send(net, id, asked),
            State::Probing { .. } => {
                self.probed = Some(true);
                self.idle.entry(held.address).or_default().push(id);
            }
            other => held.state = other,
        }
    }

    fn note_probe_failed(&mut self, state: &State) {
        if matches!(state, State::Probing { .. }) {
            self.probed = Some(false);
        }
    }

    fn received(&mut self, net: &mut Net, id: ConnectionId, now: Millis) -> Option<(K, PoolEnd)> {
        let held = self.connections.get_mut(&id)?;
        let State::Busy { exchange, unsent } = &mut held.state else {
            // Nothing was asked.
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
                // Of a body that was not wanted, nothing may have been sent.
                let framed = unsent.as_ref().is_none_or(|body| body.sent == 0);
                let key = held.key.take()?;
                self.by_key.remove(&key);
                if answer.reusable && framed {
                    held.state = State::Idle { since: now };
                    self.idle.entry(held.address).or_default().push(id);
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
        let held = self.connections.get_mut(&id)?;
        match &mut held.state {
            State::Idle { .. } => {
                self.drop_connection(net, id);
                None
            }
            State::Probing { .. } => {
                self.probed = Some(false);
                self.drop_connection(net, id);
                None
            }
            State::Opening { .. } => {
                let key = held.key.take()?;
                self.by_key.remove(&key);
                self.drop_connection(net, id);
                Some((key, PoolEnd::NotSent))
            }
            State::Busy { exchange, .. } => match exchange.end_of_stream(end) {
                Ok(answer) => {
                    let key = held.key.take()?;
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
        let held = self.connections.get_mut(&id)?;
        let key = held.key.take()?;
        let whole = !matches!(held.state, State::Busy { unsent: Some(_), .. });
        self.by_key.remove(&key);
        self.drop_connection(net, id);
        Some((key, if whole { PoolEnd::Failed(error) } else { PoolEnd::NotSent }))
    }

    fn drop_connection(&mut self, net: &mut Net, id: ConnectionId) {
        if let Some(held) = self.connections.remove(&id) {
            if let Some(idle) = self.idle.get_mut(&held.address) {
                idle.retain(|other| *other != id);
            }
        }
        net.close(id);
    }

    /// Closes what rested too long, and gives up what could not be opened in time.
    pub fn tick(&mut self, net: &mut Net, now: Millis) -> Vec<(K, PoolEnd)> {
        let late = |held: &Held<K>| match held.state {
            State::Idle { since } => since + self.idle_limit_ms <= now,
            State::Opening { since, .. } | State::Probing { since } => since + OPEN_LIMIT_MS <= now,
            State::Busy { .. } => false,
        };
        let found = self.connections.iter().filter(|(_, held)| late(held));
        let ids: Vec<ConnectionId> = found.map(|(id, _)| *id).collect();
        let mut ends = Vec::new();
        for id in ids {
            let key = self.connections.get_mut(&id).and_then(|held| held.key.take());
            self.drop_connection(net, id);
            if let Some(key) = key {
                self.by_key.remove(&key);
                ends.push((key, PoolEnd::NotSent));
            }
        }
        ends
    }
}

/// Sends what is asked, but for a body that is only offered.
fn send(net: &mut Net, id: ConnectionId, asked: Asked) -> State {
    net.send(id, &asked.bytes);
    let Asked { method, expected, offered, .. } = asked;
    let exchange = Exchange::new(&method, expected, MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_BODY_BYTES);
    let unsent = offered.map(|request| Unsent { request, sent: 0 });
    State::Busy { exchange, unsent }
}

/// Sends as much of an offered body as the other side granted meanwhile.
fn send_granted(
    net: &mut Net,
    id: ConnectionId,
    exchange: &mut Exchange,
    unsent: &mut Option<Unsent>,
) {
    for interim in exchange.take_interim() {
        let Some(Unsent { request, sent }) = unsent else {
            return;
        };
        let left = &request.body[*sent..];
        // Sidecars of an earlier version want the whole body.
        let granted = interim.number(GRANT_HEADER).map_or(left.len(), |bytes| bytes as usize);
        let piece = &left[..granted.min(left.len())];
        net.send(id, piece);
        *sent += piece.len();
        if *sent == request.body.len() {
            *unsent = None;
        }
    }
}
