//! The protocol of a sidecar's link, without sockets.
//!
//! All links are served by one thread, see [`crate::link_server`]. A sidecar sends its record to
//! all coordinators to which it is linked. It receives updates about other sidecars only from the
//! one coordinator to which it subscribes, which is in its own zone if possible. Frames for many
//! sidecars are encoded once.

use crate::canaries::CanaryPolicies;
use crate::contacts::Contacts;
use crate::hub::Hub;
use crate::loads::ZoneDistance;
use crate::membership::{Group, KnownConfiguration};
use crate::quotas::Quotas;
use crate::Millis;
use bundle::{best_update, Digest};
use mesh::{
    encode_frame, KnownDeparture, LastRecord, MemberLocation, NodeAddress, NodeLoad, NodeRecord,
    ToCoordinator, ToSidecar,
};
use speedy::{LittleEndian, Writable};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::info;

/// Interval between updates of loads. A sidecar sends only a few calls in this time, and a call
/// occupies its slot for longer, so the loads are still accurate for most of the calls.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum rates at which loads of the own zone and of all other zones are sent to a subscriber,
/// bytes per second: together 6 in 100 of the slowest link observed at a sidecar (2 Mbit/s), and
/// two thirds of the limit for control traffic per node in a fleet of some thousand nodes (21
/// kB/s). Calls stay in their zone while it has capacity, so its loads have priority; in a large
/// fleet, loads of other zones are sent less often.
const NEAR_LOAD_BYTES_PER_S: f64 = 8_000.0;
const FAR_LOAD_BYTES_PER_S: f64 = 6_000.0;
/// Time after the start of a coordinator during which its list may be incomplete, so that a missing
/// sidecar is not necessarily gone, milliseconds. The list is filled by the links of sidecars,
/// which retry connections after at most 0.8 s, and by other coordinators.
const COMPLETE_AFTER_MS: u64 = 2_000;

/// An encoded frame that is sent to many sidecars.
pub(crate) type Encoded = Arc<Vec<u8>>;

/// Encodes a frame that is sent to many sidecars.
pub(crate) fn encoded<T: Writable<LittleEndian>>(message: &T) -> Encoded {
    let mut bytes = Vec::new();
    encode_frame(message, &mut bytes);
    Arc::new(bytes)
}

/// The link of one sidecar.
#[derive(Debug)]
pub(crate) struct Link {
    pub node: NodeAddress,
    pub boot_id: u64,
    contacts: Contacts,
    sent: SentRevisions,
    subscription: Option<Subscription>,
    /// The latest report of a departure that is not on disk yet.
    unacknowledged: Option<Unacknowledged>,
    /// Whether the sidecar was told that this coordinator knows of all departures.
    departures_complete: bool,
}

/// A report that is acknowledged once its departure is on disk.
#[derive(Clone, Copy, Debug)]
struct Unacknowledged {
    sequence: u64,
    /// Position of the departure.
    position: u64,
}

/// Revisions of the group's state up to which a sidecar was updated.
#[derive(Clone, Copy, Debug, Default)]
struct SentRevisions {
    generation: u64,
    members: u64,
    versions: u64,
    evacuations: u64,
}

/// Positions up to which a subscriber was updated about other sidecars.
#[derive(Clone, Copy, Debug, Default)]
struct Subscription {
    position: Option<u64>,
    /// Whether it received the complete list since the list of this coordinator is complete.
    whole: bool,
    poison: u64,
}

/// Updates about the group for all links, encoded once for each change.
#[derive(Default)]
pub(crate) struct GroupFrames {
    generation: u64,
    members: Vec<MemberLocation>,
    members_revision: u64,
    members_frame: Encoded,
    versions_revision: u64,
    versions_frame: Encoded,
    evacuations_revision: u64,
    evacuations_frame: Encoded,
}

/// An encoded update from the configuration that a sidecar has to that of a generation.
struct CachedUpdate {
    held: Digest,
    generation: u64,
    confirmed: bool,
    frame: Encoded,
}

/// State with which all links are served.
pub(crate) struct Links {
    zone: String,
    started_at: Millis,
    pub hub: Arc<Hub>,
    pub group: Arc<Group>,
    pub clock: Clock,
    canary_policies: CanaryPolicies,
    quotas: Arc<Quotas>,
    group_frames: GroupFrames,
    /// The latest configuration update, which many sidecars request at the same time.
    cached_update: Option<CachedUpdate>,
    near: LoadPublisher,
    far: LoadPublisher,
}

impl Links {
    pub fn new(
        zone: &str,
        hub: Arc<Hub>,
        group: Arc<Group>,
        clock: Clock,
        canary_policies: CanaryPolicies,
        quotas: Arc<Quotas>,
    ) -> Self {
        Links {
            zone: zone.to_owned(),
            started_at: clock.now_ms(),
            near: LoadPublisher::new(&hub, NEAR_LOAD_BYTES_PER_S),
            far: LoadPublisher::new(&hub, FAR_LOAD_BYTES_PER_S),
            hub,
            group,
            clock,
            canary_policies,
            quotas,
            group_frames: GroupFrames::default(),
            cached_update: None,
        }
    }

    /// Opens a link with the first report of a sidecar; the responses are appended to `output`.
    pub fn open(&mut self, record: NodeRecord, output: &mut Vec<u8>) -> Link {
        let (node, life) = (record.address, record.boot_id);
        let last = self.last_record(&node).filter(|last| last.record.boot_id != life);
        let ended_ms = last.as_ref().and_then(|last| last.ended_ms);
        info!(%node, life, restored = last.is_some(), ?ended_ms, "sidecar_connected");
        let zone = self.zone.clone();
        encode_frame(&ToSidecar::Welcome { zone, last }, output);
        let mut link = Link {
            node,
            boot_id: life,
            contacts: Contacts::first(self.clock.now_ms()),
            sent: SentRevisions::default(),
            subscription: None,
            unacknowledged: None,
            departures_complete: false,
        };
        let known = self.hub.lock().registry.departures().beside(&node);
        self.send_departures(&mut link, known, output);
        // Sent before its upstream is announced, because version and zone decide which calls it may
        // receive.
        self.update_group_frames();
        self.send_group_updates(&mut link, output);
        self.handle_report(&mut link, record, output);
        link
    }

    /// Sends a sidecar departures beside it, if there are any or if it was not told yet that this
    /// coordinator knows of all.
    fn send_departures(
        &self,
        link: &mut Link,
        departures: Vec<KnownDeparture>,
        output: &mut Vec<u8>,
    ) {
        let complete = self.knows_departures();
        if departures.is_empty() && (link.departures_complete || !complete) {
            return;
        }
        link.departures_complete = complete;
        encode_frame(&ToSidecar::Departures { complete, departures }, output);
    }

    /// Whether this coordinator knows of all acknowledged departures, as far as it can tell: whoever
    /// else holds one has told it, or is out of reach for long.
    pub fn knows_departures(&self) -> bool {
        self.is_complete() || self.hub.are_departures_complete()
    }

    /// Tells a sidecar of new departures beside it, and acknowledges its report of one that is on disk
    /// by now.
    pub fn send_departure_updates(
        &self,
        link: &mut Link,
        new: &[KnownDeparture],
        output: &mut Vec<u8>,
    ) {
        let beside = new.iter().filter(|departure| departure.node == link.node);
        self.send_departures(link, beside.cloned().collect(), output);
        let durable = self.hub.durable_departures();
        if let Some(due) = link.unacknowledged.take_if(|report| report.position <= durable) {
            let sequence = due.sequence;
            encode_frame(&ToSidecar::ReportAcknowledged { sequence }, output);
        }
    }

    fn last_record(&self, node: &NodeAddress) -> Option<LastRecord> {
        let registry = &self.hub.lock().registry;
        let record = registry.last_record(node)?;
        let ended_ms = registry.ended_ms(node, record.boot_id, self.clock.now_ms());
        let ended_ms = ended_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
        Some(LastRecord { record, ended_ms })
    }

    /// Handles a frame of a sidecar; responses are appended to `output`.
    pub fn handle_frame(&mut self, link: &mut Link, frame: ToCoordinator, output: &mut Vec<u8>) {
        let node = link.node;
        match frame {
            ToCoordinator::Report(record) => self.handle_report(link, record, output),
            ToCoordinator::ConfigRequest { held } => {
                output.extend_from_slice(&self.config_frame(held));
            }
            ToCoordinator::Subscribe { nodes } => {
                info!(%node, nodes, "sidecar_subscribed");
                link.subscription = nodes.then(Subscription::default);
            }
            ToCoordinator::Load(load) => self.hub.lock().loads.report(node, load),
            ToCoordinator::Evidence(report) => {
                self.group.forward_evidence(node, link.boot_id, &report);
                if let Some(evidence) = self.hub.lock().evidence.get_mut(&report.service) {
                    evidence.record(node, link.boot_id, &report);
                }
            }
            ToCoordinator::Poison { notices } => {
                self.hub.receive_poison(notices, true, self.clock.now_ms());
            }
            ToCoordinator::Credits(request) => {
                let answer = self.quotas.request(node, request);
                encode_frame(&ToSidecar::Credits(answer), output);
            }
            ToCoordinator::Applied { generation } => info!(%node, generation, "generation_applied"),
            ToCoordinator::Ping { asked_at } => {
                let generation = self.group.announced_generation();
                encode_frame(&ToSidecar::Pong { asked_at, generation }, output);
            }
        }
        let now = self.clock.now_ms();
        link.contacts.note(now);
        self.hub.lock().registry.alive(&node, link.boot_id, now);
    }

    /// Handles the end of a link.
    pub fn close(&self, link: &Link) {
        let now = self.clock.now_ms();
        let contact_at = link.contacts.last_before(now);
        self.hub.lock().registry.link_ended(&link.node, link.boot_id, contact_at);
        if self.hub.lock().registry.disconnected(&link.node, link.boot_id) {
            self.hub.wake();
        }
        let contact_ms = now.saturating_sub(contact_at);
        info!(node = %link.node, life = link.boot_id, contact_ms, "sidecar_disconnected");
    }

    /// Handles a report. One that states a departure is acknowledged once that is on disk: it binds this
    /// coordinator's next process too.
    fn handle_report(&self, link: &mut Link, record: NodeRecord, output: &mut Vec<u8>) {
        let sequence = record.sequence;
        let instance = record.instance.clone();
        let (node, stopping) = (record.address, record.stopping);
        let (changed, position) = {
            let registry = &mut self.hub.lock().registry;
            let changed = registry.report(record.clone(), self.clock.now_ms());
            (changed, registry.departures().position_of(&record))
        };
        if changed {
            info!(%node, sequence, stopping, instance = ?instance, "node_reported");
            self.hub.wake();
        }
        if position > self.hub.durable_departures() {
            self.hub.write_departures();
            link.unacknowledged = Some(Unacknowledged { sequence, position });
            return;
        }
        encode_frame(&ToSidecar::ReportAcknowledged { sequence }, output);
    }

    /// Encodes the latest configuration as an update of the one that a sidecar has.
    fn config_frame(&mut self, held: Digest) -> Encoded {
        let (generation, confirmed) = self.group.newest();
        let is_current = |update: &&CachedUpdate| {
            update.held == held && (update.generation, update.confirmed) == (generation, confirmed)
        };
        if let Some(update) = self.cached_update.as_ref().filter(is_current) {
            return update.frame.clone();
        }
        let known = self.group.configuration(held);
        let KnownConfiguration { generation, confirmed, .. } = known;
        let update = best_update(known.held.as_ref(), &known.bundle);
        let frame = encoded(&ToSidecar::Config { generation, confirmed, update });
        self.cached_update =
            Some(CachedUpdate { held, generation, confirmed, frame: frame.clone() });
        frame
    }

    /// Encodes changes of the group since the last call.
    pub fn update_group_frames(&mut self) {
        let group_frames = &mut self.group_frames;
        group_frames.generation = self.group.announced_generation();
        let members = self.group.locations();
        if members != group_frames.members {
            group_frames.members_revision += 1;
            group_frames.members_frame = encoded(&ToSidecar::Members { members: members.clone() });
            group_frames.members = members;
        }
        let known = self.group.evacuations();
        if known.revision > group_frames.evacuations_revision {
            group_frames.evacuations_revision = known.revision;
            let (revision, zones) = (known.revision, known.zones.into_keys().collect());
            group_frames.evacuations_frame = encoded(&ToSidecar::Evacuations { revision, zones });
        }
        let known = self.group.versions();
        if known.revision > group_frames.versions_revision {
            group_frames.versions_revision = known.revision;
            let policies = self.canary_policies.of(&known.canaries);
            let revision = known.revision;
            group_frames.versions_frame = encoded(&ToSidecar::Versions { revision, policies });
        }
    }

    /// Sends a sidecar the changes of the group since the last call. Zones and versions, which
    /// decide the upstreams that may receive calls, are sent first.
    pub fn send_group_updates(&self, link: &mut Link, output: &mut Vec<u8>) {
        let (group_frames, sent) = (&self.group_frames, &mut link.sent);
        if group_frames.evacuations_revision > sent.evacuations {
            sent.evacuations = group_frames.evacuations_revision;
            output.extend_from_slice(&group_frames.evacuations_frame);
        }
        if group_frames.versions_revision > sent.versions {
            sent.versions = group_frames.versions_revision;
            output.extend_from_slice(&group_frames.versions_frame);
        }
        if group_frames.generation > sent.generation {
            sent.generation = group_frames.generation;
            encode_frame(&ToSidecar::Announce { generation: group_frames.generation }, output);
        }
        if group_frames.members_revision > sent.members {
            sent.members = group_frames.members_revision;
            output.extend_from_slice(&group_frames.members_frame);
        }
    }

    /// Sends a subscriber the changes of other sidecars. Until the list of this coordinator is
    /// complete, updates only add to the sidecar's list and never replace it.
    pub fn send_node_updates(
        &self,
        link: &mut Link,
        cache: &mut NodeFrameCache,
        output: &mut Vec<u8>,
    ) {
        let Some(subscription) = &mut link.subscription else {
            return;
        };
        let complete = self.is_complete();
        let since = subscription.position.filter(|_| subscription.whole || !complete);
        let NodeFrame { position, frame } = cache.frame_since(since, complete, &self.hub);
        subscription.position = Some(*position);
        subscription.whole |= complete;
        if let Some(frame) = frame {
            output.extend_from_slice(frame);
        }
        let notices = {
            let board = &self.hub.lock().poison;
            let notices = board.since(subscription.poison, self.clock.now_ms());
            subscription.poison = board.position();
            notices
        };
        if !notices.is_empty() {
            encode_frame(&ToSidecar::Poison { notices }, output);
        }
    }

    /// Whether the list of this coordinator is complete, so that a missing sidecar is gone.
    pub fn is_complete(&self) -> bool {
        self.clock.now_ms() >= self.started_at + COMPLETE_AFTER_MS
    }

    /// Frames with loads that are due for subscribers.
    pub fn due_load_frames(&mut self) -> Vec<Encoded> {
        let (near, far) = (ZoneDistance::Near(&self.zone), ZoneDistance::Far(&self.zone));
        let frames =
            [self.near.frame_if_due(&self.hub, near), self.far.frame_if_due(&self.hub, far)];
        frames.into_iter().flatten().collect()
    }

    /// When the next loads are due.
    pub fn next_loads_at(&self) -> BootInstant {
        self.near.due_at.min(self.far.due_at)
    }
}

impl Link {
    /// Whether the sidecar subscribed to updates about others.
    pub fn is_subscribed(&self) -> bool {
        self.subscription.is_some()
    }
}

/// Encoded changes of sidecars by position, shared by subscribers.
#[derive(Default)]
pub(crate) struct NodeFrameCache {
    by_position: BTreeMap<(Option<u64>, bool), NodeFrame>,
}

/// The changes up to a position, encoded; `None` if there are none.
struct NodeFrame {
    position: u64,
    frame: Option<Encoded>,
}

impl NodeFrameCache {
    fn frame_since(&mut self, since: Option<u64>, complete: bool, hub: &Hub) -> &NodeFrame {
        self.by_position.entry((since, complete)).or_insert_with(|| {
            let changes = hub.lock().registry.changes_since(since);
            let whole = changes.whole && complete;
            let (changed, gone) = (changes.changed, changes.gone);
            let has_changes = whole || !changed.is_empty() || !gone.is_empty();
            let frame = has_changes.then(|| encoded(&ToSidecar::Nodes { whole, changed, gone }));
            NodeFrame { position: changes.position, frame }
        })
    }
}

/// Sends loads to subscribers at a limited rate.
struct LoadPublisher {
    position: u64,
    bytes_per_s: f64,
    due_at: BootInstant,
}

impl LoadPublisher {
    /// Starts with loads that are reported from now on.
    fn new(hub: &Hub, bytes_per_s: f64) -> Self {
        LoadPublisher {
            position: hub.lock().loads.position(),
            bytes_per_s,
            due_at: BootInstant::now(),
        }
    }

    /// Encodes the loads that changed since the last frame, if one is due.
    fn frame_if_due(&mut self, hub: &Hub, distance: ZoneDistance<'_>) -> Option<Encoded> {
        if BootInstant::now() < self.due_at {
            return None;
        }
        let loads = {
            let state = hub.lock();
            let loads =
                state.loads.since(self.position, |node| distance.includes(node, &state.registry));
            self.position = state.loads.position();
            loads
        };
        let bytes = (loads.len() * NodeLoad::BYTES) as f64;
        let pause = Duration::from_secs_f64(bytes / self.bytes_per_s);
        self.due_at = BootInstant::now() + pause.max(LOADS_INTERVAL);
        let has_loads = !loads.is_empty();
        has_loads.then(|| encoded(&ToSidecar::Loads { loads }))
    }
}
