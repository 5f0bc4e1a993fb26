//! Which back ends are live: soft state, merged from sources that lag and disagree.
//!
//! Every relay reads the whole platform list and exchanges *leaving* marks with its peers. Both
//! merge as a join-semilattice (a higher incarnation wins; within one, leaving wins and stays),
//! so the order and the number of times news arrives do not matter, and a relay's death leaves no
//! gap for another to fill. docs/design/endpoints.md weighs this against zone ownership.
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

/// Where one back end of a service listens.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
)]
pub struct EndpointKey {
    /// Service it belongs to.
    #[speedy(length_type = u64_varint)]
    pub service: String,
    /// IP address.
    pub address: IpAddr,
    /// TCP port.
    pub port: u16,
}

impl EndpointKey {
    /// Names a back end of a service.
    pub fn new(service: &str, address: SocketAddr) -> Self {
        EndpointKey { service: service.to_owned(), address: address.ip(), port: address.port() }
    }

    /// Where it listens.
    pub fn socket_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.port)
    }
}

/// Whether a back end may get new work. The order is that of the merge: the greater wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Readable, Writable,
)]
#[serde(rename_all = "lowercase")]
#[speedy(tag_type = u8)]
pub enum EndpointState {
    /// May get new work.
    Live,
    /// Finishes what it has; gets no new work in this incarnation.
    Leaving,
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Endpoint {
    /// Service and address.
    #[serde(flatten)]
    pub key: EndpointKey,
    /// Rises with every start of the back end.
    pub incarnation: u64,
    /// Live or leaving.
    pub state: EndpointState,
    /// Its zone.
    #[speedy(length_type = u64_varint)]
    pub zone: String,
    /// Its region.
    #[speedy(length_type = u64_varint)]
    pub region: String,
}

/// What brings a proxy's view up to date.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EndpointUpdate {
    /// Identifies the relay process whose sequence `sequence` belongs to.
    pub epoch: u64,
    /// Position of the relay's table.
    pub sequence: u64,
    /// Whether this lists every endpoint of the services, not only changes.
    pub full: bool,
    /// Endpoints new or changed.
    #[speedy(length_type = u64_varint)]
    pub changed: Vec<Endpoint>,
    /// Endpoints gone.
    #[speedy(length_type = u64_varint)]
    pub removed: Vec<EndpointKey>,
    /// Number of proxies that subscribe to each service, rounded up to a power of two; sizes the
    /// subsets.
    #[speedy(length_type = u64_varint)]
    pub subscribers: Vec<(String, u32)>,
}
