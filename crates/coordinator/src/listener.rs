//! Connections of other coordinators and of sidecars.

use crate::link::SidecarLink;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::registry_loop::RegistryLoop;
use crate::transport::{prepare, HEARD, HEARD_INTERVAL};
use mesh::{
    decode_frame, CoordinatorFrame, Greeting, MemberId, Purpose, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use speedy::{LittleEndian, Readable};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{info, warn};

/// Connections served at once; more are closed.
const MAX_CONNECTIONS: usize = 1_024;
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// A coordinator sends the digest of its registry about each second. One that says nothing for this
/// long has left, or opened another connection since this one fell silent.
const COORDINATOR_SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for room for the byte that says something was heard.
const HEARD_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
const STACK_BYTES: usize = 192 * 1024;
const READ_BYTES: usize = 8 * 1024;

/// Reads frames from a connection.
pub(crate) struct FrameReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl FrameReader {
    pub fn new(stream: TcpStream) -> Self {
        FrameReader { stream, buffer: Vec::new() }
    }

    /// The next frame; an error when the connection ended or carries something else.
    pub fn next<T>(&mut self) -> io::Result<T>
    where
        T: for<'a> Readable<'a, LittleEndian>,
    {
        loop {
            let decoded = decode_frame(&self.buffer).map_err(io::Error::other)?;
            if let Some((message, length)) = decoded {
                self.buffer.drain(..length);
                if self.buffer.is_empty() {
                    // A whole configuration may have passed through it.
                    self.buffer.shrink_to(READ_BYTES);
                }
                return Ok(message);
            }
            let mut piece = [0; READ_BYTES];
            let count = self.stream.read(&mut piece)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&piece[..count]);
            if self.buffer.len() > MAX_FRAME_BYTES + READ_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }
}

/// What connections are served with.
pub(crate) struct Service {
    pub fleet: String,
    pub group: Arc<Group>,
    pub registry_loop: Arc<RegistryLoop>,
    pub quotas: Arc<Quotas>,
    pub link: Arc<SidecarLink>,
}

/// Accepts connections for as long as the process runs.
pub(crate) fn spawn(listener: TcpListener, service: Arc<Service>) {
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for accepted in listener.incoming() {
            let Ok(stream) = accepted else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                warn!(limit = MAX_CONNECTIONS, "connection_turned_away");
                continue;
            }
            let service = service.clone();
            let counted = open.clone();
            counted.fetch_add(1, Ordering::Relaxed);
            let serve = move || {
                let peer = stream.peer_addr().ok();
                if let Err(error) = service.serve(stream) {
                    info!(?peer, %error, "connection_ended");
                }
                counted.fetch_sub(1, Ordering::Relaxed);
            };
            let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(serve);
            if let Err(error) = spawned {
                open.fetch_sub(1, Ordering::Relaxed);
                warn!(%error, "connection_without_thread");
            }
        }
    });
}

impl Service {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        prepare(&stream)?;
        stream.set_read_timeout(Some(GREETING_TIMEOUT))?;
        let peer = stream.peer_addr()?;
        let mut reader = FrameReader::new(stream.try_clone()?);
        let greeting: Greeting = reader.next()?;
        let Greeting { protocol, fleet, purpose } = greeting;
        if protocol != PROTOCOL_VERSION || fleet != self.fleet {
            warn!(%peer, protocol, %fleet, "greeting_refused");
            return Ok(());
        }
        match purpose {
            Purpose::Coordinator => {
                stream.set_read_timeout(Some(COORDINATOR_SILENCE_LIMIT))?;
                self.serve_coordinator(stream, &mut reader, peer)
            }
            Purpose::Sidecar => self.link.serve(stream, reader),
        }
    }

    fn serve_coordinator(
        &self,
        mut stream: TcpStream,
        reader: &mut FrameReader,
        peer: SocketAddr,
    ) -> io::Result<()> {
        stream.set_write_timeout(Some(HEARD_WRITE_TIMEOUT))?;
        let mut said_at: Option<BootInstant> = None;
        loop {
            let frame = reader.next()?;
            if said_at.is_none_or(|at| at.elapsed() >= HEARD_INTERVAL) {
                said_at = Some(BootInstant::now());
                stream.write_all(&[HEARD])?;
            }
            match frame {
                CoordinatorFrame::Message(message) => self.group.receive(message),
                CoordinatorFrame::Join { member } => self.group.join(MemberId(member)),
                CoordinatorFrame::Removed { member } => info!(%peer, member, "removed_from_group"),
                frame @ (CoordinatorFrame::RegistryDigest { .. }
                | CoordinatorFrame::RegistryEntries { .. }
                | CoordinatorFrame::Unheard { .. }
                | CoordinatorFrame::Heard { .. }
                | CoordinatorFrame::Loads { .. }
                | CoordinatorFrame::Poison { .. }) => self.registry_loop.receive(frame),
                CoordinatorFrame::CreditPull { member, lacks } => {
                    self.quotas.pulled(member, &lacks)
                }
                CoordinatorFrame::CreditGift { member, gifts } => self.quotas.given(member, &gifts),
            }
        }
    }
}
