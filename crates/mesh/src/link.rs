//! Frames that coordinators and sidecars exchange.

use crate::{
    CreditAmount, CreditAnswer, CreditRequest, HeardNode, KnownDeparture, LastRecord, NodeAddress,
    NodeLoad, NodeRecord, PoisonNotice, RegistryEntry, UpstreamLoad, VersionEvidence,
    VersionPolicy,
};
use bundle::{BundleUpdate, Digest};
use consensus::Message;
use speedy::{Readable, Writable};
use std::net::Ipv4Addr;

/// Protocol version of all frames; processes of different versions refuse each other's connections.
pub const PROTOCOL_VERSION: u16 = 10;

/// Location of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberLocation {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone; empty while unknown, or if none is configured.
    pub zone: String,
}

/// Purpose of a connection to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Purpose {
    /// Carries frames from one coordinator to another, in one direction.
    Coordinator,
    /// The link of a sidecar.
    Sidecar,
}

/// First frame on every connection to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Greeting {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Name of the fleet.
    pub fleet: String,
    /// Purpose of the connection.
    pub purpose: Purpose,
}

/// Frames from one coordinator to another.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum CoordinatorFrame {
    /// A message of the consensus protocol.
    Message(Message),
    /// A coordinator that is not in the group asks to be added; repeated until it is.
    Join {
        /// Its member id.
        member: u64,
    },
    /// A voter stops and wants to hand its vote over; repeated until the leader has taken it.
    Stopping {
        /// Its member id.
        member: u64,
    },
    /// The receiver is no longer in the group.
    Removed {
        /// The id that was removed.
        member: u64,
    },
    /// Periodic heartbeat that states the position up to which the sender's list of directly
    /// connected sidecars is valid.
    ListHeartbeat {
        /// The sender.
        member: u64,
        /// Its zone; empty if none is configured.
        zone: String,
        /// Random number chosen at each start of the sender; positions of different epochs are
        /// unrelated.
        epoch: u64,
        /// Position of the latest change of the list.
        position: u64,
    },
    /// Changes of that list.
    ListChanges {
        /// The sender.
        member: u64,
        /// See [`CoordinatorFrame::ListHeartbeat`].
        epoch: u64,
        /// Position that the changes follow; 0 if this is the complete list.
        since: u64,
        /// Position of the latest change.
        position: u64,
        /// New or changed entries.
        heard: Vec<RegistryEntry>,
        /// Sidecars that are no longer in the list.
        dropped: Vec<NodeAddress>,
    },
    /// Requests the changes of the receiver's list after a position.
    ListRequest {
        /// The sender.
        member: u64,
        /// Known epoch of the receiver's list; 0 if none is known.
        epoch: u64,
        /// Position up to which the list is known.
        position: u64,
    },
    /// Requests records of sidecars that are directly connected to the receiver.
    RecordsRequest {
        /// The sender.
        member: u64,
        /// The sidecars.
        nodes: Vec<NodeAddress>,
    },
    /// Records of sidecars that are directly connected to the sender.
    Records {
        /// The records, with the time since each sidecar was last heard from.
        nodes: Vec<HeardNode>,
    },
    /// Recently changed loads that the sender's own subscribers reported to it.
    Loads {
        /// One entry per upstream.
        loads: Vec<NodeLoad>,
    },
    /// Canary outcomes that a sidecar reported to the sender; for the leader, which evaluates the
    /// canary.
    Evidence {
        /// The sidecar.
        node: NodeAddress,
        /// Its boot id, see [`NodeRecord::boot_id`].
        boot_id: u64,
        /// The reported outcomes.
        evidence: VersionEvidence,
    },
    /// Events of poison requests that the sender received from its own sidecars.
    Poison {
        /// In the order of arrival.
        notices: Vec<PoisonNotice>,
    },
    /// Departures of upstreams that the sender learned of.
    Departures {
        /// The sender.
        member: u64,
        /// Whether these are all recent ones that it knows, not only those that its own sidecars
        /// reported lately.
        whole: bool,
        /// In the order in which they were learned.
        departures: Vec<KnownDeparture>,
    },
    /// Requests credits that the sender's pools lack; answered with the credits that the receiver
    /// can spare.
    CreditPull {
        /// The sender.
        member: u64,
        /// Missing amounts by tenant.
        missing: Vec<CreditAmount>,
    },
    /// Credits that the sender moved from its pools to the receiver's.
    CreditTransfer {
        /// The sender.
        member: u64,
        /// One entry for each requested tenant; the amount is 0 where none can be spared.
        credits: Vec<CreditAmount>,
    },
}

/// Frames from a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ToCoordinator {
    /// The sidecar's record; the first frame on a link, repeated after every change.
    Report(NodeRecord),
    /// Requests the latest configuration known to the coordinator.
    ConfigRequest {
        /// Digest of the configuration that the sidecar has.
        held: Digest,
    },
    /// Starts or stops updates about other sidecars; a coordinator sends none until asked.
    Subscribe {
        /// Whether to send updates.
        nodes: bool,
    },
    /// Load of the sidecar's upstream; sent to the coordinator to which the sidecar is subscribed.
    Load(UpstreamLoad),
    /// The sidecar applied a generation.
    Applied {
        /// The generation.
        generation: u64,
    },
    /// Keepalive that also asks for the latest generation; answered immediately.
    Ping {
        /// Send time, in milliseconds of the sidecar's clock.
        asked_at: u64,
    },
    /// Outcomes of calls at the upstream since a canary of its service began.
    Evidence(VersionEvidence),
    /// Events of poison requests known to the sidecar; sent to all linked coordinators.
    Poison {
        /// In the order of arrival.
        notices: Vec<PoisonNotice>,
    },
    /// Requests credits of tenant quotas.
    Credits(CreditRequest),
}

/// Frames to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ToSidecar {
    /// First response to the first report.
    Welcome {
        /// Zone of the coordinator; empty if none is configured.
        zone: String,
        /// Last known record of an earlier process of the sidecar at this address.
        last: Option<LastRecord>,
    },
    /// Departures of upstreams beside the sidecar.
    Departures {
        /// Whether the coordinator knows of all that were acknowledged, as far as it can tell: it has run
        /// for some time, or all others have told it what they know.
        complete: bool,
        /// The departures.
        departures: Vec<KnownDeparture>,
    },
    /// Acknowledges reports up to a sequence number. A report of a departure is on the coordinator's disk
    /// by then.
    ReportAcknowledged {
        /// Sequence of the report.
        sequence: u64,
    },
    /// Locations of the coordinators.
    Members {
        /// All members of the group.
        members: Vec<MemberLocation>,
    },
    /// Announces that a generation is in force.
    Announce {
        /// The generation.
        generation: u64,
    },
    /// The latest configuration known to the coordinator.
    Config {
        /// Its generation; 0 if there is none yet.
        generation: u64,
        /// Whether the coordinator knows of a leader. Otherwise it may be outdated, and the sidecar
        /// applies the content only after that generation is announced.
        confirmed: bool,
        /// Its content, relative to the configuration that the sidecar has.
        update: BundleUpdate,
    },
    /// Changes of the list of sidecars, for subscribers.
    Nodes {
        /// Whether this is the complete list, which replaces all earlier ones of this coordinator.
        whole: bool,
        /// New or changed records.
        changed: Vec<NodeRecord>,
        /// Removed sidecars.
        gone: Vec<NodeAddress>,
    },
    /// Recently changed loads, for subscribers.
    Loads {
        /// One entry per upstream.
        loads: Vec<NodeLoad>,
    },
    /// Response to a ping.
    Pong {
        /// Copied from the ping.
        asked_at: u64,
        /// The latest generation known here; 0 while this coordinator knows of no leader.
        generation: u64,
    },
    /// Which versions of upstreams may receive calls. Replaces any older revision, from whichever
    /// coordinator it came.
    Versions {
        /// Log position of the latest change.
        revision: u64,
        /// One entry for each service that ever had a canary; other services accept any version.
        policies: Vec<VersionPolicy>,
    },
    /// The evacuated zones, whose upstreams receive no calls. Replaces any older revision, from
    /// whichever coordinator it came.
    Evacuations {
        /// Log position of the latest change.
        revision: u64,
        /// All evacuated zones.
        zones: Vec<String>,
    },
    /// Events of poison requests, for subscribers.
    Poison {
        /// In the order of arrival.
        notices: Vec<PoisonNotice>,
    },
    /// Response to a credit request.
    Credits(CreditAnswer),
}
