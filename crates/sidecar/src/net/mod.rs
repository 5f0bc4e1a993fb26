//! The sockets of the process: a table of connections over one poll instance, with buffered output.

mod closing;
mod connection;
mod ending;
mod usage;

pub use closing::{Leftovers, LATE_READER_TIMEOUT};
pub use ending::WriteFailure;
pub use usage::{LinkUse, SentBytes, Traffic};

use crate::LogRateLimit;
use admission::{LinkState, Pacer, PacerCounts, SendUrgency};
use bytes::BytesMut;
use connection::Connection;
use http1::{Output, OutputQueue, StreamEnd};
use mesh::MAX_FRAME_BYTES;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use telemetry::BootInstant;

/// Identifies a connection. An id is never reused, even if its index in the table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    index: usize,
    generation: u64,
}

impl ConnectionId {
    /// An id for tests of components without sockets.
    pub fn for_tests(number: u64) -> Self {
        ConnectionId { index: 0, generation: number }
    }
}

/// Any receiver takes this much before its process reads any of it.
pub const SMALLEST_WINDOW_BYTES: usize = 2 * 1024;
/// Maximum number of broken connections logged per second.
const BROKEN_WRITES_LOGGED_PER_S: u32 = 5;
/// Maximum number of connections logged per second that were closed with data left on them.
const DROPPED_LOGGED_PER_S: u32 = 5;
/// Tokens from this value on belong to listeners.
const FIRST_LISTENER: usize = 1 << 30;
/// Bytes read from a connection before it is the next one's turn.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A connection with this many unparsed bytes is not read until some of them are taken, so that its peer is
/// held up by the window. More than the longest message head.
const MAX_INPUT_BYTES: usize = 64 * 1024;
/// The same for messages of coordinators, which are parsed once they are complete.
const MAX_CONTROL_INPUT_BYTES: usize = MAX_FRAME_BYTES + READ_BUFFER_BYTES;
const EVENTS_CAPACITY: usize = 256;
const MAX_ACCEPTS_PER_POLL: usize = 64;
const MS_PER_SECOND: f64 = 1_000.0;

/// An event on the sockets.
#[derive(Debug)]
pub enum NetEvent {
    /// A listener accepted a connection.
    Accepted {
        /// Number of the listener.
        listener: usize,
        /// The new connection.
        connection: ConnectionId,
    },
    /// A connection was established.
    Connected(ConnectionId),
    /// Data was appended to the input of a connection.
    Received(ConnectionId),
    /// The other side ended a connection. It stays in the table until it is closed here.
    Ended(ConnectionId, StreamEnd),
    /// A connection could not be established; it is closed.
    ConnectFailed(ConnectionId),
}

/// All sockets of the process.
pub struct Net {
    poll: Poll,
    events: Events,
    listeners: Vec<TcpListener>,
    /// Listeners that still have connections to accept although no further event will report them,
    /// since the poll only reports new ones.
    pending_accepts: Vec<usize>,
    /// Connections that may have more to read although no further event will report it.
    pending_reads: Vec<ConnectionId>,
    connections: Slab<Connection>,
    opened: u64,
    own_ip: IpAddr,
    traffic: Traffic,
    /// Messages that wait for this machine's link.
    pacer: Pacer<ConnectionId>,
    sent_bytes: SentBytes,
    /// Connections whose end would have been read as an orderly one but for a failed write.
    broken_writes: u64,
    broken_writes_logged: LogRateLimit,
    dropped_logged: LogRateLimit,
    since: BootInstant,
    read_buffer: Vec<u8>,
}

impl Net {
    /// Creates the state without sockets for the machine with this address. `link_bytes_per_ms` is
    /// the capacity of its link, in bytes per millisecond; `None` if unknown.
    pub fn new(own_ip: IpAddr, link_bytes_per_ms: Option<f64>) -> io::Result<Self> {
        Ok(Net {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS_CAPACITY),
            listeners: Vec::new(),
            pending_accepts: Vec::new(),
            pending_reads: Vec::new(),
            connections: Slab::new(),
            opened: 0,
            own_ip,
            traffic: Traffic::default(),
            pacer: Pacer::new(link_bytes_per_ms),
            sent_bytes: SentBytes::default(),
            broken_writes: 0,
            broken_writes_logged: LogRateLimit::new(BROKEN_WRITES_LOGGED_PER_S),
            dropped_logged: LogRateLimit::new(DROPPED_LOGGED_PER_S),
            since: BootInstant::now(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Listens on an address; returns the number of the listener.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<usize> {
        let mut listener = TcpListener::bind(address)?;
        let number = self.listeners.len();
        let token = Token(FIRST_LISTENER + number);
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listeners.push(listener);
        Ok(number)
    }

    /// Starts to open a connection; [`NetEvent::Connected`] or [`NetEvent::ConnectFailed`] follows.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnectionId> {
        let stream = TcpStream::connect(address)?;
        self.add(stream, address.ip(), true)
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        other: IpAddr,
        opening: bool,
    ) -> io::Result<ConnectionId> {
        let remote = other != self.own_ip && !other.is_loopback();
        let entry = self.connections.vacant_entry();
        let index = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(index), interest)?;
        self.opened += 1;
        let generation = self.opened;
        entry.insert(Connection::new(generation, stream, opening, remote));
        Ok(ConnectionId { index, generation })
    }

    fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let found = self.connections.get_mut(id.index);
        found.filter(|connection| connection.generation == id.generation)
    }

    /// The address of the other side of a connection.
    pub fn remote_address(&self, id: ConnectionId) -> Option<SocketAddr> {
        let found = self.connections.get(id.index);
        let connection = found.filter(|connection| connection.generation == id.generation)?;
        connection.stream.peer_addr().ok()
    }

    /// Received data that has not been consumed yet.
    pub fn input(&mut self, id: ConnectionId) -> Option<&mut BytesMut> {
        self.get_mut(id).map(|connection| &mut connection.input)
    }

    /// Releases the memory of an empty input buffer.
    pub fn trim(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            if connection.input.is_empty() {
                connection.input = BytesMut::new();
            }
        }
    }

    /// Takes the traffic with other machines since the last call.
    pub fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    fn now_ms(&self) -> f64 {
        self.since.elapsed().as_secs_f64() * MS_PER_SECOND
    }

    /// Treats a connection as one to another machine regardless of its address, for tests with
    /// sockets on a single machine.
    pub fn set_remote_for_tests(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            connection.remote = true;
        }
    }

    /// Sets the use of a connection.
    pub fn set_use(&mut self, id: ConnectionId, used_for: LinkUse) {
        if let Some(connection) = self.get_mut(id) {
            connection.used_for = used_for;
        }
    }

    /// States whether the other side may leave unread what is sent on a connection from now on. A process
    /// on this machine is then given time to read.
    pub fn set_awaits_reader(&mut self, id: ConnectionId, awaits_reader: bool) {
        if let Some(connection) = self.get_mut(id) {
            connection.set_awaits_reader(awaits_reader);
        }
    }

    /// Bytes sent to other machines since the start.
    pub fn sent_bytes(&self) -> SentBytes {
        self.sent_bytes
    }

    /// Number of connections whose end a failed write had hidden.
    pub fn broken_writes(&self) -> u64 {
        self.broken_writes
    }

    /// Sets the priority of messages sent on a connection from now on.
    pub fn set_urgency(&mut self, id: ConnectionId, urgency: SendUrgency) {
        if let Some(connection) = self.get_mut(id) {
            connection.urgency = urgency;
        }
    }

    /// Sends bytes as soon as the link and the socket allow it.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let mut message = OutputQueue::default();
        message.put(bytes);
        self.send_message(id, message);
    }

    /// Sends a message, whose long parts are shared and not copied, as soon as the link and the socket
    /// allow it.
    pub fn send_message(&mut self, id: ConnectionId, message: OutputQueue) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        let length = message.len();
        connection.output.append(message);
        let unsent = connection.output.len();
        let Connection { remote, urgency, used_for, .. } = *connection;
        if !remote {
            connection.flush();
            return;
        }
        self.traffic.sent += length;
        self.sent_bytes.note(used_for, length);
        let now_ms = self.now_ms();
        if self.pacer.is_waiting(id) {
            self.pacer.push(id, length, urgency, now_ms);
            return;
        }
        if !self.pacer.bypasses_pacing(length, urgency) {
            // Includes the unsent rest of earlier messages, which must go first.
            self.pacer.push(id, unsent, urgency, now_ms);
            self.pump();
            return;
        }
        self.pacer.note_unpaced(length, now_ms);
        if let Some(connection) = self.get_mut(id) {
            connection.flush();
        }
    }

    /// Writes the waiting messages for which the link has room.
    pub fn pump(&mut self) {
        let now_ms = self.now_ms();
        while let Some(piece) = self.pacer.next(now_ms) {
            let Some(connection) = self.get_mut(piece.key) else {
                self.pacer.remove(piece.key);
                continue;
            };
            let written = connection.write_piece(piece.bytes);
            if written > 0 {
                self.pacer.note_written(piece.key, written, now_ms);
            }
            if written < piece.bytes {
                self.pacer.note_blocked(piece.key, now_ms);
            }
            self.end_if_finished(piece.key);
        }
    }

    /// Time until the link has room for the next waiting message, in milliseconds; `None` if no
    /// message waits.
    pub fn due_in_ms(&self) -> Option<u64> {
        let due_ms = self.pacer.due_in_ms(self.now_ms())?;
        Some((due_ms.ceil() as u64).max(1))
    }

    /// Available capacity of this machine's outgoing link.
    pub fn link_state(&self) -> LinkState {
        LinkState {
            bytes_per_ms: self.pacer.available_bytes_per_ms(self.now_ms()),
            waiting_bytes: self.pacer.bytes(),
        }
    }

    /// Counters of the messages sent over the link since the start.
    pub fn pacer_counts(&self) -> PacerCounts {
        self.pacer.counts()
    }

    /// Whether any connection has output that the socket has not accepted yet.
    pub fn has_unsent(&self) -> bool {
        self.connections.iter().any(|(_, connection)| !connection.output.is_empty())
    }

    /// Waits for events, for at most `longest`.
    pub fn poll(&mut self, longest: Duration) -> Vec<NetEvent> {
        let mut net_events = Vec::new();
        let reads = self.take_due_reads();
        let is_due = !self.pending_accepts.is_empty() || !reads.is_empty();
        let longest = if is_due { Duration::ZERO } else { longest };
        if let Err(error) = self.poll.poll(&mut self.events, Some(longest)) {
            if error.kind() != io::ErrorKind::Interrupted {
                tracing::error!(%error, "poll_failed");
            }
            return net_events;
        }
        let ready: Vec<(usize, bool, bool)> = self
            .events
            .iter()
            .map(|event| {
                let readable = event.is_readable() || event.is_read_closed() || event.is_error();
                (event.token().0, readable, event.is_writable() || event.is_error())
            })
            .collect();
        for id in reads {
            self.read(id, &mut net_events);
        }
        for listener in std::mem::take(&mut self.pending_accepts) {
            self.accept(listener, &mut net_events);
        }
        for (token, readable, writable) in ready {
            match token.checked_sub(FIRST_LISTENER) {
                Some(listener) if listener < self.listeners.len() => {
                    self.accept(listener, &mut net_events);
                }
                Some(_) => {}
                None => {
                    let found = self.connections.get(token);
                    let generation = found.map(|connection| connection.generation);
                    if let Some(generation) = generation {
                        let id = ConnectionId { index: token, generation };
                        self.on_readiness(id, readable, writable, &mut net_events);
                    }
                }
            }
        }
        net_events
    }

    fn accept(&mut self, listener: usize, net_events: &mut Vec<NetEvent>) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            match self.listeners[listener].accept() {
                Ok((stream, other)) => match self.add(stream, other.ip(), false) {
                    Ok(connection) => {
                        net_events.push(NetEvent::Accepted { listener, connection });
                    }
                    Err(error) => tracing::warn!(%error, "accepted_connection_dropped"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    tracing::warn!(%error, "accept_failed");
                    return;
                }
            }
        }
        self.pending_accepts.push(listener);
    }

    fn on_readiness(
        &mut self,
        id: ConnectionId,
        readable: bool,
        writable: bool,
        net_events: &mut Vec<NetEvent>,
    ) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        if connection.opening {
            match connection.is_open() {
                Ok(true) => {
                    connection.opening = false;
                    net_events.push(NetEvent::Connected(id));
                }
                Ok(false) => return,
                Err(_) => {
                    self.close(id);
                    net_events.push(NetEvent::ConnectFailed(id));
                    return;
                }
            }
        }
        if writable {
            self.on_writable(id);
        }
        if readable {
            self.read(id, net_events);
        }
    }

    fn on_writable(&mut self, id: ConnectionId) {
        if self.pacer.is_waiting(id) {
            self.pacer.note_writable(id);
            self.pump();
            return;
        }
        let Some(connection) = self.get_mut(id).filter(|connection| !connection.output.is_empty())
        else {
            return;
        };
        connection.flush();
        self.end_if_finished(id);
    }

    /// Takes the connections that may have more to read and room for it.
    fn take_due_reads(&mut self) -> Vec<ConnectionId> {
        let (mut due, mut waiting) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.pending_reads) {
            match self.get_mut(id).map(|connection| connection.has_room()) {
                Some(true) => due.push(id),
                Some(false) => waiting.push(id),
                None => {}
            }
        }
        self.pending_reads = waiting;
        due
    }

    /// Reads what has arrived on a connection, up to a bound; the rest is read in a later turn.
    fn read(&mut self, id: ConnectionId, net_events: &mut Vec<NetEvent>) {
        let found = self.connections.get_mut(id.index);
        let Some(connection) = found.filter(|connection| connection.generation == id.generation)
        else {
            return;
        };
        if connection.ended {
            return;
        }
        let mut received = false;
        let mut received_bytes = 0;
        let mut read_failure = None;
        let end = loop {
            if received_bytes >= READ_BUFFER_BYTES || !connection.has_room() {
                if !self.pending_reads.contains(&id) {
                    self.pending_reads.push(id);
                }
                break None;
            }
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => break Some(connection.write_failure.end_of_stream()),
                Ok(count) => {
                    received_bytes += count;
                    if connection.lingering.is_none() {
                        connection.input.extend_from_slice(&self.read_buffer[..count]);
                        received = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    read_failure = Some(error.kind());
                    break Some(StreamEnd::Reset);
                }
            }
        };
        if end == Some(StreamEnd::Reset) {
            self.broken_writes += u64::from(read_failure.is_none());
            let now_ms = self.since.elapsed().as_millis() as u64;
            if self.broken_writes_logged.allows(now_ms) {
                let unsent = connection.output.len();
                let error = read_failure.or(connection.write_failure.kind());
                let used_for = connection.used_for;
                tracing::info!(?error, ?used_for, unsent, received_bytes, "connection_broken");
            }
        }
        if received {
            net_events.push(NetEvent::Received(id));
        }
        if connection.remote && received_bytes > 0 {
            self.traffic.received += received_bytes;
            let now_ms = self.since.elapsed().as_secs_f64() * MS_PER_SECOND;
            self.pacer.note_received(received_bytes, now_ms);
        }
        if let Some(end) = end {
            connection.ended = true;
            if connection.lingering.is_some() {
                self.close(id);
            } else {
                net_events.push(NetEvent::Ended(id, end));
            }
        }
    }
}
