//! Serves connections of other coordinators, each in its own thread.

use crate::hub::Hub;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::registry_loop::RegistryLoop;
use crate::transport::{RECEIPT, RECEIPT_INTERVAL};
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

/// Maximum number of connections served at the same time; further ones are closed. Allows ten
/// connections, including replaced ones, for each of the about fifty coordinators of the largest
/// planned fleet.
const MAX_CONNECTIONS: usize = 512;
/// Coordinators send heartbeats twice a second. After this time without data, the coordinator has
/// left, or has replaced a stalled connection by another one.
const COORDINATOR_SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Write timeout of the receipt byte.
const RECEIPT_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
const STACK_BYTES: usize = 192 * 1024;
const READ_BYTES: usize = 8 * 1024;

/// Reads frames from a stream.
pub(crate) struct FrameReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Reads the next frame; fails if the connection ended or its data is not a valid frame.
    pub fn next<T>(&mut self) -> io::Result<T>
    where
        T: for<'a> Readable<'a, LittleEndian>,
    {
        loop {
            let decoded = decode_frame(&self.buffer).map_err(io::Error::other)?;
            if let Some((message, length)) = decoded {
                self.buffer.drain(..length);
                if self.buffer.is_empty() {
                    // The buffer may have grown to the size of a whole configuration.
                    self.buffer.shrink_to(READ_BYTES);
                }
                return Ok(message);
            }
            let mut chunk = [0; READ_BYTES];
            let count = self.stream.read(&mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..count]);
            if self.buffer.len() > MAX_FRAME_BYTES + READ_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }
}

/// State with which connections of other coordinators are served.
pub(crate) struct CoordinatorService {
    pub group: Arc<Group>,
    pub hub: Arc<Hub>,
    pub registry_loop: Arc<RegistryLoop>,
    pub quotas: Arc<Quotas>,
    /// Number of connections being served.
    pub open: AtomicUsize,
}

impl CoordinatorService {
    /// Serves a connection in a new thread; `read` is the data that was read after the greeting.
    pub fn spawn(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr, read: Vec<u8>) {
        if self.open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            self.open.fetch_sub(1, Ordering::Relaxed);
            warn!(%peer, limit = MAX_CONNECTIONS, "coordinator_turned_away");
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
        stream.set_write_timeout(Some(RECEIPT_WRITE_TIMEOUT))?;
        let mut receipt_sent_at: Option<BootInstant> = None;
        loop {
            let frame = reader.next()?;
            if receipt_sent_at.is_none_or(|at| at.elapsed() >= RECEIPT_INTERVAL) {
                receipt_sent_at = Some(BootInstant::now());
                stream.write_all(&[RECEIPT])?;
            }
            match frame {
                CoordinatorFrame::Message(message) => self.group.receive(message),
                CoordinatorFrame::Join { member } => self.group.join(MemberId(member)),
                CoordinatorFrame::Stopping { member } => self.group.stops(MemberId(member)),
                CoordinatorFrame::Removed { member } => {
                    info!(%peer, member, "removed_from_group");
                    self.group.removed(MemberId(member));
                }
                CoordinatorFrame::Evidence { node, boot_id, evidence: report } => {
                    if let Some(evidence) = self.hub.lock().evidence.get_mut(&report.service) {
                        evidence.record(node, boot_id, &report);
                    }
                }
                frame @ (CoordinatorFrame::ListHeartbeat { .. }
                | CoordinatorFrame::ListChanges { .. }
                | CoordinatorFrame::ListRequest { .. }
                | CoordinatorFrame::RecordsRequest { .. }
                | CoordinatorFrame::Records { .. }
                | CoordinatorFrame::Loads { .. }
                | CoordinatorFrame::Poison { .. }
                | CoordinatorFrame::Departures { .. }) => self.registry_loop.receive(frame),
                CoordinatorFrame::CreditPull { member, missing } => {
                    self.quotas.handle_pull(member, &missing)
                }
                CoordinatorFrame::CreditTransfer { member, credits } => {
                    self.quotas.receive_credits(member, &credits)
                }
            }
        }
    }
}
