//! What one sidecar's link says, and what it is told; no sockets.
//!
//! All links are served by one thread, see [`crate::link_server`]. A sidecar tells all coordinators that
//! it is linked to what it is; news of the others goes only to those that subscribe, each of which
//! subscribes to one coordinator, of its own zone where there is one. What many are told is encoded
//! once.

use crate::canaries::CanaryPolicies;
use crate::hub::Hub;
use crate::loads::Reach;
use crate::membership::{Group, KnownConfiguration};
use crate::quotas::Quotas;
use crate::Millis;
use bundle::{best_update, Digest};
use mesh::{
    encode_frame, MemberLocation, NodeAddress, NodeLoad, NodeRecord, ToCoordinator, ToSidecar,
};
use speedy::{LittleEndian, Writable};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::info;

/// Time between two tellings of loads. A sidecar's share of calls is some in this time, and a call
/// holds its slot for longer, so what was told still holds for most of them.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// What loads of the own zone, and of all others, may take of a subscriber's link, bytes a second:
/// together 6 in 100 of the slowest link that sidecars were seen with (2 Mbit/s), and two thirds of
/// what control may take of a node in a fleet of some thousand (21 kB/s). Calls stay in their zone
/// while it has room, so its loads are told in time first; in a large fleet those of others are told
/// of less often.
const NEAR_LOAD_BYTES_PER_S: f64 = 8_000.0;
const FAR_LOAD_BYTES_PER_S: f64 = 6_000.0;
/// A coordinator that started has its list filled by the sidecars' own links, which pause for
/// 0.8 s at most between tries, and by other coordinators. Until then its list is no proof that a
/// sidecar is gone, milliseconds.
const COMPLETE_AFTER_MS: u64 = 2_000;

/// An encoded frame that many are sent.
pub(crate) type Encoded = Arc<Vec<u8>>;

/// Encodes a frame once for many.
pub(crate) fn encoded<T: Writable<LittleEndian>>(message: &T) -> Encoded {
    let mut bytes = Vec::new();
    encode_frame(message, &mut bytes);
    Arc::new(bytes)
}

/// One sidecar's link.
#[derive(Debug)]
pub(crate) struct Link {
    pub node: NodeAddress,
    pub boot_id: u64,
    told: Told,
    subscription: Option<Subscription>,
}

/// Up to where a sidecar was told of the group.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    generation: u64,
    members: u64,
    versions: u64,
    evacuations: u64,
}

/// Up to where a subscriber was told of other sidecars.
#[derive(Clone, Copy, Debug, Default)]
struct Subscription {
    position: Option<u64>,
    /// Whether it was told all at once since the list here is complete.
    whole: bool,
    poison: u64,
}

/// What all links are told of the group, encoded once for each change.
#[derive(Default)]
pub(crate) struct GroupNews {
    generation: u64,
    members: Vec<MemberLocation>,
    members_revision: u64,
    members_frame: Encoded,
    versions_revision: u64,
    versions_frame: Encoded,
    evacuations_revision: u64,
    evacuations_frame: Encoded,
}

/// What turns the content a sidecar holds into that of a generation, encoded.
struct MadeUpdate {
    held: Digest,
    generation: u64,
    confirmed: bool,
    frame: Encoded,
}

/// What all links are served with.
pub(crate) struct Links {
    zone: String,
    started_at: Millis,
    pub hub: Arc<Hub>,
    pub group: Arc<Group>,
    pub clock: Clock,
    canary_policies: CanaryPolicies,
    quotas: Arc<Quotas>,
    news: GroupNews,
    /// The last update made, which many sidecars ask for at once.
    made: Option<MadeUpdate>,
    near: LoadTeller,
    far: LoadTeller,
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
            near: LoadTeller::new(&hub, NEAR_LOAD_BYTES_PER_S),
            far: LoadTeller::new(&hub, FAR_LOAD_BYTES_PER_S),
            hub,
            group,
            clock,
            canary_policies,
            quotas,
            news: GroupNews::default(),
            made: None,
        }
    }

    /// Takes in the first report of a sidecar; what it is told at once is added to `output`.
    pub fn open(&mut self, record: NodeRecord, output: &mut Vec<u8>) -> Link {
        let (node, life) = (record.address, record.boot_id);
        let last = self.hub.lock().registry.last_record(&node);
        let last = last.filter(|last| last.boot_id != life);
        info!(%node, life, restored = last.is_some(), "sidecar_connected");
        let zone = self.zone.clone();
        encode_frame(&ToSidecar::Welcome { zone, last }, output);
        let mut link = Link { node, boot_id: life, told: Told::default(), subscription: None };
        // Before its upstream is told of: what may be given to it depends on its version and zone.
        self.look_at_group();
        self.tell_group(&mut link, output);
        self.take_report(record, output);
        link
    }

    /// Takes in a frame of a sidecar; answers are added to `output`.
    pub fn take(&mut self, link: &mut Link, frame: ToCoordinator, output: &mut Vec<u8>) {
        let node = link.node;
        match frame {
            ToCoordinator::Report(record) => self.take_report(record, output),
            ToCoordinator::ConfigRequest { held } => {
                output.extend_from_slice(&self.config_frame(held));
            }
            ToCoordinator::Subscribe { nodes } => {
                info!(%node, nodes, "sidecar_subscribed");
                link.subscription = nodes.then(Subscription::default);
            }
            ToCoordinator::Load(load) => self.hub.lock().loads.told(node, load),
            ToCoordinator::Evidence(told) => {
                self.group.pass_evidence(node, link.boot_id, &told);
                if let Some(evidence) = self.hub.lock().evidence.get_mut(&told.service) {
                    evidence.told(node, link.boot_id, &told);
                }
            }
            ToCoordinator::Poison { notices } => {
                self.hub.take_poison(notices, true, self.clock.now_ms());
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
        self.hub.lock().registry.alive(&node, link.boot_id, self.clock.now_ms());
    }

    /// Notes that a link ended.
    pub fn ended(&self, link: &Link) {
        if self.hub.lock().registry.disconnected(&link.node, link.boot_id) {
            self.hub.wake();
        }
        info!(node = %link.node, life = link.boot_id, "sidecar_disconnected");
    }

    fn take_report(&self, record: NodeRecord, output: &mut Vec<u8>) {
        let sequence = record.sequence;
        let instance = record.instance.clone();
        let (node, stopping) = (record.address, record.stopping);
        let changed = self.hub.lock().registry.report(record, self.clock.now_ms());
        if changed {
            info!(%node, sequence, stopping, instance = ?instance, "node_reported");
            self.hub.wake();
        }
        encode_frame(&ToSidecar::ReportAcknowledged { sequence }, output);
    }

    /// The newest configuration as an update of what a sidecar holds.
    fn config_frame(&mut self, held: Digest) -> Encoded {
        let (generation, confirmed) = self.group.newest();
        let fits = |made: &&MadeUpdate| {
            made.held == held && (made.generation, made.confirmed) == (generation, confirmed)
        };
        if let Some(made) = self.made.as_ref().filter(fits) {
            return made.frame.clone();
        }
        let known = self.group.configuration(held);
        let KnownConfiguration { generation, confirmed, .. } = known;
        let update = best_update(known.held.as_ref(), &known.bundle);
        let frame = encoded(&ToSidecar::Config { generation, confirmed, update });
        self.made = Some(MadeUpdate { held, generation, confirmed, frame: frame.clone() });
        frame
    }

    /// Takes over what changed of the group since the last look.
    pub fn look_at_group(&mut self) {
        let news = &mut self.news;
        news.generation = self.group.announced_generation();
        let members = self.group.places();
        if members != news.members {
            news.members_revision += 1;
            news.members_frame = encoded(&ToSidecar::Members { members: members.clone() });
            news.members = members;
        }
        let known = self.group.evacuations();
        if known.revision > news.evacuations_revision {
            news.evacuations_revision = known.revision;
            let (revision, zones) = (known.revision, known.zones.into_keys().collect());
            news.evacuations_frame = encoded(&ToSidecar::Evacuations { revision, zones });
        }
        let known = self.group.versions();
        if known.revision > news.versions_revision {
            news.versions_revision = known.revision;
            let policies = self.canary_policies.of(&known.canaries);
            let revision = known.revision;
            news.versions_frame = encoded(&ToSidecar::Versions { revision, policies });
        }
    }

    /// Tells a sidecar of what changed of the group since it was told: first which upstreams may be
    /// given calls, by zones and versions.
    pub fn tell_group(&self, link: &mut Link, output: &mut Vec<u8>) {
        let (news, told) = (&self.news, &mut link.told);
        if news.evacuations_revision > told.evacuations {
            told.evacuations = news.evacuations_revision;
            output.extend_from_slice(&news.evacuations_frame);
        }
        if news.versions_revision > told.versions {
            told.versions = news.versions_revision;
            output.extend_from_slice(&news.versions_frame);
        }
        if news.generation > told.generation {
            told.generation = news.generation;
            encode_frame(&ToSidecar::Announce { generation: news.generation }, output);
        }
        if news.members_revision > told.members {
            told.members = news.members_revision;
            output.extend_from_slice(&news.members_frame);
        }
    }

    /// Tells a subscriber of other sidecars. Until the list here is complete, it adds to what the
    /// sidecar knows of others and replaces nothing.
    pub fn tell_nodes(&self, link: &mut Link, cache: &mut NodeFrames, output: &mut Vec<u8>) {
        let Some(subscription) = &mut link.subscription else {
            return;
        };
        let complete = self.is_complete();
        let from = subscription.position.filter(|_| subscription.whole || !complete);
        let NodeFrame { position, frame } = cache.frame_since(from, complete, &self.hub);
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

    /// Whether the list here proves that a sidecar which it lacks is gone.
    pub fn is_complete(&self) -> bool {
        self.clock.now_ms() >= self.started_at + COMPLETE_AFTER_MS
    }

    /// The loads that subscribers are to be told now.
    pub fn loads_due(&mut self) -> Vec<Encoded> {
        let (near, far) = (Reach::Near(&self.zone), Reach::Far(&self.zone));
        let due = [self.near.tell_due(&self.hub, near), self.far.tell_due(&self.hub, far)];
        due.into_iter().flatten().collect()
    }

    /// When loads are to be told next.
    pub fn next_loads(&self) -> BootInstant {
        self.near.due.min(self.far.due)
    }
}

impl Link {
    /// Whether the sidecar is told of others.
    pub fn is_subscribed(&self) -> bool {
        self.subscription.is_some()
    }
}

/// Frames of what changed about sidecars since some positions, for many subscribers.
#[derive(Default)]
pub(crate) struct NodeFrames {
    by_position: BTreeMap<(Option<u64>, bool), NodeFrame>,
}

/// A frame of what changed until a position; none if nothing did.
struct NodeFrame {
    position: u64,
    frame: Option<Encoded>,
}

impl NodeFrames {
    fn frame_since(&mut self, from: Option<u64>, complete: bool, hub: &Hub) -> &NodeFrame {
        self.by_position.entry((from, complete)).or_insert_with(|| {
            let changes = hub.lock().registry.changes_since(from);
            let whole = changes.whole && complete;
            let (changed, gone) = (changes.changed, changes.gone);
            let any = whole || !changed.is_empty() || !gone.is_empty();
            let frame = any.then(|| encoded(&ToSidecar::Nodes { whole, changed, gone }));
            NodeFrame { position: changes.position, frame }
        })
    }
}

/// Tells subscribers of loads, at a bounded rate.
struct LoadTeller {
    position: u64,
    bytes_per_s: f64,
    due: BootInstant,
}

impl LoadTeller {
    /// Begins with loads that are told from now on.
    fn new(hub: &Hub, bytes_per_s: f64) -> Self {
        LoadTeller { position: hub.lock().loads.position(), bytes_per_s, due: BootInstant::now() }
    }

    /// What changed since the last time, if it is time to tell.
    fn tell_due(&mut self, hub: &Hub, reach: Reach<'_>) -> Option<Encoded> {
        if BootInstant::now() < self.due {
            return None;
        }
        let loads = {
            let state = hub.lock();
            let loads = state.loads.since(self.position, |node| reach.holds(node, &state.registry));
            self.position = state.loads.position();
            loads
        };
        let bytes = (loads.len() * NodeLoad::BYTES) as f64;
        let pause = Duration::from_secs_f64(bytes / self.bytes_per_s);
        self.due = BootInstant::now() + pause.max(LOADS_INTERVAL);
        let any = !loads.is_empty();
        any.then(|| encoded(&ToSidecar::Loads { loads }))
    }
}
