//! Links to the coordinators: what this sidecar is goes out, configuration and endpoints come in.
//!
//! A sidecar keeps a link to several coordinators, so that a cut among them loses nothing. Those are
//! told what it is, and vouch for it to all others; only one, of its own zone where there is one, tells
//! it of the other sidecars and is asked for the content of a new generation.

mod choice;
mod content;
mod credits;
mod subscription;
mod telling;

pub use choice::chosen;

use crate::net::{ConnectionId, Net, NetEvent};
use crate::Millis;
use bundle::BundleUpdate;
use bytes::Buf;
use mesh::{
    decode_frame, encode_frame, CreditAnswer, Greeting, MemberLocation, NodeAddress, NodeLoad,
    NodeRecord, PoisonNotice, Purpose, ToCoordinator, ToSidecar, UpstreamLoad, VersionPolicy,
    PROTOCOL_VERSION,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use tracing::{info, warn};

const PING_INTERVAL_MS: u64 = 1_000;
/// A coordinator that says nothing for this long is left.
const SILENCE_LIMIT_MS: u64 = 3_000;
/// A coordinator that answers no ping for this long does not stay the only one that tells of other
/// sidecars, milliseconds: one ping and half of the next interval.
const SUSPECT_LIMIT_MS: u64 = 1_500;
/// An opening packet to a machine that was dark is gone; it is sent anew after about the longest way
/// there and back between regions, milliseconds.
const OPEN_LIMIT_MS: u64 = 150;
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 800;
/// What a lost coordinator said of endpoints counts for this long.
const STALE_LIMIT_MS: u64 = 15_000;
/// A coordinator that was tried in vain so often gets another one beside it: with growing pauses, after
/// about half a second.
const FAILURES_BORNE: u32 = 3;

/// What the links bring.
#[derive(Debug)]
pub enum LinkEvent {
    /// A coordinator answered for the first time; what it knows of an earlier life.
    Welcome(Option<NodeRecord>),
    /// A new configuration.
    Config {
        /// Its generation.
        generation: u64,
        /// Whether the coordinator that sent it hears of a leader.
        confirmed: bool,
        /// Its content.
        update: BundleUpdate,
    },
    /// The newest generation that a coordinator knew of after it was asked.
    Newest {
        /// When it was asked.
        asked_at: Millis,
        /// The generation; 0 if it heard of no leader.
        generation: u64,
    },
    /// News of a node.
    Node(NodeRecord),
    /// How busy upstreams are, as their sidecars told a moment ago.
    Loads(Vec<NodeLoad>),
    /// What others know of requests that may crash upstreams.
    Poison(Vec<PoisonNotice>),
    /// Credits of tenants' quotas.
    Credits(CreditAnswer),
    /// Nodes may have gone; see [`Links::is_listed`].
    Gone,
    /// Which versions of upstreams may be given calls, newer than what was told before.
    Versions(Vec<VersionPolicy>),
    /// The evacuated zones, newer than what was told before.
    Evacuations(Vec<String>),
}

#[derive(Debug, Default)]
struct Link {
    connection: Option<ConnectionId>,
    open: bool,
    welcomed: bool,
    since: Millis,
    heard_at: Millis,
    pinged_at: Option<Millis>,
    retry_at: Millis,
    failures: u32,
    taken: u64,
    announced: u64,
    /// Whether it is in the zone of this sidecar.
    same_zone: bool,
    /// Whether it was asked to tell of other sidecars.
    subscribed: bool,
    /// Whether it told all of them since.
    whole: bool,
    nodes: BTreeSet<NodeAddress>,
    lost_at: Option<Millis>,
}

impl Link {
    fn is_healthy(&self, now: Millis) -> bool {
        self.open && self.welcomed && now < self.heard_at + SUSPECT_LIMIT_MS
    }
}

/// All links.
pub struct Links {
    fleet: String,
    port: u16,
    seeds: Vec<Ipv4Addr>,
    members: Vec<MemberLocation>,
    links: BTreeMap<Ipv4Addr, Link>,
    record: NodeRecord,
    random: fastrand::Rng,
    config_asked: Option<(Ipv4Addr, Millis)>,
    /// Which coordinator was asked for credits last.
    credits_asked: Option<Ipv4Addr>,
    welcomed: bool,
    /// When a coordinator was linked though none was before.
    linked_at: Millis,
    /// The newest generation that was announced, and when it first was.
    newest: u64,
    announced_at: Millis,
    load_told: Option<UpstreamLoad>,
    load_told_at: Millis,
    /// Revision of the versions told last; older ones are passed over.
    versions_revision: u64,
    /// The same of evacuated zones.
    evacuations_revision: u64,
}

impl Links {
    /// No links yet; `record` is what this sidecar is.
    pub fn new(
        fleet: &str,
        port: u16,
        seeds: Vec<Ipv4Addr>,
        record: NodeRecord,
        seed: u64,
    ) -> Self {
        Links {
            fleet: fleet.to_owned(),
            port,
            seeds,
            members: Vec::new(),
            links: BTreeMap::new(),
            record,
            random: fastrand::Rng::with_seed(seed),
            config_asked: None,
            credits_asked: None,
            welcomed: false,
            linked_at: 0,
            newest: 0,
            announced_at: 0,
            load_told: None,
            load_told_at: 0,
            versions_revision: 0,
            evacuations_revision: 0,
        }
    }

    /// Whether any coordinator answered since the start.
    pub fn is_welcomed(&self) -> bool {
        self.welcomed
    }

    /// Replaces the coordinators that are tried when no member is known or reached.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Whether a node is listed by a coordinator that may be believed.
    pub fn is_listed(&self, node: &NodeAddress, now: Millis) -> bool {
        let believed = |link: &&Link| link.lost_at.is_none_or(|at| now < at + STALE_LIMIT_MS);
        self.links.values().filter(believed).any(|link| link.nodes.contains(node))
    }

    /// What this sidecar is.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// The link a connection belongs to.
    pub fn holds(&self, id: ConnectionId) -> bool {
        self.links.values().any(|link| link.connection == Some(id))
    }

    /// Takes in an event of one of its connections.
    pub fn on_event(&mut self, net: &mut Net, event: &NetEvent, now: Millis) -> Vec<LinkEvent> {
        let id = match event {
            NetEvent::Opened(id) | NetEvent::NotOpened(id) | NetEvent::Received(id) => *id,
            NetEvent::Ended(id, _) => *id,
            NetEvent::Accepted { .. } => return Vec::new(),
        };
        let found = self.links.iter().find(|(_, link)| link.connection == Some(id));
        let Some(address) = found.map(|(address, _)| *address) else {
            return Vec::new();
        };
        match event {
            NetEvent::Opened(_) => {
                self.opened(net, address, now);
                Vec::new()
            }
            NetEvent::Received(_) => self.received(net, address, now),
            _ => {
                self.lost(net, address, "connection_ended", now);
                Vec::new()
            }
        }
    }

    fn opened(&mut self, net: &mut Net, address: Ipv4Addr, now: Millis) {
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        link.open = true;
        link.heard_at = now;
        let greeting = Greeting {
            protocol: PROTOCOL_VERSION,
            fleet: self.fleet.clone(),
            purpose: Purpose::Sidecar,
        };
        let mut bytes = Vec::new();
        encode_frame(&greeting, &mut bytes);
        if let Some(id) = link.connection {
            net.send(id, &bytes);
        }
        send(net, link, &ToCoordinator::Report(self.record.clone()));
    }

    fn received(&mut self, net: &mut Net, address: Ipv4Addr, now: Millis) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        loop {
            let Some(link) = self.links.get_mut(&address) else {
                return events;
            };
            link.heard_at = now;
            let Some(id) = link.connection else {
                return events;
            };
            let Some(input) = net.input(id) else {
                return events;
            };
            match decode_frame::<ToSidecar>(input) {
                Ok(Some((message, length))) => {
                    input.advance(length);
                    self.take(net, address, message, now, &mut events);
                }
                Ok(None) => {
                    net.trim(id);
                    return events;
                }
                Err(error) => {
                    warn!(coordinator = %address, %error, "link_unreadable");
                    self.lost(net, address, "unreadable", now);
                    return events;
                }
            }
        }
    }

    fn take(
        &mut self,
        net: &mut Net,
        address: Ipv4Addr,
        message: ToSidecar,
        now: Millis,
        events: &mut Vec<LinkEvent>,
    ) {
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        match message {
            ToSidecar::Welcome { zone, last } => {
                if !self.links.values().any(|link| link.welcomed) {
                    self.linked_at = now;
                }
                let Some(link) = self.links.get_mut(&address) else {
                    return;
                };
                link.welcomed = true;
                link.failures = 0;
                link.lost_at = None;
                link.same_zone = zone == self.record.zone;
                self.welcomed = true;
                let restored = last.is_some();
                info!(coordinator = %address, %zone, restored, "coordinator_linked");
                events.push(LinkEvent::Welcome(last));
                self.subscribe(net, now);
            }
            ToSidecar::ReportAcknowledged { sequence } => link.taken = link.taken.max(sequence),
            ToSidecar::Members { members } => {
                let known = members.iter().filter(|member| !member.zone.is_empty()).count();
                let count = members.len();
                info!(coordinator = %address, members = count, zones_known = known, "members_learned");
                self.members = members;
            }
            ToSidecar::Announce { generation } => {
                link.announced = generation;
                if generation > self.newest {
                    self.newest = generation;
                    self.announced_at = now;
                }
            }
            ToSidecar::Config { generation, confirmed, update } => {
                if !confirmed {
                    self.config_asked = None;
                }
                events.push(LinkEvent::Config { generation, confirmed, update });
            }
            ToSidecar::Nodes { whole, changed, gone } => {
                if whole {
                    link.nodes.clear();
                    link.whole = true;
                }
                for node in &gone {
                    link.nodes.remove(node);
                }
                link.nodes.extend(changed.iter().map(|record| record.address));
                events.extend(changed.into_iter().map(LinkEvent::Node));
                if whole || !gone.is_empty() {
                    events.push(LinkEvent::Gone);
                }
                if whole {
                    self.subscribe(net, now);
                }
            }
            ToSidecar::Versions { revision, policies } => {
                if revision > self.versions_revision {
                    info!(coordinator = %address, revision, ?policies, "versions_learned");
                    self.versions_revision = revision;
                    events.push(LinkEvent::Versions(policies));
                }
            }
            ToSidecar::Evacuations { revision, zones } => {
                if revision > self.evacuations_revision {
                    info!(coordinator = %address, revision, ?zones, "evacuations_learned");
                    self.evacuations_revision = revision;
                    events.push(LinkEvent::Evacuations(zones));
                }
            }
            ToSidecar::Loads { loads } => events.push(LinkEvent::Loads(loads)),
            ToSidecar::Poison { notices } => events.push(LinkEvent::Poison(notices)),
            ToSidecar::Credits(answer) => events.push(LinkEvent::Credits(answer)),
            ToSidecar::Pong { asked_at, generation } => {
                events.push(LinkEvent::Newest { asked_at, generation });
            }
        }
    }

    fn lost(&mut self, net: &mut Net, address: Ipv4Addr, reason: &str, now: Millis) {
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        if let Some(id) = link.connection.take() {
            net.close(id);
        }
        if link.welcomed {
            info!(coordinator = %address, reason, "coordinator_lost");
            link.lost_at = Some(now);
        }
        link.open = false;
        link.pinged_at = None;
        link.welcomed = false;
        link.subscribed = false;
        link.whole = false;
        link.taken = 0;
        link.announced = 0;
        let longest = (FIRST_PAUSE_MS << link.failures.min(6)).min(LONGEST_PAUSE_MS);
        link.failures += 1;
        link.retry_at = now + self.random.u64(FIRST_PAUSE_MS / 2..=longest);
        if self.config_asked.is_some_and(|(from, _)| from == address) {
            self.config_asked = None;
        }
        self.subscribe(net, now);
    }

    /// Opens links that are missing, and leaves coordinators that are silent.
    pub fn tick(&mut self, net: &mut Net, now: Millis) {
        let wanted = self.wanted();
        let silent = |link: &Link| {
            let limit = if link.open { SILENCE_LIMIT_MS } else { OPEN_LIMIT_MS };
            let since = if link.open { link.heard_at } else { link.since };
            link.connection.is_some() && since + limit <= now
        };
        let found = self.links.iter().filter(|(_, link)| silent(link));
        let lost: Vec<Ipv4Addr> = found.map(|(address, _)| *address).collect();
        for address in lost {
            self.lost(net, address, "silent", now);
        }
        self.subscribe(net, now);
        for address in &wanted {
            let link = self.links.entry(*address).or_default();
            if link.connection.is_none() && link.retry_at <= now {
                link.since = now;
                match net.connect(SocketAddr::from((*address, self.port))) {
                    Ok(id) => link.connection = Some(id),
                    Err(_) => link.retry_at = now + LONGEST_PAUSE_MS,
                }
            }
        }
        // One that tells of other sidecars goes once one of those wanted has told all it lists.
        let told = |(address, link): (&Ipv4Addr, &Link)| wanted.contains(address) && link.whole;
        let settled = self.links.iter().any(told);
        let former = |address: &Ipv4Addr, link: &Link| {
            let over = match link.open {
                true => settled || !link.subscribed,
                false => link.lost_at.is_none_or(|at| at + STALE_LIMIT_MS <= now),
            };
            !wanted.contains(address) && over
        };
        let found = self.links.iter().filter(|(address, link)| former(address, link));
        let unwanted: Vec<Ipv4Addr> = found.map(|(address, _)| *address).collect();
        for address in unwanted {
            if let Some(id) = self.links.remove(&address).and_then(|link| link.connection) {
                net.close(id);
            }
        }
        let due = |link: &&mut Link| {
            link.open && link.pinged_at.is_none_or(|at| at + PING_INTERVAL_MS <= now)
        };
        for link in self.links.values_mut().filter(due) {
            link.pinged_at = Some(now);
            send(net, link, &ToCoordinator::Ping { asked_at: now });
        }
    }

    /// The coordinators to be linked, and the seeds while no member is reached.
    fn wanted(&self) -> Vec<Ipv4Addr> {
        let is_down = |member: Ipv4Addr| {
            let link = self.links.get(&member);
            link.is_some_and(|link| !link.welcomed && link.failures >= FAILURES_BORNE)
        };
        let (own, zone) = (&self.record.address, &self.record.zone);
        let mut wanted = choice::chosen(own, zone, &self.members, is_down);
        let reached = self.links.values().any(|link| link.welcomed);
        if !reached || wanted.is_empty() {
            wanted.extend(&self.seeds);
        }
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }

    /// How high a coordinator ranks for this sidecar among those that are as near.
    fn rank(&self, coordinator: Ipv4Addr) -> u64 {
        choice::rank(&self.record.address, coordinator)
    }
}

fn send(net: &mut Net, link: &Link, message: &ToCoordinator) {
    let Some(id) = link.connection else {
        return;
    };
    let mut bytes = Vec::new();
    encode_frame(message, &mut bytes);
    net.send(id, &bytes);
}
