//! Soft state of which back ends are live, merged from sources that lag behind and disagree.
//!
//! Every relay reads the whole platform list and exchanges *leaving* marks with its peers. Both
//! merge as a join-semilattice: a higher incarnation wins, and within one incarnation the leaving
//! state wins and persists. The order and repetition of updates therefore do not matter, and the
//! failure of one relay leaves no gap that another would have to fill. docs/design/endpoints.md
//! compares this with zone ownership.
#![forbid(unsafe_code)]

mod subset;
mod table;
mod view;

pub use subset::{choose_subset, subset_size, SubsetParameters};
pub use table::{EndpointTable, LeavingMark, MassExpiryGuard};
pub use view::EndpointView;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::net::{IpAddr, SocketAddr};

/// Service and address of a back end.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct EndpointKey {
    /// Service that the back end belongs to.
    #[speedy(length_type = u64_varint)]
    pub service: String,
    /// IP address.
    pub address: IpAddr,
    /// TCP port.
    pub port: u16,
}

impl EndpointKey {
    /// Creates the key of a back end from its service and address.
    pub fn new(service: &str, address: SocketAddr) -> Self {
        EndpointKey { service: service.to_owned(), address: address.ip(), port: address.port() }
    }

    /// Address that the back end listens on.
    pub fn socket_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.port)
    }
}

/// Whether a back end may receive new requests. When states are merged, the greater one wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Readable, Writable,
)]
#[serde(rename_all = "lowercase")]
#[speedy(tag_type = u8)]
pub enum EndpointState {
    /// May receive new requests.
    Live,
    /// Finishes its current requests; receives no new ones in this incarnation.
    Leaving,
}

/// State of one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Endpoint {
    /// Service and address.
    #[serde(flatten)]
    pub key: EndpointKey,
    /// Increases with every start of the back end.
    pub incarnation: u64,
    /// Live or leaving.
    pub state: EndpointState,
    /// Zone of the back end.
    #[speedy(length_type = u64_varint)]
    pub zone: String,
    /// Region of the back end.
    #[speedy(length_type = u64_varint)]
    pub region: String,
}

/// An update of a proxy's view, either complete or incremental.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EndpointUpdate {
    /// Identifies the relay process that `sequence` belongs to.
    pub epoch: u64,
    /// Sequence number of the relay's table that this update reaches.
    pub sequence: u64,
    /// Whether this lists all endpoints of the services, not only changes.
    pub full: bool,
    /// New or changed endpoints.
    #[speedy(length_type = u64_varint)]
    pub changed: Vec<Endpoint>,
    /// Removed endpoints.
    #[speedy(length_type = u64_varint)]
    pub removed: Vec<EndpointKey>,
    /// Number of proxies that subscribe to each service, rounded up to a power of two; determines
    /// the size of subsets.
    #[speedy(length_type = u64_varint)]
    pub subscribers: Vec<(String, u32)>,
}
