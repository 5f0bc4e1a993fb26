//! Non-blocking transport of frames to other coordinators, with one thread and one connection for
//! each.
//!
//! Frames are sent in one direction; the receiver returns single bytes as receipts. A connection
//! can stall permanently without a reset while new connections work. Missing receipts reveal this,
//! and the connection is replaced. Otherwise a leader could never reach that member again, and a
//! group that lost two connections in this way would have no quorum.

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

/// Maximum number of frames queued for one peer; further ones are dropped, as by a network.
const QUEUE_LENGTH: usize = 1_024;
/// A SYN packet to an unreachable machine is lost and stays unanswered after the machine returns,
/// while frames queue behind it. The attempt is therefore abandoned after about the longest
/// round-trip time between regions, and repeated.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which frames are dropped after a failed connection attempt; a starting process listens
/// after some tens of milliseconds.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The thread of a peer ends after this time without frames.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Small, because the threads only copy frames.
const STACK_BYTES: usize = 128 * 1024;
/// Time after which unacknowledged data closes the connection, for example if the machine is
/// unreachable.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// The byte that a receiver sends as a receipt after reading frames.
pub(crate) const RECEIPT: u8 = b'h';
/// Minimum interval between receipts: about the heartbeat interval of a leader.
pub(crate) const RECEIPT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between checks for receipts.
const RECEIPT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// More than the number of receipts sent between two checks.
const RECEIPT_BUFFER_BYTES: usize = 64;

/// Frame queues of all peers.
pub struct Transport {
    fleet: String,
    port: u16,
    queues: Mutex<BTreeMap<Ipv4Addr, SyncSender<CoordinatorFrame>>>,
    gaps: Arc<Gaps>,
}

/// Number of times that frames to each peer may have been lost. Each new connection counts, because
/// frames in transit on the previous one may be lost, or frames were dropped while there was none.
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
    /// Creates a transport without connections.
    pub fn new(fleet: &str, port: u16) -> Self {
        Transport { fleet: fleet.to_owned(), port, queues: Mutex::default(), gaps: Arc::default() }
    }

    /// Queues a frame for a member, or drops it if the queue is full.
    pub fn send(&self, to: MemberId, frame: CoordinatorFrame) {
        self.send_to_address(to.address(), frame);
    }

    /// Queues a frame for the coordinator at an address, or drops it if the queue is full.
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

    /// Counter that increases whenever a member may have missed frames and is reachable again, so
    /// that data that is normally sent only once must be sent again.
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
            // The frames are dropped; consensus and the registry exchange resend what is needed.
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
        let frame = match frames.recv_timeout(IDLE_TIMEOUT) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        if connection.is_none() && BootInstant::now() >= retry_at {
            connection = open(target.into(), greeting).ok();
            match connection {
                Some(_) => gaps.note(*target.ip()),
                None => retry_at = BootInstant::now() + RECONNECT_DELAY,
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

/// A connection with its receipts.
struct Connection {
    stream: TcpStream,
    silence: SilenceWatch,
    check_at: BootInstant,
}

impl Connection {
    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)?;
        let now = BootInstant::now();
        self.silence.note_sent(now);
        if now >= self.check_at {
            self.check_at = now + RECEIPT_CHECK_INTERVAL;
            self.read_receipts()?;
        }
        Ok(())
    }

    /// Reads available receipts without blocking.
    fn read_receipts(&mut self) -> io::Result<()> {
        let mut receipts = [0; RECEIPT_BUFFER_BYTES];
        self.stream.set_nonblocking(true)?;
        let read = self.stream.read(&mut receipts);
        self.stream.set_nonblocking(false)?;
        match read {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.silence.note_receipt();
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
    Ok(Connection { stream, silence: SilenceWatch::default(), check_at: BootInstant::now() })
}

/// Configures a connection so that an unreachable peer is detected.
pub(crate) fn prepare(stream: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
