//! The event loop that serves the links of all sidecars in one thread, and hands connections of
//! other coordinators over to separate threads.
//!
//! A link needs a file descriptor and buffers for unsent data, but no thread. The number of links
//! is therefore limited by the number of file descriptors, and connections of coordinators, which
//! need a thread each, do not compete with links of sidecars.

use crate::link::{Encoded, Link, Links, NodeFrameCache};
use crate::transport;
use mesh::{
    decode_frame, FrameError, Greeting, Purpose, ToCoordinator, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use speedy::{LittleEndian, Readable};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{info, warn};

const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);
const EVENTS_CAPACITY: usize = 1_024;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of connections accepted before open connections are served again.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// Maximum number of connections that have not sent a greeting; above it, the oldest of them is
/// closed. A greeting usually arrives within a few milliseconds. The limit allows for the
/// simultaneous return of a whole zone of a large fleet, and bounds the memory used during a
/// connection flood.
const MAX_UNGREETED: usize = 1_024;
/// Maximum unparsed input of a connection before its sidecar has reported itself, bytes. Greeting and first
/// report have some hundred; a connection that is not linked yet may come from anywhere.
const MAX_UNLINKED_INPUT_BYTES: usize = 64 * 1024;
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// A link without data from its sidecar for this long is closed; sidecars ping once a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
/// A link on which no pending data could be sent for this long is closed; the sidecar reconnects.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Maximum unsent data of a link, bytes: several times the longest list and configuration.
const MAX_PENDING_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Time for which changes of the registry are batched, so that sidecars that start or leave
/// together are announced in one frame. Short compared to the drain time of a leaving upstream.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Minimum interval between updates, so that each frame covers many sidecars during a mass start.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks for silent and stalled links and for changes of the group.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Takes over the connection of another coordinator, with the data read after the greeting.
pub(crate) type ServeCoordinator = Box<dyn Fn(std::net::TcpStream, SocketAddr, Vec<u8>) + Send>;

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    heard_at: BootInstant,
    /// Since when no pending data could be sent.
    stalled_since: Option<BootInstant>,
    /// The first error that was met. A failed write takes the error off the socket, so that the read
    /// that follows reports an end in order.
    broken: Option<io::Error>,
    stage: Stage,
}

/// Protocol stage of a connection.
enum Stage {
    /// The greeting was not received yet.
    AwaitingGreeting,
    /// Connection of a sidecar whose first report was not received yet.
    AwaitingReport,
    Linked(Link),
}

impl Connection {
    /// Maximum length of the unparsed input, bytes.
    fn max_input_bytes(&self) -> usize {
        match self.stage {
            Stage::AwaitingGreeting | Stage::AwaitingReport => MAX_UNLINKED_INPUT_BYTES,
            Stage::Linked(_) => MAX_FRAME_BYTES + READ_BUFFER_BYTES,
        }
    }
}

/// Why reading a connection paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// Nothing more has arrived.
    Drained,
    /// The unparsed input is as long as it may be.
    Full,
    /// The connection ended.
    Ended,
}

/// Result of processing the input of a connection.
enum InputOutcome {
    KeepOpen,
    Close,
    /// The peer is a coordinator; contains the length of its greeting in bytes.
    IsCoordinator(usize),
}

/// What links are told about departures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DepartureState {
    /// Position of the latest departure.
    position: u64,
    /// Position up to which departures are on disk.
    durable: u64,
    /// Whether this coordinator knows of all departures.
    complete: bool,
}

/// The event loop with its sockets.
pub(crate) struct LinkServer {
    fleet: String,
    links: Links,
    poll: Poll,
    listener: TcpListener,
    connections: Slab<Connection>,
    serve_coordinator: ServeCoordinator,
    read_buffer: Vec<u8>,
    /// Whether connections may wait to be accepted without a further event: an event is only raised
    /// for new ones.
    accepts_pending: bool,
    /// Last sent position of the registry, position of poison events, and revision of the group.
    sent_positions: (u64, u64, u64),
    /// State of the departures up to which sidecars were updated.
    sent_departures: DepartureState,
    /// When changes since then are due to be sent.
    update_at: Option<BootInstant>,
    updated_at: BootInstant,
    swept_at: BootInstant,
    complete: bool,
}

impl LinkServer {
    /// Creates a server for a bound listener.
    pub fn new(
        fleet: &str,
        listener: std::net::TcpListener,
        links: Links,
        serve_coordinator: ServeCoordinator,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        links.hub.set_waker(Waker::new(poll.registry(), WAKER)?);
        let now = BootInstant::now();
        Ok(LinkServer {
            fleet: fleet.to_owned(),
            links,
            poll,
            listener,
            connections: Slab::new(),
            serve_coordinator,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            accepts_pending: false,
            sent_positions: (0, 0, 0),
            sent_departures: DepartureState::default(),
            update_at: None,
            updated_at: now,
            swept_at: now,
            complete: false,
        })
    }

    /// Runs the event loop; never returns.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_CAPACITY);
        loop {
            if let Err(error) = self.poll.poll(&mut events, Some(self.time_until_due())) {
                if error.kind() != io::ErrorKind::Interrupted {
                    warn!(%error, "poll_failed");
                }
                continue;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => self.links.hub.clear_wake_pending(),
                    Token(key) => {
                        if event.is_writable() || event.is_error() {
                            self.flush(key);
                        }
                        if event.is_readable() || event.is_read_closed() || event.is_error() {
                            self.read(key);
                        }
                    }
                }
            }
            if self.accepts_pending {
                self.accept();
            }
            self.send_due_updates();
        }
    }

    fn time_until_due(&self) -> Duration {
        if self.accepts_pending {
            return Duration::ZERO;
        }
        let sweep_at = self.swept_at + SWEEP_INTERVAL;
        let due = sweep_at.min(self.links.next_loads_at());
        let due = self.update_at.map_or(due, |at| due.min(at));
        due.saturating_duration_since(BootInstant::now())
    }

    fn accept(&mut self) {
        self.accepts_pending = false;
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            match self.listener.accept() {
                Ok((stream, peer)) => {
                    if let Err(error) = self.add(stream, peer) {
                        info!(%peer, %error, "connection_ended");
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // If no file descriptor is available, the next sweep retries.
                    warn!(%error, connections = self.connections.len(), "accept_failed");
                    return;
                }
            }
        }
        self.accepts_pending = true;
    }

    fn add(&mut self, mut stream: TcpStream, peer: SocketAddr) -> io::Result<()> {
        transport::prepare(&stream)?;
        self.limit_ungreeted();
        let entry = self.connections.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(entry.key()), interest)?;
        entry.insert(Connection {
            stream,
            peer,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            heard_at: BootInstant::now(),
            stalled_since: None,
            broken: None,
            stage: Stage::AwaitingGreeting,
        });
        Ok(())
    }

    /// Closes the oldest connection without a greeting if there are too many of them.
    fn limit_ungreeted(&mut self) {
        let ungreeted = || {
            let all = self.connections.iter();
            all.filter(|(_, connection)| matches!(connection.stage, Stage::AwaitingGreeting))
        };
        if ungreeted().count() < MAX_UNGREETED {
            return;
        }
        let oldest = ungreeted().min_by_key(|(_, connection)| connection.heard_at);
        if let Some(key) = oldest.map(|(key, _)| key) {
            self.close(key, "too_many_without_greeting");
        }
    }

    fn read(&mut self, key: usize) {
        while let Some(end) = self.read_available(key) {
            match self.process_input(key) {
                Ok(InputOutcome::KeepOpen) if end == ReadEnd::Full && self.is_over_limit(key) => {
                    self.close(key, "too_long");
                }
                Ok(InputOutcome::KeepOpen) if end == ReadEnd::Full => continue,
                Ok(InputOutcome::KeepOpen) if end == ReadEnd::Drained => self.flush(key),
                Ok(InputOutcome::KeepOpen) => self.close(key, "ended"),
                Ok(InputOutcome::Close) => self.close(key, "refused"),
                Ok(InputOutcome::IsCoordinator(greeting)) => self.hand_over(key, greeting),
                Err(error) => {
                    warn!(%error, "link_unreadable");
                    self.close(key, "unreadable");
                }
            }
            return;
        }
    }

    /// Reads until the socket would block, or until there is more than a connection may leave unparsed.
    fn read_available(&mut self, key: usize) -> Option<ReadEnd> {
        let connection = self.connections.get_mut(key)?;
        loop {
            if connection.input.len() > connection.max_input_bytes() {
                return Some(ReadEnd::Full);
            }
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return Some(ReadEnd::Ended),
                Ok(count) => connection.input.extend_from_slice(&self.read_buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Some(ReadEnd::Drained);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    connection.broken.get_or_insert(error);
                    return Some(ReadEnd::Ended);
                }
            }
        }
    }

    /// Whether a connection left too much unparsed, though what was complete is parsed.
    fn is_over_limit(&self, key: usize) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.input.len() > connection.max_input_bytes())
    }

    /// Processes all complete frames of a connection.
    fn process_input(&mut self, key: usize) -> Result<InputOutcome, FrameError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(InputOutcome::KeepOpen);
        };
        let Connection { input, output, stage, peer, heard_at, .. } = connection;
        let mut consumed = 0;
        loop {
            let rest = &input[consumed..];
            let length = match stage {
                Stage::AwaitingGreeting => {
                    let Some((greeting, length)) = decode_frame::<Greeting>(rest)? else { break };
                    let Greeting { protocol, fleet, purpose } = greeting;
                    if protocol != PROTOCOL_VERSION || fleet != self.fleet {
                        warn!(%peer, protocol, %fleet, "greeting_refused");
                        return Ok(InputOutcome::Close);
                    }
                    if purpose == Purpose::Coordinator {
                        return Ok(InputOutcome::IsCoordinator(length));
                    }
                    *stage = Stage::AwaitingReport;
                    length
                }
                Stage::AwaitingReport => {
                    let Some((frame, length)) = decode(rest)? else { break };
                    let ToCoordinator::Report(record) = frame else {
                        return Ok(InputOutcome::Close);
                    };
                    *stage = Stage::Linked(self.links.open(record, output));
                    length
                }
                Stage::Linked(link) => {
                    let Some((frame, length)) = decode(rest)? else { break };
                    let subscribed = link.is_subscribed();
                    self.links.handle_frame(link, frame, output);
                    if link.is_subscribed() && !subscribed {
                        // A new subscriber immediately receives the current list.
                        self.links.send_node_updates(link, &mut NodeFrameCache::default(), output);
                    }
                    length
                }
            };
            *heard_at = BootInstant::now();
            consumed += length;
        }
        input.drain(..consumed);
        if input.is_empty() {
            *input = Vec::new();
        }
        Ok(InputOutcome::KeepOpen)
    }

    /// Hands the connection of another coordinator over to a separate thread.
    fn hand_over(&mut self, key: usize, greeting: usize) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        if let Err(error) = self.poll.registry().deregister(&mut connection.stream) {
            warn!(peer = %connection.peer, %error, "connection_ended");
            return;
        }
        let stream = std::net::TcpStream::from(connection.stream);
        if let Err(error) = stream.set_nonblocking(false) {
            warn!(peer = %connection.peer, %error, "connection_ended");
            return;
        }
        let rest = connection.input.split_off(greeting);
        (self.serve_coordinator)(stream, connection.peer, rest);
    }

    /// Writes pending data until the socket would block.
    fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = connection.sent;
        while connection.sent < connection.output.len() {
            match connection.stream.write(&connection.output[connection.sent..]) {
                Ok(0) => break,
                Ok(count) => connection.sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // A broken connection also becomes readable; the read detects its end.
                Err(error) => {
                    connection.broken.get_or_insert(error);
                    break;
                }
            }
        }
        if connection.sent == connection.output.len() {
            connection.output = Vec::new();
            connection.sent = 0;
            connection.stalled_since = None;
        } else if connection.sent > before || connection.stalled_since.is_none() {
            connection.stalled_since = Some(BootInstant::now());
        }
        if connection.output.len() - connection.sent > MAX_PENDING_BYTES {
            self.close(key, "takes_nothing");
        }
    }

    fn close(&mut self, key: usize, reason: &str) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        if let Err(error) = self.poll.registry().deregister(&mut connection.stream) {
            warn!(peer = %connection.peer, %error, "socket_not_deregistered");
        }
        let error = connection.broken.as_ref().map(tracing::field::display);
        let unread = connection.input.len();
        info!(peer = %connection.peer, reason, unread, error, "connection_ended");
        if let Stage::Linked(link) = &connection.stage {
            self.links.close(link);
        }
    }

    /// Sends updates that are due, and closes silent and stalled connections.
    fn send_due_updates(&mut self) {
        let now = BootInstant::now();
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now);
        }
        let state = self.links.hub.lock();
        let (registry, poison) = (state.registry.position(), state.poison.position());
        let current_positions = (registry, poison, state.revision);
        drop(state);
        self.send_departure_updates();
        if current_positions.2 != self.sent_positions.2 {
            self.sent_positions.2 = current_positions.2;
            self.links.update_group_frames();
            self.send_to_all(|links, link, output| links.send_group_updates(link, output));
        }
        if current_positions != self.sent_positions && self.update_at.is_none() {
            self.update_at = Some((now + BATCH_DELAY).max(self.updated_at + MIN_UPDATE_INTERVAL));
        }
        if self.links.is_complete() != self.complete {
            self.complete = true;
            self.update_at = Some(now);
        }
        if self.update_at.is_some_and(|at| at <= now) {
            self.update_at = None;
            self.updated_at = now;
            self.sent_positions = current_positions;
            let mut frames = NodeFrameCache::default();
            self.send_to_all(|links, link, output| {
                links.send_node_updates(link, &mut frames, output)
            });
        }
        for frame in self.links.due_load_frames() {
            self.send_to_subscribers(&frame);
        }
    }

    /// Tells sidecars what is new about departures, and acknowledges those that are on disk by now.
    fn send_departure_updates(&mut self) {
        let hub = &self.links.hub;
        let previous = self.sent_departures;
        let (new, position) = {
            let departures = hub.lock();
            let departures = departures.registry.departures();
            (departures.since(previous.position), departures.position())
        };
        let durable = hub.durable_departures();
        let complete = self.links.knows_departures();
        self.sent_departures = DepartureState { position, durable, complete };
        if self.sent_departures != previous {
            self.send_to_all(|links, link, output| {
                links.send_departure_updates(link, &new, output);
            });
        }
    }

    fn send_to_all(&mut self, mut append_updates: impl FnMut(&Links, &mut Link, &mut Vec<u8>)) {
        let mut updated = Vec::new();
        for (key, connection) in &mut self.connections {
            let before = connection.output.len();
            if let Stage::Linked(link) = &mut connection.stage {
                append_updates(&self.links, link, &mut connection.output);
            }
            if connection.output.len() > before {
                updated.push(key);
            }
        }
        for key in updated {
            self.flush(key);
        }
    }

    fn send_to_subscribers(&mut self, frame: &Encoded) {
        self.send_to_all(|_, link, output| {
            if link.is_subscribed() {
                output.extend_from_slice(frame);
            }
        });
    }

    fn sweep(&mut self, now: BootInstant) {
        self.accept();
        let close_reason = |connection: &Connection| {
            let limit = match connection.stage {
                Stage::AwaitingGreeting | Stage::AwaitingReport => GREETING_TIMEOUT,
                Stage::Linked(_) => SILENCE_LIMIT,
            };
            let stalled = connection.stalled_since.is_some_and(|since| now >= since + STALL_LIMIT);
            match (stalled, now >= connection.heard_at + limit) {
                (true, _) => Some("takes_nothing"),
                (false, true) => Some("silent"),
                (false, false) => None,
            }
        };
        let all = self.connections.iter();
        let timed_out: Vec<(usize, &str)> =
            all.filter_map(|(key, connection)| Some((key, close_reason(connection)?))).collect();
        for (key, reason) in timed_out {
            self.close(key, reason);
        }
        // Zones of members can change without a new revision of the group.
        self.links.update_group_frames();
        self.send_to_all(|links, link, output| links.send_group_updates(link, output));
    }
}

fn decode<T>(input: &[u8]) -> Result<Option<(T, usize)>, FrameError>
where
    T: for<'a> Readable<'a, LittleEndian>,
{
    decode_frame(input)
}
