//! Sockets: a table of connections over one poll, with buffered output.

mod connection;
mod usage;

pub use usage::{LinkUse, Passed, SentBytes};

use admission::{LinkState, Pacer, PacerCounts, SendUrgency};
use bytes::BytesMut;
use connection::Connection;
use http1::StreamEnd;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use telemetry::BootInstant;

/// Names a connection; never used for another one, even after its place in the table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    place: usize,
    generation: u64,
}

impl ConnectionId {
    /// An id for tests of the cores, which open no connection.
    pub fn for_tests(number: u64) -> Self {
        ConnectionId { place: 0, generation: number }
    }
}

/// Tokens from here on are listeners.
const FIRST_LISTENER: usize = 1 << 30;
const SCRATCH_BYTES: usize = 64 * 1024;
const EVENTS_CAPACITY: usize = 256;
const BACKLOG_ACCEPTS: usize = 64;
const MS_PER_SECOND: f64 = 1_000.0;

/// What happened on the sockets.
#[derive(Debug)]
pub enum NetEvent {
    /// A listener accepted a connection.
    Accepted {
        /// Which listener.
        listener: usize,
        /// The new connection.
        connection: ConnectionId,
    },
    /// A connection that was being opened is open.
    Opened(ConnectionId),
    /// Bytes were added to a connection's input.
    Received(ConnectionId),
    /// The other side ended a connection. It stays in the table until it is closed here.
    Ended(ConnectionId, StreamEnd),
    /// A connection that was being opened could not be; it is closed.
    NotOpened(ConnectionId),
}

/// All sockets of one process.
pub struct Net {
    poll: Poll,
    events: Events,
    listeners: Vec<TcpListener>,
    /// Listeners with connections that wait, of which no event will tell: one tells of new ones only.
    accepts_wait: Vec<usize>,
    connections: Slab<Connection>,
    opened: u64,
    own: IpAddr,
    passed: Passed,
    /// What waits for this machine's link.
    pacer: Pacer<ConnectionId>,
    sent_bytes: SentBytes,
    since: BootInstant,
    scratch: Vec<u8>,
}

impl Net {
    /// No sockets yet, on the machine with this address, whose link carries so many bytes a
    /// millisecond; `None` if that is not known.
    pub fn new(own: IpAddr, link_bytes_per_ms: Option<f64>) -> io::Result<Self> {
        Ok(Net {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS_CAPACITY),
            listeners: Vec::new(),
            accepts_wait: Vec::new(),
            connections: Slab::new(),
            opened: 0,
            own,
            passed: Passed::default(),
            pacer: Pacer::new(link_bytes_per_ms),
            sent_bytes: SentBytes::default(),
            since: BootInstant::now(),
            scratch: vec![0; SCRATCH_BYTES],
        })
    }

    /// Listens on an address; returns the listener's number.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<usize> {
        let mut listener = TcpListener::bind(address)?;
        let number = self.listeners.len();
        let token = Token(FIRST_LISTENER + number);
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listeners.push(listener);
        Ok(number)
    }

    /// Begins to open a connection; [`NetEvent::Opened`] or [`NetEvent::NotOpened`] follows.
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
        let remote = other != self.own && !other.is_loopback();
        let entry = self.connections.vacant_entry();
        let place = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(place), interest)?;
        self.opened += 1;
        let generation = self.opened;
        entry.insert(Connection::new(generation, stream, opening, remote));
        Ok(ConnectionId { place, generation })
    }

    fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let found = self.connections.get_mut(id.place);
        found.filter(|connection| connection.generation == id.generation)
    }

    /// Bytes received and not yet taken.
    pub fn input(&mut self, id: ConnectionId) -> Option<&mut BytesMut> {
        self.get_mut(id).map(|connection| &mut connection.input)
    }

    /// Gives the memory of an emptied input back.
    pub fn trim(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            if connection.input.is_empty() {
                connection.input = BytesMut::new();
            }
        }
    }

    /// Takes what passed between this machine and others since the last time.
    pub fn take_passed(&mut self) -> Passed {
        std::mem::take(&mut self.passed)
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    fn now_ms(&self) -> f64 {
        self.since.elapsed().as_secs_f64() * MS_PER_SECOND
    }

    /// Counts a connection as one to another machine whatever its address is, for tests of sockets
    /// on one machine.
    pub fn set_remote_for_tests(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            connection.remote = true;
        }
    }

    /// Sets what a connection is for.
    pub fn set_use(&mut self, id: ConnectionId, used_for: LinkUse) {
        if let Some(connection) = self.get_mut(id) {
            connection.used_for = used_for;
        }
    }

    /// Bytes sent to other machines since the start.
    pub fn sent_bytes(&self) -> SentBytes {
        self.sent_bytes
    }

    /// Sets the order of what is sent on a connection from now on.
    pub fn set_urgency(&mut self, id: ConnectionId, urgency: SendUrgency) {
        if let Some(connection) = self.get_mut(id) {
            connection.urgency = urgency;
        }
    }

    /// Sends bytes, when the link and the socket take them.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        connection.output.extend_from_slice(bytes);
        let unsent = connection.output.len() - connection.sent;
        let Connection { remote, urgency, used_for, .. } = *connection;
        if !remote {
            connection.flush();
            return;
        }
        self.passed.sent += bytes.len();
        self.sent_bytes.note(used_for, bytes.len());
        let now_ms = self.now_ms();
        if self.pacer.is_waiting(id) {
            self.pacer.push(id, bytes.len(), urgency, now_ms);
            return;
        }
        if !self.pacer.bypasses_pacing(bytes.len(), urgency) {
            // With what the socket did not take of an earlier message, which goes first.
            self.pacer.push(id, unsent, urgency, now_ms);
            self.pump();
            return;
        }
        self.pacer.note_unpaced(bytes.len(), now_ms);
        if let Some(connection) = self.get_mut(id) {
            connection.flush();
        }
    }

    /// Hands over what the link has room for.
    pub fn pump(&mut self) {
        let now_ms = self.now_ms();
        while let Some(piece) = self.pacer.next(now_ms) {
            let Some(connection) = self.get_mut(piece.key) else {
                self.pacer.remove(piece.key);
                continue;
            };
            let taken = connection.write_piece(piece.bytes);
            if taken > 0 {
                self.pacer.note_written(piece.key, taken, now_ms);
            }
            if taken < piece.bytes {
                self.pacer.note_blocked(piece.key, now_ms);
            }
            self.end_if_finished(piece.key);
        }
    }

    /// Tells the other side the end of a connection that was finished once its output is out.
    fn end_if_finished(&mut self, id: ConnectionId) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        if connection.lingering.is_some() && connection.output.is_empty() {
            connection.end_sending();
            if connection.ended {
                self.close(id);
            }
        }
    }

    /// Time until the link has room for what waits for it, milliseconds; `None` if nothing does.
    pub fn due_in_ms(&self) -> Option<u64> {
        let due_ms = self.pacer.due_in_ms(self.now_ms())?;
        Some((due_ms.ceil() as u64).max(1))
    }

    /// Room of this machine's outgoing link.
    pub fn link_room(&self) -> LinkState {
        LinkState {
            bytes_per_ms: self.pacer.available_bytes_per_ms(self.now_ms()),
            waiting_bytes: self.pacer.bytes(),
        }
    }

    /// What was handed over to the link since the start.
    pub fn pacer_counts(&self) -> PacerCounts {
        self.pacer.counts()
    }

    /// Whether anything waits for a socket to take it.
    pub fn has_unsent(&self) -> bool {
        self.connections.iter().any(|(_, connection)| !connection.output.is_empty())
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: ConnectionId) {
        if self.get_mut(id).is_none() {
            return;
        }
        self.pacer.remove(id);
        if let Some(mut connection) = self.connections.try_remove(id.place) {
            if let Err(error) = self.poll.registry().deregister(&mut connection.stream) {
                // It is closed all the same, which ends its events as well.
                tracing::debug!(%error, "socket_not_deregistered");
            }
        }
    }

    /// Closes a connection in good order: its output goes out first, and the other side is told
    /// the end. The connection is dropped when the other side ends it, see [`Net::sweep`].
    pub fn finish(&mut self, id: ConnectionId) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        connection.lingering = Some(BootInstant::now());
        connection.input = BytesMut::new();
        if !self.pacer.is_waiting(id) {
            if let Some(connection) = self.get_mut(id) {
                connection.flush();
            }
        }
        self.end_if_finished(id);
    }

    /// Drops connections that were finished longer than `longest` ago and not ended since.
    pub fn sweep(&mut self, longest: Duration) {
        // What waits for the link is no sign of a peer that does not read.
        let late = |place: usize, connection: &Connection| {
            let id = ConnectionId { place, generation: connection.generation };
            let waits = self.pacer.is_waiting(id) && !connection.ended;
            !waits && connection.lingering.is_some_and(|since| since.elapsed() > longest)
        };
        let of = |(place, connection): (usize, &Connection)| ConnectionId {
            place,
            generation: connection.generation,
        };
        let found = self.connections.iter().filter(|(place, held)| late(*place, held));
        let ids: Vec<ConnectionId> = found.map(of).collect();
        for id in ids {
            self.close(id);
        }
    }

    /// Waits for events, at most `longest`.
    pub fn poll(&mut self, longest: Duration) -> Vec<NetEvent> {
        let mut happened = Vec::new();
        let longest = if self.accepts_wait.is_empty() { longest } else { Duration::ZERO };
        if let Err(error) = self.poll.poll(&mut self.events, Some(longest)) {
            if error.kind() != io::ErrorKind::Interrupted {
                tracing::error!(%error, "poll_failed");
            }
            return happened;
        }
        let ready: Vec<(usize, bool, bool)> = self
            .events
            .iter()
            .map(|event| {
                let readable = event.is_readable() || event.is_read_closed() || event.is_error();
                (event.token().0, readable, event.is_writable() || event.is_error())
            })
            .collect();
        for listener in std::mem::take(&mut self.accepts_wait) {
            self.accept(listener, &mut happened);
        }
        for (token, readable, writable) in ready {
            match token.checked_sub(FIRST_LISTENER) {
                Some(listener) => self.accept(listener, &mut happened),
                None => {
                    let found = self.connections.get(token);
                    let generation = found.map(|connection| connection.generation);
                    if let Some(generation) = generation {
                        let id = ConnectionId { place: token, generation };
                        self.on_ready(id, readable, writable, &mut happened);
                    }
                }
            }
        }
        happened
    }

    fn accept(&mut self, listener: usize, happened: &mut Vec<NetEvent>) {
        for _ in 0..BACKLOG_ACCEPTS {
            match self.listeners[listener].accept() {
                Ok((stream, other)) => match self.add(stream, other.ip(), false) {
                    Ok(connection) => {
                        happened.push(NetEvent::Accepted { listener, connection });
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
        self.accepts_wait.push(listener);
    }

    fn on_ready(
        &mut self,
        id: ConnectionId,
        readable: bool,
        writable: bool,
        happened: &mut Vec<NetEvent>,
    ) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        if connection.opening {
            match connection.is_open() {
                Ok(true) => {
                    connection.opening = false;
                    happened.push(NetEvent::Opened(id));
                }
                Ok(false) => return,
                Err(_) => {
                    self.close(id);
                    happened.push(NetEvent::NotOpened(id));
                    return;
                }
            }
        }
        if writable {
            self.on_writable(id);
        }
        if readable {
            self.read(id, happened);
        }
    }

    fn on_writable(&mut self, id: ConnectionId) {
        if self.pacer.is_waiting(id) {
            self.pacer.note_writable(id);
            self.pump();
            return;
        }
        if let Some(connection) = self.get_mut(id) {
            connection.flush();
            if connection.lingering.is_some() && connection.output.is_empty() {
                connection.end_sending();
            }
        }
    }

    fn read(&mut self, id: ConnectionId, happened: &mut Vec<NetEvent>) {
        let Some(connection) = self.connections.get_mut(id.place) else {
            return;
        };
        if connection.ended {
            return;
        }
        let mut received = false;
        let mut received_bytes = 0;
        let end = loop {
            match connection.stream.read(&mut self.scratch) {
                Ok(0) => break Some(StreamEnd::Clean),
                Ok(count) => {
                    received_bytes += count;
                    if connection.lingering.is_none() {
                        connection.input.extend_from_slice(&self.scratch[..count]);
                        received = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break Some(StreamEnd::Reset),
            }
        };
        if received {
            happened.push(NetEvent::Received(id));
        }
        if connection.remote && received_bytes > 0 {
            self.passed.received += received_bytes;
            let now_ms = self.since.elapsed().as_secs_f64() * MS_PER_SECOND;
            self.pacer.note_received(received_bytes, now_ms);
        }
        if let Some(end) = end {
            connection.ended = true;
            if connection.lingering.is_some() {
                self.close(id);
            } else {
                happened.push(NetEvent::Ended(id, end));
            }
        }
    }
}
