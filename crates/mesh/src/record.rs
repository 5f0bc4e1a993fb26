//! What is known of a sidecar and of the upstream beside it.

use speedy::{Readable, Writable};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Where a sidecar's peers reach it; also its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeAddress {
    /// Address.
    pub ip: Ipv4Addr,
    /// Port.
    pub port: u16,
}

impl From<SocketAddrV4> for NodeAddress {
    fn from(address: SocketAddrV4) -> Self {
        NodeAddress { ip: *address.ip(), port: address.port() }
    }
}

impl From<NodeAddress> for SocketAddr {
    fn from(address: NodeAddress) -> Self {
        SocketAddr::from((address.ip, address.port))
    }
}

impl fmt::Display for NodeAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.ip, self.port)
    }
}

/// How far an upstream is in its life. The order is that of time: it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum InstanceState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Said that it ends.
    Left,
}

impl InstanceState {
    /// One lower-case word.
    pub fn as_str(self) -> &'static str {
        match self {
            InstanceState::Ready => "ready",
            InstanceState::Draining => "draining",
            InstanceState::Left => "left",
        }
    }
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct InstanceRecord {
    /// Unique id of the incarnation.
    pub id: String,
    /// Version of its software; empty if it told none.
    pub version: String,
    /// State.
    pub state: InstanceState,
    /// Requests it works on at once.
    pub slots: u32,
    /// How much longer it stays slow after its start, milliseconds from when this was sent.
    pub cold_remaining_ms: u32,
    /// When it started, Unix milliseconds of its own clock; 0 if it did not tell. An upstream may start
    /// again under its id: the two together name one incarnation.
    pub born_ms: u64,
}

impl InstanceRecord {
    /// Which incarnation this is.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.born_ms }
    }
}

/// Names one start of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Incarnation {
    /// Its id; one that starts again may keep it.
    pub id: String,
    /// When it started, Unix milliseconds; 0 if that was not told.
    pub born_ms: u64,
}

impl Incarnation {
    /// Whether both may be the same start: a time that was not told tells nothing apart.
    pub fn may_equal(&self, other: &Self) -> bool {
        let untold = self.born_ms == 0 || other.born_ms == 0;
        self.id == other.id && (untold || self.born_ms == other.born_ms)
    }

    /// A name that no other start of an upstream beside the same sidecar has, if its time was told.
    pub fn name(&self) -> String {
        match self.born_ms {
            0 => self.id.clone(),
            born_ms => format!("{}@{born_ms}", self.id),
        }
    }

    /// Whether this is a later start under the same id.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.id == other.id && other.born_ms > 0 && self.born_ms > other.born_ms
    }
}

/// A sidecar with the upstream beside it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeRecord {
    /// Where its peers reach it; also its name.
    pub address: NodeAddress,
    /// Drawn at its start; tells its lives apart.
    pub boot_id: u64,
    /// Rises with every change within one life.
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// Service of its upstream.
    pub service: String,
    /// Whether the sidecar itself is stopping.
    pub stopping: bool,
    /// Its upstream, once it has one.
    pub instance: Option<InstanceRecord>,
}

/// Which version of a sidecar's record a coordinator lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RegistryEntry {
    /// The sidecar.
    pub address: NodeAddress,
    /// Its life.
    pub boot_id: u64,
    /// Sequence of the record within that life.
    pub sequence: u64,
}

impl RegistryEntry {
    /// The version of this record.
    pub fn of(record: &NodeRecord) -> Self {
        RegistryEntry {
            address: record.address,
            boot_id: record.boot_id,
            sequence: record.sequence,
        }
    }
}

/// A sidecar that a coordinator hears on a link of its own.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct HeardNode {
    /// Its newest record.
    pub record: NodeRecord,
    /// Time since it was last heard, milliseconds when this was sent.
    pub silent_ms: u32,
}

/// How busy an upstream is, as the sidecar beside it counts; the only one that sends to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UpstreamLoad {
    /// Calls it works on, at most 255.
    pub running: u8,
    /// Calls that wait for it, at most 255.
    pub queued: u8,
    /// Recent time that a call occupies a slot, milliseconds, at most 65,535.
    pub service_ms: u16,
    /// How long work takes there now, percent of what is usual at its service; 0 if that is not known.
    pub pace_percent: u16,
    /// Part of its machine's link that is in use, percent; 0 if that is not known.
    pub link_percent: u8,
    /// How long a large answer would wait for that link, milliseconds, at most 65,535.
    pub egress_wait_ms: u16,
}

impl Default for UpstreamLoad {
    fn default() -> Self {
        Self::new(0, 0, 0)
    }
}

impl UpstreamLoad {
    /// A load; what does not fit is cut.
    pub fn new(running: u32, queued: u32, service_ms: u32) -> Self {
        let cut = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        let service_ms = u16::try_from(service_ms).unwrap_or(u16::MAX);
        UpstreamLoad {
            running: cut(running),
            queued: cut(queued),
            service_ms,
            pace_percent: 0,
            link_percent: 0,
            egress_wait_ms: 0,
        }
    }

    /// The same of an upstream that takes so long, percent of what is usual.
    pub fn with_pace(self, percent: u32) -> Self {
        let pace_percent = u16::try_from(percent).unwrap_or(u16::MAX);
        UpstreamLoad { pace_percent, ..self }
    }

    /// The same on a machine of whose link so much is in use, percent.
    pub fn with_link(self, percent: u32) -> Self {
        let link_percent = u8::try_from(percent).unwrap_or(u8::MAX);
        UpstreamLoad { link_percent, ..self }
    }

    /// The same on a machine over whose link a large answer would wait so long, milliseconds.
    pub fn with_egress_wait(self, wait_ms: u64) -> Self {
        let egress_wait_ms = u16::try_from(wait_ms).unwrap_or(u16::MAX);
        UpstreamLoad { egress_wait_ms, ..self }
    }

    /// Calls with it, those that wait included.
    pub fn total_calls(self) -> u32 {
        u32::from(self.running) + u32::from(self.queued)
    }
}

/// How busy the upstream beside one sidecar is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeLoad {
    /// The sidecar.
    pub address: NodeAddress,
    /// Its upstream's load.
    pub load: UpstreamLoad,
}

impl NodeLoad {
    /// Length in a frame, bytes.
    pub const BYTES: usize = 15;
}
