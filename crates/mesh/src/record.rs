//! Records of sidecars and of their upstreams.

use speedy::{Readable, Writable};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Address at which other sidecars reach a sidecar; also identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeAddress {
    /// IP address.
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

/// Lifecycle state of an upstream. States are ordered in time; an upstream never returns to an
/// earlier state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum InstanceState {
    /// Accepts calls.
    Ready,
    /// Completes the calls that it has.
    Draining,
    /// Announced that it exits.
    Left,
}

impl InstanceState {
    /// Lower-case name of the state.
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
    /// Instance id.
    pub id: String,
    /// Version of its software; empty if not reported.
    pub version: String,
    /// Lifecycle state.
    pub state: InstanceState,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Remaining duration of its slow phase after a start, milliseconds from when the record was
    /// sent.
    pub cold_remaining_ms: u32,
    /// Start time, Unix milliseconds of its own clock; 0 if not reported. An upstream may restart
    /// with the same id: id and start time together identify an incarnation.
    pub born_ms: u64,
}

impl InstanceRecord {
    /// The record of an incarnation of which nothing is known but that it has left.
    pub fn departed(incarnation: &Incarnation) -> Self {
        InstanceRecord {
            id: incarnation.id.clone(),
            version: String::new(),
            state: InstanceState::Left,
            slots: 0,
            cold_remaining_ms: 0,
            born_ms: incarnation.born_ms,
        }
    }

    /// The incarnation that the record describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.born_ms }
    }
}

/// Identifies one start of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Incarnation {
    /// Instance id; may be kept across restarts.
    pub id: String,
    /// Start time, Unix milliseconds; 0 if not reported.
    pub born_ms: u64,
}

impl Incarnation {
    /// Whether both may be the same incarnation: if a start time is missing, only the ids are
    /// compared.
    pub fn may_equal(&self, other: &Self) -> bool {
        let unreported = self.born_ms == 0 || other.born_ms == 0;
        self.id == other.id && (unreported || self.born_ms == other.born_ms)
    }

    /// A name that is unique among the upstream's incarnations at one sidecar, if the start time
    /// was reported.
    pub fn name(&self) -> String {
        match self.born_ms {
            0 => self.id.clone(),
            born_ms => format!("{}@{born_ms}", self.id),
        }
    }

    /// Whether this is a later incarnation with the same id.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.id == other.id && other.born_ms > 0 && self.born_ms > other.born_ms
    }
}

/// A sidecar with its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeRecord {
    /// Address at which other sidecars reach it; also identifies it.
    pub address: NodeAddress,
    /// Random id of the sidecar process, chosen at each start.
    pub boot_id: u64,
    /// Increases with every change under one boot id.
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// Service to which its upstream belongs.
    pub service: String,
    /// Whether the sidecar itself is stopping.
    pub stopping: bool,
    /// Its upstream, once one has registered.
    pub instance: Option<InstanceRecord>,
}

/// What a coordinator knows of an earlier process of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LastRecord {
    /// Its last record that names an upstream.
    pub record: NodeRecord,
    /// Time since the last contact on its last link to this coordinator, milliseconds at the time of
    /// sending, once that ended; all that it sent before has arrived. `None` if the process was heard
    /// of afterwards.
    pub ended_ms: Option<u32>,
}

/// An incarnation that announced that it leaves, or that it has left.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KnownDeparture {
    /// The sidecar beside it.
    pub node: NodeAddress,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The latest state known; never [`InstanceState::Ready`].
    pub state: InstanceState,
}

/// The version of a sidecar's record, as listed by a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RegistryEntry {
    /// The sidecar.
    pub address: NodeAddress,
    /// Its boot id.
    pub boot_id: u64,
    /// Sequence number of the record under that boot id.
    pub sequence: u64,
}

impl RegistryEntry {
    /// The entry for a record.
    pub fn of(record: &NodeRecord) -> Self {
        RegistryEntry {
            address: record.address,
            boot_id: record.boot_id,
            sequence: record.sequence,
        }
    }
}

/// A sidecar that is directly connected to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct HeardNode {
    /// Its latest record.
    pub record: NodeRecord,
    /// Time since it was last heard from, milliseconds at the time of sending.
    pub silent_ms: u32,
}

/// Load of an upstream as measured by its sidecar, which is the only one to forward calls to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UpstreamLoad {
    /// Calls in execution, at most 255.
    pub running: u8,
    /// Queued calls, at most 255.
    pub queued: u8,
    /// Recent time for which a call occupies a slot, milliseconds, at most 65,535.
    pub service_ms: u16,
    /// Current service time, percent of the usual service time of its service; 0 if not known.
    pub service_time_percent: u16,
    /// Utilization of its machine's network link, percent; 0 if not known.
    pub link_percent: u8,
    /// Expected wait of a large response for that link, milliseconds, at most 65,535.
    pub egress_wait_ms: u16,
}

impl Default for UpstreamLoad {
    fn default() -> Self {
        Self::new(0, 0, 0)
    }
}

impl UpstreamLoad {
    /// Creates a load; values that do not fit are clamped.
    pub fn new(running: u32, queued: u32, service_ms: u32) -> Self {
        let clamp = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        let service_ms = u16::try_from(service_ms).unwrap_or(u16::MAX);
        UpstreamLoad {
            running: clamp(running),
            queued: clamp(queued),
            service_ms,
            service_time_percent: 0,
            link_percent: 0,
            egress_wait_ms: 0,
        }
    }

    /// Sets the service time, percent of the usual one.
    pub fn with_service_time_percent(self, percent: u32) -> Self {
        let service_time_percent = u16::try_from(percent).unwrap_or(u16::MAX);
        UpstreamLoad { service_time_percent, ..self }
    }

    /// Sets the utilization of the machine's link, percent.
    pub fn with_link(self, percent: u32) -> Self {
        let link_percent = u8::try_from(percent).unwrap_or(u8::MAX);
        UpstreamLoad { link_percent, ..self }
    }

    /// Sets the expected wait of a large response for the machine's link, milliseconds.
    pub fn with_egress_wait(self, wait_ms: u64) -> Self {
        let egress_wait_ms = u16::try_from(wait_ms).unwrap_or(u16::MAX);
        UpstreamLoad { egress_wait_ms, ..self }
    }

    /// Number of calls in execution and in the queue.
    pub fn total_calls(self) -> u32 {
        u32::from(self.running) + u32::from(self.queued)
    }
}

/// Load of a sidecar's upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeLoad {
    /// The sidecar.
    pub address: NodeAddress,
    /// The load of its upstream.
    pub load: UpstreamLoad,
}

impl NodeLoad {
    /// Encoded size in a frame, bytes.
    pub const BYTES: usize = 15;
}
