//! The one thread that serves the links of all sidecars, and hands connections of other coordinators
//! over to threads of their own.
//!
//! A link costs a descriptor and what waits to be sent on it, no thread; so the number of links is
//! bounded by the descriptors that the process may have, and connections of coordinators, which need a
//! thread each, never wait for room among links of sidecars.

use crate::link::{Encoded, Link, Links, NodeFrames};
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
const SCRATCH_BYTES: usize = 64 * 1024;
/// Connections accepted before those that are open are looked at again.
const ACCEPTS_AT_ONCE: usize = 64;
/// Connections that have not greeted yet, at most; beyond, the oldest of them is closed. One greets
/// within a few milliseconds: so many come in the moment in which a whole zone of a large fleet
/// returns, and a flood of them costs a bounded memory.
const MOST_UNGREETED: usize = 1_024;
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// A sidecar that says nothing for this long is taken for gone: it pings each second.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
/// A sidecar that takes nothing of what waits for it for this long is left; it links again.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Most that waits for one sidecar, bytes: some times the longest list and configuration.
const MOST_WAITING_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Changes of the registry are collected for this long, so that sidecars which start or leave
/// together are told of in one frame. Short against the time in which a leaving upstream is served.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Least time between two tellings: while a herd starts, each frame tells of many.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at links that are silent or stalled, and at the group.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Takes over the connection of another coordinator, with what was read of it behind the greeting.
pub(crate) type ServeCoordinator = Box<dyn Fn(std::net::TcpStream, SocketAddr, Vec<u8>) + Send>;

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    heard_at: BootInstant,
    /// Since when the socket took nothing of what waits.
    stalled_since: Option<BootInstant>,
    stage: Stage,
}

/// How far a connection is.
enum Stage {
    /// Its greeting is awaited.
    Accepted,
    /// A sidecar's; its first report is awaited.
    Greeted,
    Linked(Link),
}

/// What became of the input of a connection.
enum Taken {
    Goes,
    Closes,
    /// It is another coordinator's; so many bytes are its greeting.
    IsCoordinators(usize),
}

/// The loop with its sockets.
pub(crate) struct LinkServer {
    fleet: String,
    links: Links,
    poll: Poll,
    listener: TcpListener,
    connections: Slab<Connection>,
    serve_coordinator: ServeCoordinator,
    scratch: Vec<u8>,
    /// Whether connections wait that no event will tell of: an event tells of new ones only.
    accepts_wait: bool,
    /// Position of the registry and of poison requests, and revision of the group, told last.
    told: (u64, u64, u64),
    /// When what changed since is to be told.
    tell_at: Option<BootInstant>,
    told_at: BootInstant,
    swept_at: BootInstant,
    complete: bool,
}

impl LinkServer {
    /// A server of a bound listener.
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
            scratch: vec![0; SCRATCH_BYTES],
            accepts_wait: false,
            told: (0, 0, 0),
            tell_at: None,
            told_at: now,
            swept_at: now,
            complete: false,
        })
    }

    /// Serves for as long as the process runs.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_CAPACITY);
        loop {
            if let Err(error) = self.poll.poll(&mut events, Some(self.until_due())) {
                if error.kind() != io::ErrorKind::Interrupted {
                    warn!(%error, "poll_failed");
                }
                continue;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => self.links.hub.woken(),
                    Token(place) => {
                        if event.is_writable() || event.is_error() {
                            self.flush(place);
                        }
                        if event.is_readable() || event.is_read_closed() || event.is_error() {
                            self.read(place);
                        }
                    }
                }
            }
            if self.accepts_wait {
                self.accept();
            }
            self.tell_due();
        }
    }

    fn until_due(&self) -> Duration {
        if self.accepts_wait {
            return Duration::ZERO;
        }
        let sweep_at = self.swept_at + SWEEP_INTERVAL;
        let due = sweep_at.min(self.links.next_loads());
        let due = self.tell_at.map_or(due, |at| due.min(at));
        due.saturating_duration_since(BootInstant::now())
    }

    fn accept(&mut self) {
        self.accepts_wait = false;
        for _ in 0..ACCEPTS_AT_ONCE {
            match self.listener.accept() {
                Ok((stream, peer)) => {
                    if let Err(error) = self.add(stream, peer) {
                        info!(%peer, %error, "connection_ended");
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Without a descriptor left it is tried again at the next sweep.
                    warn!(%error, connections = self.connections.len(), "accept_failed");
                    return;
                }
            }
        }
        self.accepts_wait = true;
    }

    fn add(&mut self, mut stream: TcpStream, peer: SocketAddr) -> io::Result<()> {
        transport::prepare(&stream)?;
        self.make_room();
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
            stage: Stage::Accepted,
        });
        Ok(())
    }

    /// Closes the oldest connection that has not greeted, if there are too many of them.
    fn make_room(&mut self) {
        let ungreeted = || {
            let all = self.connections.iter();
            all.filter(|(_, connection)| matches!(connection.stage, Stage::Accepted))
        };
        if ungreeted().count() < MOST_UNGREETED {
            return;
        }
        let oldest = ungreeted().min_by_key(|(_, connection)| connection.heard_at);
        if let Some(place) = oldest.map(|(place, _)| place) {
            self.close(place, "too_many_without_greeting");
        }
    }

    fn read(&mut self, place: usize) {
        let Some(connection) = self.connections.get_mut(place) else {
            return;
        };
        let mut ended = false;
        loop {
            match connection.stream.read(&mut self.scratch) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(count) => connection.input.extend_from_slice(&self.scratch[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
            if connection.input.len() > MAX_FRAME_BYTES + SCRATCH_BYTES {
                ended = true;
                break;
            }
        }
        match self.take_input(place) {
            Ok(Taken::Goes) if !ended => self.flush(place),
            Ok(Taken::Goes) => self.close(place, "ended"),
            Ok(Taken::Closes) => self.close(place, "refused"),
            Ok(Taken::IsCoordinators(greeting)) => self.hand_over(place, greeting),
            Err(error) => {
                warn!(%error, "link_unreadable");
                self.close(place, "unreadable");
            }
        }
    }

    /// Takes in all whole frames of a connection.
    fn take_input(&mut self, place: usize) -> Result<Taken, FrameError> {
        let Some(connection) = self.connections.get_mut(place) else {
            return Ok(Taken::Goes);
        };
        let Connection { input, output, stage, peer, heard_at, .. } = connection;
        let mut taken = 0;
        loop {
            let rest = &input[taken..];
            let length = match stage {
                Stage::Accepted => {
                    let Some((greeting, length)) = decode_frame::<Greeting>(rest)? else { break };
                    let Greeting { protocol, fleet, purpose } = greeting;
                    if protocol != PROTOCOL_VERSION || fleet != self.fleet {
                        warn!(%peer, protocol, %fleet, "greeting_refused");
                        return Ok(Taken::Closes);
                    }
                    if purpose == Purpose::Coordinator {
                        return Ok(Taken::IsCoordinators(length));
                    }
                    *stage = Stage::Greeted;
                    length
                }
                Stage::Greeted => {
                    let Some((frame, length)) = next(rest)? else { break };
                    let ToCoordinator::Report(record) = frame else {
                        return Ok(Taken::Closes);
                    };
                    *stage = Stage::Linked(self.links.open(record, output));
                    length
                }
                Stage::Linked(link) => {
                    let Some((frame, length)) = next(rest)? else { break };
                    let subscribed = link.is_subscribed();
                    self.links.take(link, frame, output);
                    if link.is_subscribed() && !subscribed {
                        // It is told at once what is listed.
                        self.links.tell_nodes(link, &mut NodeFrames::default(), output);
                    }
                    length
                }
            };
            *heard_at = BootInstant::now();
            taken += length;
        }
        input.drain(..taken);
        if input.is_empty() {
            *input = Vec::new();
        }
        Ok(Taken::Goes)
    }

    /// Gives the connection of another coordinator to a thread of its own.
    fn hand_over(&mut self, place: usize, greeting: usize) {
        let Some(mut connection) = self.connections.try_remove(place) else {
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

    /// Sends what the socket takes.
    fn flush(&mut self, place: usize) {
        let Some(connection) = self.connections.get_mut(place) else {
            return;
        };
        let before = connection.sent;
        while connection.sent < connection.output.len() {
            match connection.stream.write(&connection.output[connection.sent..]) {
                Ok(0) => break,
                Ok(count) => connection.sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // A broken connection also becomes readable, which tells its end.
                Err(_) => break,
            }
        }
        if connection.sent == connection.output.len() {
            connection.output = Vec::new();
            connection.sent = 0;
            connection.stalled_since = None;
        } else if connection.sent > before || connection.stalled_since.is_none() {
            connection.stalled_since = Some(BootInstant::now());
        }
        if connection.output.len() - connection.sent > MOST_WAITING_BYTES {
            self.close(place, "takes_nothing");
        }
    }

    fn close(&mut self, place: usize, reason: &str) {
        let Some(mut connection) = self.connections.try_remove(place) else {
            return;
        };
        if let Err(error) = self.poll.registry().deregister(&mut connection.stream) {
            warn!(peer = %connection.peer, %error, "socket_not_deregistered");
        }
        info!(peer = %connection.peer, reason, "connection_ended");
        if let Stage::Linked(link) = &connection.stage {
            self.links.ended(link);
        }
    }

    /// Tells what is due, and closes what is silent.
    fn tell_due(&mut self) {
        let now = BootInstant::now();
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now);
        }
        let state = self.links.hub.lock();
        let (registry, poison) = (state.registry.position(), state.poison.position());
        let seen = (registry, poison, state.revision);
        drop(state);
        if seen.2 != self.told.2 {
            self.told.2 = seen.2;
            self.links.look_at_group();
            self.tell_all(|links, link, output| links.tell_group(link, output));
        }
        if seen != self.told && self.tell_at.is_none() {
            self.tell_at = Some((now + COLLECT_TIME).max(self.told_at + TELL_INTERVAL));
        }
        if self.links.is_complete() != self.complete {
            self.complete = true;
            self.tell_at = Some(now);
        }
        if self.tell_at.is_some_and(|at| at <= now) {
            self.tell_at = None;
            self.told_at = now;
            self.told = seen;
            let mut frames = NodeFrames::default();
            self.tell_all(|links, link, output| links.tell_nodes(link, &mut frames, output));
        }
        for frame in self.links.loads_due() {
            self.tell_subscribers(&frame);
        }
    }

    fn tell_all(&mut self, mut tell: impl FnMut(&Links, &mut Link, &mut Vec<u8>)) {
        let mut told = Vec::new();
        for (place, connection) in &mut self.connections {
            let before = connection.output.len();
            if let Stage::Linked(link) = &mut connection.stage {
                tell(&self.links, link, &mut connection.output);
            }
            if connection.output.len() > before {
                told.push(place);
            }
        }
        for place in told {
            self.flush(place);
        }
    }

    fn tell_subscribers(&mut self, frame: &Encoded) {
        self.tell_all(|_, link, output| {
            if link.is_subscribed() {
                output.extend_from_slice(frame);
            }
        });
    }

    fn sweep(&mut self, now: BootInstant) {
        self.accept();
        let over = |connection: &Connection| {
            let limit = match connection.stage {
                Stage::Accepted | Stage::Greeted => GREETING_TIMEOUT,
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
        let found: Vec<(usize, &str)> =
            all.filter_map(|(place, connection)| Some((place, over(connection)?))).collect();
        for (place, reason) in found {
            self.close(place, reason);
        }
        // Zones of members are learned without a change of the group.
        self.links.look_at_group();
        self.tell_all(|links, link, output| links.tell_group(link, output));
    }
}

fn next<T>(input: &[u8]) -> Result<Option<(T, usize)>, FrameError>
where
    T: for<'a> Readable<'a, LittleEndian>,
{
    decode_frame(input)
}
