//! Links to the coordinators: reports about this sidecar go out, configuration and endpoints come
//! in.
//!
//! A sidecar keeps links to several coordinators, so that a partition among them loses nothing. All
//! of them receive its reports and pass them on to the other coordinators. Only one of them, in its
//! own zone if possible, sends it the list of the other sidecars and the content of new
//! generations.

mod choice;
mod content;
mod credits;
mod reports;
mod subscription;

pub use choice::chosen;

use crate::net::{ConnectionId, Net, NetEvent};
use crate::Millis;
use bundle::BundleUpdate;
use bytes::Buf;
use mesh::{
    decode_frame, encode_frame, CreditAnswer, Greeting, KnownDeparture, LastRecord, MemberLocation,
    NodeAddress, NodeLoad, NodeRecord, PoisonNotice, Purpose, ToCoordinator, ToSidecar,
    UpstreamLoad, VersionPolicy, PROTOCOL_VERSION,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use tracing::{info, warn};

const PING_INTERVAL_MS: u64 = 1_000;
/// A link is closed when the coordinator has sent nothing for this long, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// A coordinator that has sent nothing for this long, in milliseconds, is no longer relied on as
/// the only source of the list of sidecars: one ping interval and half of the next.
const UNHEALTHY_AFTER_MS: u64 = 1_500;
/// Time after which a connection attempt is repeated, in milliseconds, because the SYN to an
/// unreachable machine is lost: about the longest round trip between regions.
const CONNECT_TIMEOUT_MS: u64 = 150;
const INITIAL_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 800;
/// How long the endpoints listed by a lost coordinator remain valid, in milliseconds.
const STALE_NODES_TTL_MS: u64 = 15_000;
/// After this many failed attempts another coordinator is linked in addition; with growing retry
/// delays this takes about half a second.
const FAILURES_UNTIL_DOWN: u32 = 3;

/// An event from a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A coordinator accepted the link.
    Welcome {
        /// What it knows of an earlier run of this sidecar.
        last: Option<LastRecord>,
        /// When this sidecar reported itself on the link.
        reported_at: Millis,
    },
    /// Departures of upstreams beside this sidecar that a coordinator knows of.
    Departures {
        /// Whether it knows of all that were acknowledged, as far as it can tell.
        complete: bool,
        /// The departures.
        departures: Vec<KnownDeparture>,
    },
    /// A new configuration.
    Config {
        /// The generation.
        generation: u64,
        /// Whether the coordinator that sent it is in contact with a leader.
        confirmed: bool,
        /// The content.
        update: BundleUpdate,
    },
    /// The newest generation known to a coordinator when it was asked.
    NewestGeneration {
        /// When it was asked.
        asked_at: Millis,
        /// The generation; 0 if the coordinator had no contact with a leader.
        generation: u64,
    },
    /// A node is new or has changed.
    Node(NodeRecord),
    /// Recent load reports of upstreams, sent by their sidecars.
    Loads(Vec<NodeLoad>),
    /// Notices from other nodes about requests that may crash upstreams.
    Poison(Vec<PoisonNotice>),
    /// Credits for tenants' quotas.
    Credits(CreditAnswer),
    /// Nodes may have left; see [`Links::is_listed`].
    NodesGone,
    /// Which versions of upstreams may receive calls; newer than the previous policies.
    Versions(Vec<VersionPolicy>),
    /// The evacuated zones; newer than the previous list.
    Evacuations(Vec<String>),
}

#[derive(Debug, Default)]
struct Link {
    connection: Option<ConnectionId>,
    open: bool,
    welcomed: bool,
    /// When this sidecar first reported itself on the open connection.
    reported_at: Millis,
    connecting_since: Millis,
    received_at: Millis,
    pinged_at: Option<Millis>,
    retry_at: Millis,
    failures: u32,
    acked_sequence: u64,
    announced: u64,
    /// Whether the coordinator is in the zone of this sidecar.
    same_zone: bool,
    /// Whether the list of sidecars was subscribed to on this link.
    subscribed: bool,
    /// Whether the complete list was received since then.
    list_complete: bool,
    nodes: BTreeSet<NodeAddress>,
    lost_at: Option<Millis>,
}

impl Link {
    fn is_healthy(&self, now: Millis) -> bool {
        self.open && self.welcomed && now < self.received_at + UNHEALTHY_AFTER_MS
    }
}

/// The links to all coordinators.
pub struct Links {
    fleet: String,
    port: u16,
    seeds: Vec<Ipv4Addr>,
    members: Vec<MemberLocation>,
    links: BTreeMap<Ipv4Addr, Link>,
    record: NodeRecord,
    random: fastrand::Rng,
    config_request: Option<(Ipv4Addr, Millis)>,
    /// The coordinator that credits were last requested from.
    credits_request: Option<Ipv4Addr>,
    welcomed: bool,
    /// When the first coordinator was linked after a time without any.
    linked_at: Millis,
    /// The newest generation announced so far, and when it was first announced.
    newest_announced: u64,
    announced_at: Millis,
    sent_load: Option<UpstreamLoad>,
    load_sent_at: Millis,
    /// Revision of the version policies applied last; older ones are ignored.
    versions_revision: u64,
    /// Revision of the evacuated zones applied last; older ones are ignored.
    evacuations_revision: u64,
}

impl Links {
    /// Creates the state without any links; `record` describes this sidecar.
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
            config_request: None,
            credits_request: None,
            welcomed: false,
            linked_at: 0,
            newest_announced: 0,
            announced_at: 0,
            sent_load: None,
            load_sent_at: 0,
            versions_revision: 0,
            evacuations_revision: 0,
        }
    }

    /// Whether any coordinator has accepted a link since the start.
    pub fn is_welcomed(&self) -> bool {
        self.welcomed
    }

    /// Replaces the addresses that are tried while no member is known or reachable.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Whether a node is listed by a coordinator whose list is still valid.
    pub fn is_listed(&self, node: &NodeAddress, now: Millis) -> bool {
        let is_valid = |link: &&Link| link.lost_at.is_none_or(|at| now < at + STALE_NODES_TTL_MS);
        self.links.values().filter(is_valid).any(|link| link.nodes.contains(node))
    }

    /// The record of this sidecar.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// Whether a connection belongs to one of the links.
    pub fn holds(&self, id: ConnectionId) -> bool {
        self.links.values().any(|link| link.connection == Some(id))
    }

    /// Handles an event on one of its connections.
    pub fn on_event(&mut self, net: &mut Net, event: &NetEvent, now: Millis) -> Vec<LinkEvent> {
        let id = match event {
            NetEvent::Connected(id) | NetEvent::ConnectFailed(id) | NetEvent::Received(id) => *id,
            NetEvent::Ended(id, _) => *id,
            NetEvent::Accepted { .. } => return Vec::new(),
        };
        let found = self.links.iter().find(|(_, link)| link.connection == Some(id));
        let Some(address) = found.map(|(address, _)| *address) else {
            return Vec::new();
        };
        match event {
            NetEvent::Connected(_) => {
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
        link.reported_at = now;
        link.received_at = now;
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
            link.received_at = now;
            let Some(id) = link.connection else {
                return events;
            };
            let Some(input) = net.input(id) else {
                return events;
            };
            match decode_frame::<ToSidecar>(input) {
                Ok(Some((message, length))) => {
                    input.advance(length);
                    self.on_message(net, address, message, now, &mut events);
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

    fn on_message(
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
                let (restored, reported_at) = (last.is_some(), link.reported_at);
                info!(coordinator = %address, %zone, restored, "coordinator_linked");
                events.push(LinkEvent::Welcome { last, reported_at });
                self.subscribe(net, now);
            }
            ToSidecar::Departures { complete, departures } => {
                events.push(LinkEvent::Departures { complete, departures });
            }
            ToSidecar::ReportAcknowledged { sequence } => {
                link.acked_sequence = link.acked_sequence.max(sequence)
            }
            ToSidecar::Members { members } => {
                let known = members.iter().filter(|member| !member.zone.is_empty()).count();
                let count = members.len();
                info!(coordinator = %address, members = count, zones_known = known, "members_learned");
                self.members = members;
            }
            ToSidecar::Announce { generation } => {
                link.announced = generation;
                if generation > self.newest_announced {
                    self.newest_announced = generation;
                    self.announced_at = now;
                }
            }
            ToSidecar::Config { generation, confirmed, update } => {
                if !confirmed {
                    self.config_request = None;
                }
                events.push(LinkEvent::Config { generation, confirmed, update });
            }
            ToSidecar::Nodes { whole, changed, gone } => {
                if whole {
                    link.nodes.clear();
                    link.list_complete = true;
                }
                for node in &gone {
                    link.nodes.remove(node);
                }
                link.nodes.extend(changed.iter().map(|record| record.address));
                events.extend(changed.into_iter().map(LinkEvent::Node));
                if whole || !gone.is_empty() {
                    events.push(LinkEvent::NodesGone);
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
                events.push(LinkEvent::NewestGeneration { asked_at, generation });
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
        link.list_complete = false;
        link.acked_sequence = 0;
        link.announced = 0;
        let longest = (INITIAL_RETRY_MS << link.failures.min(6)).min(MAX_RETRY_MS);
        link.failures += 1;
        link.retry_at = now + self.random.u64(INITIAL_RETRY_MS / 2..=longest);
        if self.config_request.is_some_and(|(from, _)| from == address) {
            self.config_request = None;
        }
        self.subscribe(net, now);
    }

    /// Opens missing links, and closes links to silent coordinators.
    pub fn tick(&mut self, net: &mut Net, now: Millis) {
        let wanted = self.wanted();
        let is_silent = |link: &Link| {
            let limit = if link.open { SILENCE_TIMEOUT_MS } else { CONNECT_TIMEOUT_MS };
            let since = if link.open { link.received_at } else { link.connecting_since };
            link.connection.is_some() && since + limit <= now
        };
        let found = self.links.iter().filter(|(_, link)| is_silent(link));
        let lost: Vec<Ipv4Addr> = found.map(|(address, _)| *address).collect();
        for address in lost {
            self.lost(net, address, "silent", now);
        }
        self.subscribe(net, now);
        for address in &wanted {
            let link = self.links.entry(*address).or_default();
            if link.connection.is_none() && link.retry_at <= now {
                link.connecting_since = now;
                match net.connect(SocketAddr::from((*address, self.port))) {
                    Ok(id) => link.connection = Some(id),
                    Err(_) => link.retry_at = now + MAX_RETRY_MS,
                }
            }
        }
        // An unwanted link that provides the list of sidecars is closed once a wanted one has sent
        // its complete list.
        let lists_all =
            |(address, link): (&Ipv4Addr, &Link)| wanted.contains(address) && link.list_complete;
        let replaced = self.links.iter().any(lists_all);
        let is_obsolete = |address: &Ipv4Addr, link: &Link| {
            let expired = match link.open {
                true => replaced || !link.subscribed,
                false => link.lost_at.is_none_or(|at| at + STALE_NODES_TTL_MS <= now),
            };
            !wanted.contains(address) && expired
        };
        let found = self.links.iter().filter(|(address, link)| is_obsolete(address, link));
        let unwanted: Vec<Ipv4Addr> = found.map(|(address, _)| *address).collect();
        for address in unwanted {
            if let Some(id) = self.links.remove(&address).and_then(|link| link.connection) {
                net.close(id);
            }
        }
        let ping_due = |link: &&mut Link| {
            link.open && link.pinged_at.is_none_or(|at| at + PING_INTERVAL_MS <= now)
        };
        for link in self.links.values_mut().filter(ping_due) {
            link.pinged_at = Some(now);
            send(net, link, &ToCoordinator::Ping { asked_at: now });
        }
    }

    /// The coordinators to link to, plus the seeds while no member is reached.
    fn wanted(&self) -> Vec<Ipv4Addr> {
        let is_down = |member: Ipv4Addr| {
            let link = self.links.get(&member);
            link.is_some_and(|link| !link.welcomed && link.failures >= FAILURES_UNTIL_DOWN)
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

    /// The rank of a coordinator for this sidecar among equally near ones.
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
