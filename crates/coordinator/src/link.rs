//! One sidecar's connection: reports in, news out.

use crate::hub::Hub;
use crate::listener::FrameReader;
use crate::membership::Group;
use bundle::{best_update, Bundle, BundleUpdate, Digest};
use mesh::{encode_frame, MemberId, NodeAddress, NodeRecord, ToCoordinator, ToSidecar};
use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::Clock;
use tracing::info;

/// A sidecar that says nothing for this long is taken for gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
const ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
const STACK_BYTES: usize = 128 * 1024;

/// What all links need.
pub(crate) struct SidecarLink {
    hub: Arc<Hub>,
    group: Arc<Group>,
    clock: Clock,
    /// The last update made, which many sidecars ask for at once.
    made: Mutex<Option<MadeUpdate>>,
}

/// What turns the content a sidecar holds into that of a generation.
pub(crate) struct MadeUpdate {
    held: Digest,
    generation: u64,
    update: BundleUpdate,
}

/// The writing half, shared by the reader's answers and the news.
struct Writer {
    stream: Mutex<TcpStream>,
    ended: AtomicBool,
}

impl Writer {
    fn send(&self, message: &ToSidecar) -> io::Result<()> {
        let mut buffer = Vec::new();
        encode_frame(message, &mut buffer);
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        let written = stream.write_all(&buffer);
        if written.is_err() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        written
    }
}

impl SidecarLink {
    pub fn new(hub: Arc<Hub>, group: Arc<Group>, clock: Clock) -> Self {
        SidecarLink { hub, group, clock, made: Mutex::new(None) }
    }

    /// Serves one sidecar until its connection ends.
    pub fn serve(self: &Arc<Self>, stream: TcpStream, mut reader: FrameReader) -> io::Result<()> {
        stream.set_read_timeout(Some(SILENCE_LIMIT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let ToCoordinator::Report(record) = reader.next()? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let writer = Arc::new(Writer { stream: Mutex::new(stream), ended: AtomicBool::new(false) });
        let (address, life) = (record.address, record.life);
        let last = self.hub.lock().registry.last_record(&address);
        let last = last.filter(|last| last.life != life);
        info!(node = %address, life, restored = last.is_some(), "sidecar_connected");
        writer.send(&ToSidecar::Welcome { last })?;
        self.take_report(&writer, record)?;
        let news = (self.clone(), writer.clone());
        thread::Builder::new().stack_size(STACK_BYTES).spawn(move || news.0.send_news(&news.1))?;
        let ended = self.receive_all(&writer, &mut reader, address, life);
        writer.ended.store(true, Ordering::Relaxed);
        if self.hub.lock().registry.disconnected(&address, life) {
            self.hub.notify();
        }
        info!(node = %address, life, "sidecar_disconnected");
        ended
    }

    fn receive_all(
        &self,
        writer: &Writer,
        reader: &mut FrameReader,
        node: NodeAddress,
        life: u64,
    ) -> io::Result<()> {
        loop {
            match reader.next()? {
                ToCoordinator::Report(record) => self.take_report(writer, record)?,
                ToCoordinator::WantConfig { held } => self.send_config(writer, held)?,
                ToCoordinator::Applied { generation } => {
                    info!(%node, generation, "generation_applied");
                }
                ToCoordinator::Ping { asked_at } => {
                    let generation = self.group.announced_generation();
                    writer.send(&ToSidecar::Pong { asked_at, generation })?;
                }
            }
            self.hub.lock().registry.alive(&node, life, self.clock.now_ms());
        }
    }

    fn take_report(&self, writer: &Writer, record: NodeRecord) -> io::Result<()> {
        let sequence = record.sequence;
        let instance = record.instance.clone();
        let (node, stopping) = (record.address, record.stopping);
        let changed = self.hub.lock().registry.report(record, self.clock.now_ms());
        if changed {
            info!(%node, sequence, stopping, instance = ?instance, "node_reported");
            self.hub.notify();
        }
        writer.send(&ToSidecar::ReportTaken { sequence })
    }

    fn send_config(&self, writer: &Writer, held: Digest) -> io::Result<()> {
        let Some((generation, held_bundle, bundle)) = self.group.configuration(held) else {
            return Ok(());
        };
        let update = self.update_for(held, generation, held_bundle.as_ref(), &bundle);
        writer.send(&ToSidecar::Config { generation, update })
    }

    fn update_for(
        &self,
        held: Digest,
        generation: u64,
        held_bundle: Option<&Bundle>,
        bundle: &Bundle,
    ) -> BundleUpdate {
        let mut made = self.made.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |made: &&MadeUpdate| made.held == held && made.generation == generation;
        if let Some(made) = made.as_ref().filter(fits) {
            return made.update.clone();
        }
        let update = best_update(held_bundle, bundle);
        *made = Some(MadeUpdate { held, generation, update: update.clone() });
        update
    }

    /// Sends what changed, and a sign of life when nothing did.
    fn send_news(&self, writer: &Writer) {
        let mut position = None;
        let mut announced = 0;
        let mut members: Vec<Ipv4Addr> = Vec::new();
        while !writer.ended.load(Ordering::Relaxed) {
            let (changes, revision) = {
                let state = self.hub.lock();
                (state.registry.changes_since(position), state.revision)
            };
            let mut messages = Vec::new();
            let generation = self.group.announced_generation();
            if generation > announced {
                announced = generation;
                messages.push(ToSidecar::Announce { generation });
            }
            let addresses = self.group.members().into_iter().map(MemberId::address).collect();
            if addresses != members {
                members = addresses;
                messages.push(ToSidecar::Members { addresses: members.clone() });
            }
            let new_position = changes.position;
            if changes.whole || !changes.changed.is_empty() || !changes.gone.is_empty() {
                let (whole, changed, gone) = (changes.whole, changes.changed, changes.gone);
                messages.push(ToSidecar::Nodes { whole, changed, gone });
            }
            position = Some(new_position);
            if messages.is_empty() {
                messages.push(ToSidecar::Alive);
            }
            if messages.iter().any(|message| writer.send(message).is_err()) {
                return;
            }
            self.hub.wait(new_position, revision, ALIVE_INTERVAL);
        }
    }
}
