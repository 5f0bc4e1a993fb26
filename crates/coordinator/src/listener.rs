//! Connections of other coordinators, a thread each.

use crate::hub::Hub;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::registry_loop::RegistryLoop;
use crate::transport::{HEARD, HEARD_INTERVAL};
use mesh::{decode_frame, CoordinatorFrame, MemberId, MAX_FRAME_BYTES};
use speedy::{LittleEndian, Readable};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{info, warn};

/// Connections served at once; more are closed: ten for each of the some fifty coordinators that the
/// largest fleet planned for has, for those that were opened anew meanwhile.
const MOST_CONNECTIONS: usize = 512;
/// A coordinator sends a beat twice a second. One that says nothing for this
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

/// What connections of other coordinators are served with.
pub(crate) struct CoordinatorService {
    pub group: Arc<Group>,
    pub hub: Arc<Hub>,
    pub registry_loop: Arc<RegistryLoop>,
    pub quotas: Arc<Quotas>,
    /// Connections served now.
    pub open: AtomicUsize,
}

impl CoordinatorService {
    /// Serves a connection in a thread of its own; `read` was read of it behind the greeting.
    pub fn spawn(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, read: Vec<u8>) {
        if self.open.fetch_add(1, Ordering::Relaxed) >= MOST_CONNECTIONS {
            self.open.fetch_sub(1, Ordering::Relaxed);
            warn!(%peer, limit = MOST_CONNECTIONS, "coordinator_turned_away");
            return;
        }
        let service = self.clone();
        let serve = move || {
            if let Err(error) = service.serve(stream, read, peer) {
                info!(%peer, %error, "connection_ended");
            }
            service.open.fetch_sub(1, Ordering::Relaxed);
        };
        let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(serve);
        if let Err(error) = spawned {
            self.open.fetch_sub(1, Ordering::Relaxed);
            warn!(%peer, %error, "connection_without_thread");
        }
    }

    fn serve(&self, stream: TcpStream, read: Vec<u8>, peer: SocketAddr) -> io::Result<()> {
        stream.set_read_timeout(Some(COORDINATOR_SILENCE_LIMIT))?;
        let mut reader = FrameReader { stream: stream.try_clone()?, buffer: read };
        self.receive_all(stream, &mut reader, peer)
    }

    fn receive_all(
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
                CoordinatorFrame::Evidence { node, boot_id, evidence: told } => {
                    if let Some(evidence) = self.hub.lock().evidence.get_mut(&told.service) {
                        evidence.told(node, boot_id, &told);
                    }
                }
                frame @ (CoordinatorFrame::ListHeartbeat { .. }
                | CoordinatorFrame::ListChanges { .. }
                | CoordinatorFrame::ListRequest { .. }
                | CoordinatorFrame::RecordsRequest { .. }
                | CoordinatorFrame::Records { .. }
                | CoordinatorFrame::Loads { .. }
                | CoordinatorFrame::Poison { .. }) => self.registry_loop.receive(frame),
                CoordinatorFrame::CreditPull { member, missing } => {
                    self.quotas.pulled(member, &missing)
                }
                CoordinatorFrame::CreditTransfer { member, credits: gifts } => {
                    self.quotas.given(member, &gifts)
                }
            }
        }
    }
}
