//! Server connections of the sidecar: from callers, peers, the upstream that registers, and clients
//! of the readiness and metrics endpoints.

use crate::net::{ConnectionId, LinkUse, Net, SMALLEST_WINDOW_BYTES};
use crate::Millis;
use http1::{
    ByteBudget, Offer, OutputQueue, Request, Response, ServerConnection, ServerLimits, Slot,
};
use mesh::GRANT_HEADER;
use std::collections::BTreeMap;

/// Whoever opens a connection sends the first request within this time, in milliseconds, and a request that
/// has begun to arrive is there.
const FIRST_REQUEST_MS: Millis = 100;

const TIMED_OUT_STATUS: u16 = 408;

/// Who is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Callers on this machine.
    Caller,
    /// Peers: the sidecars of remote callers.
    Peer,
    /// The upstream on this machine, which registers here.
    Registration,
    /// Clients of the readiness check.
    Ready,
    /// Clients of the metrics endpoint.
    Metrics,
}

/// Timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerTimes {
    /// Longest time for receiving a request head.
    pub header_ms: u64,
    /// Longest idle time between requests.
    pub idle_ms: u64,
}

#[derive(Debug)]
struct ServedConnection {
    kind: ServerKind,
    core: ServerConnection,
    /// The request that is being received.
    reading: Option<Reading>,
    /// Since when there has been no request.
    idle_since: Millis,
    /// Whether nothing has arrived on it yet.
    is_new: bool,
    /// Whether a request has come before the answer to an earlier one.
    is_pipelined: bool,
    /// Bytes of answers since the other side last showed that it had read those before.
    unread_answer_bytes: usize,
}

/// A request that has not arrived completely.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// Sequence number of the request on its connection.
    request: u64,
    since: Millis,
}

impl ServedConnection {
    fn carries_calls(&self) -> bool {
        matches!(self.kind, ServerKind::Caller | ServerKind::Peer)
    }

    fn has_partial_call(&self) -> bool {
        self.carries_calls() && self.reading.is_some()
    }

    /// Records requests that arrived; `was_idle` tells whether all earlier ones had been answered then.
    /// Whoever sends one request at a time has read the answer to the one before.
    fn note_requests(&mut self, was_idle: bool) {
        self.is_pipelined |= !was_idle || self.core.unanswered() > 1;
        if !self.is_pipelined {
            self.unread_answer_bytes = 0;
        }
    }

    /// Whether its answers may exceed what the other side takes before it reads.
    fn may_hold_answers(&self) -> bool {
        self.unread_answer_bytes > SMALLEST_WINDOW_BYTES
    }

    /// Records which request is being received now. The timeout starts anew with each request: one
    /// that was answered before it was complete does not use up the time of the next one.
    fn note_reading(&mut self, request: Option<u64>, now: Millis) {
        let same = self.reading.filter(|conn| Some(conn.request) == request);
        self.reading = same.or(request.map(|request| Reading { request, since: now }));
    }
}

/// All server connections.
#[derive(Debug, Default)]
pub struct Servers {
    connections: BTreeMap<ConnectionId, ServedConnection>,
    /// What the bodies of requests are charged to.
    budget: ByteBudget,
    dropped: u64,
    /// Connections of callers and peers that were ended here behind long answers, and that they may not
    /// have closed yet.
    finishing: Vec<ConnectionId>,
}

impl Servers {
    /// Creates the state without connections.
    pub fn new(budget: ByteBudget) -> Self {
        Servers { budget, ..Servers::default() }
    }

    /// Adds a new connection.
    pub fn accepted(&mut self, net: &mut Net, id: ConnectionId, kind: ServerKind, now: Millis) {
        net.set_use(id, LinkUse::Answers);
        let core = ServerConnection::default().with_budget(self.budget.clone());
        let conn = ServedConnection {
            kind,
            core,
            reading: None,
            idle_since: now,
            is_new: true,
            is_pipelined: false,
            unread_answer_bytes: 0,
        };
        self.connections.insert(id, conn);
    }

    /// The kind of a connection, if it is a server connection.
    pub fn kind(&self, id: ConnectionId) -> Option<ServerKind> {
        self.connections.get(&id).map(|conn| conn.kind)
    }

    /// Takes complete requests out of the received data.
    pub fn received(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        limits: ServerLimits,
        now: Millis,
    ) -> Vec<(Slot, Request)> {
        let Some(conn) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        let Some(input) = net.input(id) else {
            return Vec::new();
        };
        conn.is_new = false;
        let was_idle = conn.core.unanswered() == 0;
        let mut output = OutputQueue::default();
        let requests = conn.core.receive(input, limits, &mut output);
        if !requests.is_empty() {
            conn.note_requests(was_idle);
        }
        conn.unread_answer_bytes += output.len();
        let reading = conn.core.reading(input);
        conn.note_reading(reading, now);
        conn.idle_since = now;
        net.trim(id);
        let has_answered = !output.is_empty();
        let is_quiet = conn.core.unanswered() == 0 && requests.is_empty();
        if has_answered {
            net.send_message(id, output);
        }
        if has_answered && is_quiet {
            self.finish_if_done(net, id);
        }
        requests
    }

    /// Finishes a connection whose input could not be parsed, after the error has been answered.
    fn finish_if_done(&mut self, net: &mut Net, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(|conn| conn.core.is_over()) {
            self.finish(net, id);
        }
    }

    /// The request on a connection whose body is offered and not granted yet.
    pub fn offer(&self, id: ConnectionId) -> Option<Offer<'_>> {
        self.connections.get(&id)?.core.offer()
    }

    /// Number of bytes received of the current request body.
    pub fn body_bytes(&self, id: ConnectionId) -> u64 {
        self.connections.get(&id).map_or(0, |conn| conn.core.body_bytes())
    }

    /// Allows the other side to send `bytes` more bytes of an offered body.
    pub fn grant(&mut self, net: &mut Net, id: ConnectionId, slot: Slot, bytes: u64) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        let mut output = OutputQueue::default();
        conn.core.allow(slot, GRANT_HEADER, bytes, &mut output);
        net.send_message(id, output);
    }

    /// Answers a request; `close` ends the connection after it. Requests that were held back behind
    /// it are returned by the next call of [`Servers::received`].
    pub fn answer(
        &mut self,
        net: &mut Net,
        id: ConnectionId,
        slot: Slot,
        response: Response,
        close: bool,
        now: Millis,
    ) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        let mut output = OutputQueue::default();
        let over = conn.core.answer(slot, response, close, &mut output);
        conn.unread_answer_bytes += output.len();
        conn.idle_since = now;
        net.send_message(id, output);
        if over {
            self.finish(net, id);
        }
    }

    /// Ends a connection after its output. Requests without an answer, if any, get none.
    fn finish(&mut self, net: &mut Net, id: ConnectionId) {
        let Some(conn) = self.connections.remove(&id) else {
            return;
        };
        let unanswered = conn.core.unanswered();
        if unanswered > 0 {
            self.dropped += unanswered as u64;
            tracing::info!(kind = ?conn.kind, unanswered, "requests_dropped");
        }
        let holds_answers = conn.carries_calls() && conn.may_hold_answers();
        if holds_answers {
            self.finishing.push(id);
        }
        net.finish(id, holds_answers);
    }

    /// Whether a caller or peer has not closed its connection behind answers that may still be with this
    /// machine's kernel. Short answers are with the other side's; whoever watches the readiness is not
    /// waited for.
    pub fn awaits_close(&self, net: &Net) -> bool {
        self.finishing.iter().any(|id| net.is_open(*id))
    }

    /// Whether a connection for calls was opened so lately that its first request may be on its way.
    pub fn awaits_first_request(&self, now: Millis) -> bool {
        let is_awaited = |conn: &ServedConnection| {
            conn.carries_calls() && conn.is_new && now < conn.idle_since + FIRST_REQUEST_MS
        };
        self.connections.values().any(is_awaited)
    }

    /// Number of requests whose connection was ended without an answer to them.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Removes a connection that the other side ended; returns true if it was a server connection.
    pub fn ended(&mut self, net: &mut Net, id: ConnectionId) -> bool {
        let conn = self.connections.remove(&id);
        if conn.is_some() {
            net.close(id);
        }
        conn.is_some()
    }

    /// Ends connections that are too slow or have been idle for too long.
    pub fn tick(&mut self, net: &mut Net, times: impl Fn(ServerKind) -> ServerTimes, now: Millis) {
        self.finishing.retain(|id| net.is_open(*id));
        let mut slow = Vec::new();
        let mut idle = Vec::new();
        for (id, conn) in &mut self.connections {
            let limits = times(conn.kind);
            let unanswered = conn.core.unanswered();
            let reading = net.input(*id).and_then(|input| conn.core.reading(input));
            conn.note_reading(reading, now);
            if conn.reading.is_some_and(|reading| reading.since + limits.header_ms <= now) {
                slow.push(*id);
            } else if unanswered == 0
                && conn.reading.is_none()
                && conn.idle_since + limits.idle_ms <= now
            {
                idle.push(*id);
            }
        }
        for id in slow {
            self.time_out(net, id);
        }
        for id in idle {
            self.finish(net, id);
        }
    }

    /// Number of calls from callers and peers that have not arrived completely.
    pub fn partial_calls(&self) -> usize {
        self.connections.values().filter(|conn| conn.has_partial_call()).count()
    }

    /// Refuses the calls from callers and peers that have begun to arrive and are not there in time. They
    /// have not run.
    pub fn refuse_partial_calls(
        &mut self,
        net: &mut Net,
        refusal: impl Fn(ServerKind) -> Response,
        now: Millis,
    ) {
        let is_due = |reading: Reading| reading.since + FIRST_REQUEST_MS <= now;
        let is_late =
            |conn: &ServedConnection| conn.carries_calls() && conn.reading.is_some_and(is_due);
        let found = self.connections.iter().filter(|(_, conn)| is_late(conn));
        let late: Vec<(ConnectionId, ServerKind)> =
            found.map(|(id, conn)| (*id, conn.kind)).collect();
        for (id, kind) in late {
            self.refuse_partial(net, id, refusal(kind));
        }
    }

    /// Answers a request that has not arrived completely with status 408; nothing more is read.
    fn time_out(&mut self, net: &mut Net, id: ConnectionId) {
        self.refuse_partial(net, id, Response::empty(TIMED_OUT_STATUS));
    }

    /// Answers a request that has not arrived completely; nothing more is read.
    fn refuse_partial(&mut self, net: &mut Net, id: ConnectionId, response: Response) {
        let Some(conn) = self.connections.get_mut(&id) else {
            return;
        };
        conn.reading = None;
        tracing::info!(
            kind = ?conn.kind, status = response.status, body_bytes = conn.core.body_bytes(),
            verdict = "not-run", "partial_request_refused"
        );
        let mut output = OutputQueue::default();
        let over = conn.core.refuse_partial(response, &mut output);
        conn.unread_answer_bytes += output.len();
        net.send_message(id, output);
        if over {
            self.finish(net, id);
        }
    }
}
