//! One sidecar's connection: reports in, news out. News of other sidecars goes only to those that
//! subscribe; each one subscribes to one coordinator, one of its own zone where there is one.

use crate::canaries::CanaryPolicies;
use crate::hub::Hub;
use crate::listener::FrameReader;
use crate::membership::{Group, KnownConfiguration};
use crate::quotas::Quotas;
use crate::Millis;
use bundle::{best_update, Bundle, BundleUpdate, Digest};
use mesh::{encode_frame, MemberId, NodeAddress, NodeRecord, ToCoordinator, ToSidecar};
use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::info;

/// A sidecar that says nothing for this long is taken for gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_500);
/// The threads that send notice the end of a connection or a subscription within this time.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Changes of the registry are collected for this long, so that sidecars which start or leave
/// together are told of in one frame. Short against the time in which a leaving upstream is served.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Time between two tellings of loads. A sidecar's share of calls is some in this time, and a call
/// holds its slot for longer, so what was told still holds for most of them.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// What loads may take of a subscriber's link, bytes a second: 3 in 100 of the slowest link that
/// sidecars were seen with (2 Mbit/s). A large fleet is told of less often.
const MOST_LOAD_BYTES_PER_S: f64 = 8_000.0;
/// Length of one load in a frame, bytes.
const LOAD_BYTES: usize = 13;
/// A coordinator that started has its list filled by the sidecars' own links, which pause for
/// 0.8 s at most between tries, and by other coordinators. Until then its list is no proof that a
/// sidecar is gone, milliseconds.
const COMPLETE_AFTER_MS: u64 = 2_000;
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
const STACK_BYTES: usize = 128 * 1024;
const NOT_SUBSCRIBED: u64 = 0;

/// What all links need.
pub(crate) struct SidecarLink {
    zone: String,
    started_at: Millis,
    hub: Arc<Hub>,
    group: Arc<Group>,
    clock: Clock,
    canary_policies: CanaryPolicies,
    quotas: Arc<Quotas>,
    /// The last update made, which many sidecars ask for at once.
    made: Mutex<Option<MadeUpdate>>,
}

/// What turns the content a sidecar holds into that of a generation.
pub(crate) struct MadeUpdate {
    held: Digest,
    generation: u64,
    update: BundleUpdate,
}

/// Revisions that one sidecar was told of.
#[derive(Clone, Copy, Debug, Default)]
struct ToldRevisions {
    versions: u64,
    evacuations: u64,
}

/// The writing half, shared by the reader's answers and the news.
struct Writer {
    stream: Mutex<TcpStream>,
    /// Number of the subscription that holds; 0 is none. A thread of an earlier one ends.
    subscription: AtomicU64,
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
    pub fn new(
        zone: &str,
        hub: Arc<Hub>,
        group: Arc<Group>,
        clock: Clock,
        canary_policies: CanaryPolicies,
        quotas: Arc<Quotas>,
    ) -> Self {
        let (zone, started_at) = (zone.to_owned(), clock.now_ms());
        let made = Mutex::new(None);
        SidecarLink { zone, started_at, hub, group, clock, canary_policies, quotas, made }
    }

    /// Serves one sidecar until its connection ends.
    pub fn serve(self: &Arc<Self>, stream: TcpStream, mut reader: FrameReader) -> io::Result<()> {
        stream.set_read_timeout(Some(SILENCE_LIMIT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let ToCoordinator::Report(record) = reader.next()? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let writer = Arc::new(Writer {
            stream: Mutex::new(stream),
            subscription: AtomicU64::new(NOT_SUBSCRIBED),
            ended: AtomicBool::new(false),
        });
        let (address, life) = (record.address, record.life);
        let last = self.hub.lock().registry.last_record(&address);
        let last = last.filter(|last| last.life != life);
        info!(node = %address, life, restored = last.is_some(), "sidecar_connected");
        let zone = self.zone.clone();
        writer.send(&ToSidecar::Welcome { zone, last })?;
        // Before its upstream is told of: what may be given to it depends on its version.
        let mut told = ToldRevisions::default();
        self.send_versions(&writer, &mut told)?;
        self.take_report(&writer, record)?;
        let (link, of_group) = (self.clone(), writer.clone());
        spawn_thread(move || link.send_announcements(&of_group, told))?;
        let ended = self.receive_all(&writer, &mut reader, address, life);
        writer.ended.store(true, Ordering::Relaxed);
        if self.hub.lock().registry.disconnected(&address, life) {
            self.hub.notify();
        }
        info!(node = %address, life, "sidecar_disconnected");
        ended
    }

    fn receive_all(
        self: &Arc<Self>,
        writer: &Arc<Writer>,
        reader: &mut FrameReader,
        node: NodeAddress,
        life: u64,
    ) -> io::Result<()> {
        let mut subscriptions = NOT_SUBSCRIBED;
        loop {
            match reader.next()? {
                ToCoordinator::Report(record) => self.take_report(writer, record)?,
                ToCoordinator::WantConfig { held } => self.send_config(writer, held)?,
                ToCoordinator::Subscribe { nodes } => {
                    subscriptions += 1;
                    let subscription = if nodes { subscriptions } else { NOT_SUBSCRIBED };
                    info!(%node, nodes, "sidecar_subscribed");
                    writer.subscription.store(subscription, Ordering::Relaxed);
                    if nodes {
                        let (link, writer) = (self.clone(), writer.clone());
                        spawn_thread(move || link.send_nodes(&writer, subscription))?;
                    }
                }
                ToCoordinator::Load(load) => self.hub.lock().loads.told(node, load),
                ToCoordinator::Evidence(told) => {
                    if let Some(evidence) = self.hub.lock().evidence.get_mut(&told.service) {
                        evidence.told(node, life, &told);
                    }
                }
                ToCoordinator::Poison { notices } => {
                    self.hub.take_poison(notices, true, self.clock.now_ms());
                }
                ToCoordinator::Credits(request) => {
                    let answer = self.quotas.request(node, request);
                    writer.send(&ToSidecar::Credits(answer))?;
                }
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
        let known = self.group.configuration(held);
        let KnownConfiguration { generation, confirmed, .. } = known;
        let update = self.update_for(held, generation, known.held.as_ref(), &known.bundle);
        writer.send(&ToSidecar::Config { generation, confirmed, update })
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

    /// Tells which upstreams may be given calls, by their versions and their zones, if that changed
    /// since it was told.
    fn send_versions(&self, writer: &Writer, told: &mut ToldRevisions) -> io::Result<()> {
        let known = self.group.evacuations();
        if known.revision > told.evacuations {
            told.evacuations = known.revision;
            let zones = known.zones.into_keys().collect();
            writer.send(&ToSidecar::Evacuations { revision: known.revision, zones })?;
        }
        let known = self.group.versions();
        if known.revision > told.versions {
            told.versions = known.revision;
            let policies = self.canary_policies.of(&known.canaries);
            writer.send(&ToSidecar::Versions { revision: known.revision, policies })?;
        }
        Ok(())
    }

    /// Tells of generations, members and versions for as long as the connection stands.
    fn send_announcements(&self, writer: &Writer, mut told: ToldRevisions) {
        let mut announced = 0;
        let mut members: Vec<Ipv4Addr> = Vec::new();
        while !writer.ended.load(Ordering::Relaxed) {
            let revision = self.hub.lock().revision;
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
            if messages.iter().any(|message| writer.send(message).is_err()) {
                return;
            }
            if self.send_versions(writer, &mut told).is_err() {
                return;
            }
            self.hub.wait_revised(revision, LONGEST_WAIT);
        }
    }

    /// Tells of other sidecars for as long as a subscription holds. Until the list is complete, it
    /// adds to what the sidecar knows of others and replaces nothing.
    fn send_nodes(&self, writer: &Writer, subscription: u64) {
        let mut position = None;
        let mut told_whole = false;
        let mut loads = LoadTeller::new(&self.hub);
        let mut poison_position = 0;
        let holds = || {
            let ended = writer.ended.load(Ordering::Relaxed);
            !ended && writer.subscription.load(Ordering::Relaxed) == subscription
        };
        while holds() {
            let complete = self.incomplete_for().is_zero();
            let from = position.filter(|_| told_whole || !complete);
            let changes = self.hub.lock().registry.changes_since(from);
            position = Some(changes.position);
            told_whole |= complete;
            let whole = changes.whole && complete;
            let (changed, gone) = (changes.changed, changes.gone);
            let any = whole || !changed.is_empty() || !gone.is_empty();
            if any && writer.send(&ToSidecar::Nodes { whole, changed, gone }).is_err() {
                return;
            }
            if loads.tell_due(&self.hub, writer).is_err() {
                return;
            }
            if self.tell_poison(writer, &mut poison_position).is_err() {
                return;
            }
            if self.hub.wait_news(changes.position, poison_position, loads.until_due()) {
                thread::sleep(COLLECT_TIME);
            }
        }
    }

    /// Tells what came since a position of requests that may crash upstreams.
    fn tell_poison(&self, writer: &Writer, position: &mut u64) -> io::Result<()> {
        let notices = {
            let board = &self.hub.lock().poison;
            let notices = board.since(*position, self.clock.now_ms());
            *position = board.position();
            notices
        };
        match notices.is_empty() {
            true => Ok(()),
            false => writer.send(&ToSidecar::Poison { notices }),
        }
    }

    /// How long the list is still no proof that a sidecar which it lacks is gone.
    fn incomplete_for(&self) -> Duration {
        let complete_at = self.started_at + COMPLETE_AFTER_MS;
        Duration::from_millis(complete_at.saturating_sub(self.clock.now_ms()))
    }
}

/// Tells one subscriber of loads, at a bounded rate.
struct LoadTeller {
    position: u64,
    due: BootInstant,
}

impl LoadTeller {
    /// Begins with loads that are told from now on.
    fn new(hub: &Hub) -> Self {
        LoadTeller { position: hub.lock().loads.position(), due: BootInstant::now() }
    }

    fn until_due(&self) -> Duration {
        self.due.saturating_duration_since(BootInstant::now())
    }

    /// Tells what changed since the last time, if it is time to.
    fn tell_due(&mut self, hub: &Hub, writer: &Writer) -> io::Result<()> {
        if !self.until_due().is_zero() {
            return Ok(());
        }
        let loads = {
            let board = &hub.lock().loads;
            let loads = board.since(self.position);
            self.position = board.position();
            loads
        };
        let bytes = (loads.len() * LOAD_BYTES) as f64;
        let pause = Duration::from_secs_f64(bytes / MOST_LOAD_BYTES_PER_S);
        self.due = BootInstant::now() + pause.max(LOADS_INTERVAL);
        match loads.is_empty() {
            true => Ok(()),
            false => writer.send(&ToSidecar::Loads { loads }),
        }
    }
}

fn spawn_thread(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).map(|_| ())
}
