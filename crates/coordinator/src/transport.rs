//! Sending frames to other coordinators: one thread and one connection each, never blocking.
//!
//! Frames go one way; the receiver sends back single bytes that say it read some. A connection can
//! fall silent for good without a reset, while new ones work: then these stop, and another one is
//! opened. Otherwise a leader would never again reach that member, and a cluster that lost two such
//! connections would have no quorum.

use crate::silence::SilenceWatch;
use mesh::{encode_frame, CoordinatorFrame, Greeting, MemberId, Purpose, PROTOCOL_VERSION};
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::AsFd;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{debug, info, warn};

/// Frames waiting for one peer; beyond, they are dropped, as a network would.
const QUEUE_LENGTH: usize = 1_024;
/// A machine that is dark answers no opening packet, also once it is back: the packet is gone, and
/// the frames behind it wait. So it is given up after about the longest way there and back between
/// regions, and sent anew.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Frames for a peer that does not listen are dropped for this long; a process that starts is there
/// some tens of milliseconds later.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A peer without traffic for this long gives its thread back.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Small: the threads only copy frames.
const STACK_BYTES: usize = 128 * 1024;
/// A machine that went dark answers nothing; sent bytes are given up after this time.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// The byte by which a receiver says that it read something.
pub(crate) const HEARD: u8 = b'h';
/// Time between two such bytes, milliseconds: about that between heartbeats of a leader.
pub(crate) const HEARD_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two looks at what the receiver said.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// More than a receiver says between two looks.
const HEARD_BYTES: usize = 64;

/// Queues towards all peers.
pub struct Transport {
    fleet: String,
    port: u16,
    queues: Mutex<BTreeMap<Ipv4Addr, SyncSender<CoordinatorFrame>>>,
    gaps: Arc<Gaps>,
}

/// How often frames may have been lost on the way to each peer: each connection that is made follows
/// one that lost what was under way, or frames that were dropped for want of one.
#[derive(Default)]
struct Gaps(Mutex<BTreeMap<Ipv4Addr, u64>>);

impl Gaps {
    fn note(&self, address: Ipv4Addr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(address).or_default() += 1;
    }

    fn count(&self, address: Ipv4Addr) -> u64 {
        let gaps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gaps.get(&address).copied().unwrap_or(0)
    }
}

impl Transport {
    /// No connections yet.
    pub fn new(fleet: &str, port: u16) -> Self {
        Transport { fleet: fleet.to_owned(), port, queues: Mutex::default(), gaps: Arc::default() }
    }

    /// Queues a frame for a member, or drops it.
    pub fn send(&self, to: MemberId, frame: CoordinatorFrame) {
        self.send_to_address(to.address(), frame);
    }

    /// Queues a frame for whoever is at an address, or drops it.
    pub fn send_to_address(&self, address: Ipv4Addr, frame: CoordinatorFrame) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| self.start_sender(address));
        match queue.try_send(frame) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                debug!(%address, "frame_dropped");
                self.gaps.note(address);
            }
            Err(TrySendError::Disconnected(frame)) => {
                let queue = self.start_sender(address);
                if queue.try_send(frame).is_err() {
                    debug!(%address, "frame_dropped");
                }
                queues.insert(address, queue);
            }
        }
    }

    /// Rises whenever a member may have missed frames and can be sent more: what is told only once must
    /// be told it again.
    pub fn gaps(&self, to: MemberId) -> u64 {
        self.gaps.count(to.address())
    }

    fn start_sender(&self, address: Ipv4Addr) -> SyncSender<CoordinatorFrame> {
        let (queue, frames) = sync_channel(QUEUE_LENGTH);
        let target = SocketAddrV4::new(address, self.port);
        let greeting = Greeting {
            protocol: PROTOCOL_VERSION,
            fleet: self.fleet.clone(),
            purpose: Purpose::Coordinator,
        };
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        let gaps = self.gaps.clone();
        let spawned = builder.spawn(move || send_all(target, &greeting, &frames, &gaps));
        if let Err(error) = spawned {
            // The frames are dropped; consensus and the exchange repeat what matters.
            warn!(%target, %error, "peer_without_thread");
        }
        queue
    }
}

fn send_all(
    target: SocketAddrV4,
    greeting: &Greeting,
    frames: &Receiver<CoordinatorFrame>,
    gaps: &Gaps,
) {
    let mut connection: Option<Connection> = None;
    let mut retry_at = BootInstant::now();
    let mut buffer = Vec::new();
    loop {
        let frame = match frames.recv_timeout(IDLE_LIMIT) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        if connection.is_none() && BootInstant::now() >= retry_at {
            connection = open(target.into(), greeting).ok();
            match connection {
                Some(_) => gaps.note(*target.ip()),
                None => retry_at = BootInstant::now() + RETRY_PAUSE,
            }
        }
        let Some(open) = &mut connection else { continue };
        buffer.clear();
        encode_frame(&frame, &mut buffer);
        if let Err(error) = open.send(&buffer) {
            debug!(%target, %error, "consensus_send_failed");
            connection = None;
        } else if open.silence.is_silent(BootInstant::now()) {
            info!(%target, "peer_silent");
            connection = None;
        }
    }
}

/// A connection, with what its receiver said.
struct Connection {
    stream: TcpStream,
    silence: SilenceWatch,
    look_at: BootInstant,
}

impl Connection {
    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)?;
        let now = BootInstant::now();
        self.silence.sent(now);
        if now >= self.look_at {
            self.look_at = now + LOOK_INTERVAL;
            self.look()?;
        }
        Ok(())
    }

    /// Reads what the receiver said, without waiting for more.
    fn look(&mut self) -> io::Result<()> {
        let mut said = [0; HEARD_BYTES];
        self.stream.set_nonblocking(true)?;
        let read = self.stream.read(&mut said);
        self.stream.set_nonblocking(false)?;
        match read {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.silence.heard();
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

fn open(target: SocketAddr, greeting: &Greeting) -> io::Result<Connection> {
    let mut stream = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    prepare(&stream)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut buffer = Vec::new();
    encode_frame(greeting, &mut buffer);
    stream.write_all(&buffer)?;
    Ok(Connection { stream, silence: SilenceWatch::default(), look_at: BootInstant::now() })
}

/// Makes a connection notice a peer that went dark.
pub(crate) fn prepare(stream: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
