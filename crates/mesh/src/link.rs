//! Frames between coordinators and sidecars.

use crate::{
    CreditAmount, CreditAnswer, CreditRequest, HeardNode, NodeAddress, NodeLoad, NodeRecord,
    PoisonNotice, RegistryEntry, UpstreamLoad, VersionEvidence, VersionPolicy,
};
use bundle::{BundleUpdate, Digest};
use consensus::Message;
use speedy::{Readable, Writable};
use std::net::Ipv4Addr;

/// Version of all frames; two processes of different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 8;

/// Where a coordinator is.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberLocation {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone; empty while that is not known, or if its settings name none.
    pub zone: String,
}

/// What a connection to a coordinator is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Purpose {
    /// Frames from one coordinator to another, one way.
    Coordinator,
    /// A sidecar's link.
    Sidecar,
}

/// First frame on every connection to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Greeting {
    /// Sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Name of the fleet.
    pub fleet: String,
    /// What for.
    pub purpose: Purpose,
}

/// Frames from one coordinator to another.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum CoordinatorFrame {
    /// A message of the consensus group.
    Message(Message),
    /// A member that is not part of the group asks to be added; repeated until it is.
    Join {
        /// Its id.
        member: u64,
    },
    /// The receiver is no part of the group any more.
    Removed {
        /// The id that was removed.
        member: u64,
    },
    /// Up to which position the sender's list of sidecars that it hears holds; sent again and again.
    ListHeartbeat {
        /// Sender.
        member: u64,
        /// Its zone; empty if its settings name none.
        zone: String,
        /// Drawn by the sender at its start; tells positions of its lives apart.
        epoch: u64,
        /// Position of the newest change of the list.
        position: u64,
    },
    /// What changed in that list.
    ListChanges {
        /// Sender.
        member: u64,
        /// As in [`CoordinatorFrame::ListHeartbeat`].
        epoch: u64,
        /// Position after which it changed; 0 if this is the whole list.
        since: u64,
        /// Position of the newest change.
        position: u64,
        /// New or changed.
        heard: Vec<RegistryEntry>,
        /// Not heard any more.
        dropped: Vec<NodeAddress>,
    },
    /// The sender lacks what changed in the receiver's list after a position.
    ListRequest {
        /// Sender.
        member: u64,
        /// Epoch of the receiver's list as it is known; 0 if it is not.
        epoch: u64,
        /// Position up to which it is known.
        position: u64,
    },
    /// The sender lacks the records of sidecars that the receiver hears.
    RecordsRequest {
        /// Sender.
        member: u64,
        /// Which.
        nodes: Vec<NodeAddress>,
    },
    /// Sidecars that the sender hears itself.
    Records {
        /// Which, and when.
        nodes: Vec<HeardNode>,
    },
    /// Loads that the sender's own subscribers told and that changed of late.
    Loads {
        /// One for each upstream.
        loads: Vec<NodeLoad>,
    },
    /// What a sidecar of the sender told of a canary; for the leader, which judges it.
    Evidence {
        /// The sidecar.
        node: NodeAddress,
        /// Its life.
        boot_id: u64,
        /// What it told.
        evidence: VersionEvidence,
    },
    /// What the sender's own sidecars told of requests that may crash upstreams.
    Poison {
        /// In the order in which they came.
        notices: Vec<PoisonNotice>,
    },
    /// The sender's pools of credits lack something; answered with what the receiver can spare.
    CreditPull {
        /// Sender.
        member: u64,
        /// What they lack.
        lacks: Vec<CreditAmount>,
    },
    /// Credits that the sender took out of its pools for the receiver.
    CreditTransfer {
        /// Sender.
        member: u64,
        /// One for each tenant that was asked for; nothing where it cannot spare any.
        credits: Vec<CreditAmount>,
    },
}

/// Frames from a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ToCoordinator {
    /// What the sidecar is; the first frame, and again after every change.
    Report(NodeRecord),
    /// Asks for the newest configuration that the coordinator knows.
    ConfigRequest {
        /// Digest of the content held.
        held: Digest,
    },
    /// Whether this coordinator should tell of the other sidecars; until asked, it does not.
    Subscribe {
        /// True to be told, false to be told no more.
        nodes: bool,
    },
    /// How busy the upstream beside the sidecar is; told to the coordinator subscribed to.
    Load(UpstreamLoad),
    /// A generation was put in force.
    Applied {
        /// Which.
        generation: u64,
    },
    /// The sidecar lives, and asks for the newest generation; answered at once.
    Ping {
        /// When it was sent, milliseconds of the sidecar's clock.
        asked_at: u64,
    },
    /// What became of the calls at the upstream since a canary of its service began.
    Evidence(VersionEvidence),
    /// What the sidecar knows of requests that may crash upstreams; told to all coordinators.
    Poison {
        /// In the order in which it came.
        notices: Vec<PoisonNotice>,
    },
    /// Asks for credits of tenants' quotas.
    Credits(CreditRequest),
}

/// Frames to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ToSidecar {
    /// First answer to the first report.
    Welcome {
        /// Zone of the coordinator; empty if its settings name none.
        zone: String,
        /// What was last known of a sidecar at this address, from before this connection.
        last: Option<NodeRecord>,
    },
    /// Reports up to this sequence are known here.
    ReportAcknowledged {
        /// Sequence of the report.
        sequence: u64,
    },
    /// Where coordinators are.
    Members {
        /// All of them.
        members: Vec<MemberLocation>,
    },
    /// A generation is in force.
    Announce {
        /// Which.
        generation: u64,
    },
    /// The newest configuration that the coordinator knows.
    Config {
        /// Its generation; 0 if there is none yet.
        generation: u64,
        /// Whether the coordinator hears of a leader. Without one it may be behind: the content is
        /// put in force only once that generation is announced.
        confirmed: bool,
        /// Its content, from what the sidecar said it holds.
        update: BundleUpdate,
    },
    /// News of sidecars, for subscribers; `whole` replaces what this coordinator said before.
    Nodes {
        /// Whether nodes not listed are gone.
        whole: bool,
        /// New or changed.
        changed: Vec<NodeRecord>,
        /// Gone.
        gone: Vec<NodeAddress>,
    },
    /// Loads that changed of late, for subscribers.
    Loads {
        /// One for each upstream.
        loads: Vec<NodeLoad>,
    },
    /// Answer to a ping.
    Pong {
        /// As in the ping.
        asked_at: u64,
        /// The newest generation known here; 0 while this coordinator hears of no leader.
        generation: u64,
    },
    /// Which versions of upstreams may be given calls; replaces what any coordinator said before in
    /// an older revision.
    Versions {
        /// Log position of the newest change.
        revision: u64,
        /// One for each service that ever had a canary; all others take any version.
        policies: Vec<VersionPolicy>,
    },
    /// The evacuated zones: their upstreams are given no calls. Replaces what any coordinator said
    /// before in an older revision.
    Evacuations {
        /// Log position of the newest change.
        revision: u64,
        /// All of them.
        zones: Vec<String>,
    },
    /// News of requests that may crash upstreams, for subscribers.
    Poison {
        /// In the order in which they came.
        notices: Vec<PoisonNotice>,
    },
    /// Credits of tenants' quotas.
    Credits(CreditAnswer),
}
