//! The coordinator: a single process that holds a replica of the configuration and all other
//! control functions that a small fleet needs. It serves sidecars directly, without relays,
//! maintains the registry of sidecars, and manages the membership of its consensus group without an
//! operator.
#![forbid(unsafe_code)]

mod api;
mod autopilot;
mod canaries;
mod contacts;
mod departure_exchange;
mod departure_store;
mod departures;
mod dialect;
mod exchange;
mod hub;
mod identity;
mod link;
mod link_server;
mod listener;
mod loads;
mod membership;
mod quotas;
mod registry;
mod registry_loop;
mod runtime;
mod silence;
mod transport;

pub use autopilot::{Autopilot, Change, Facts, MemberFacts, Reason};
pub use canaries::CanaryPolicies;
pub use contacts::Contacts;
pub use departure_exchange::DepartureExchange;
pub use departures::{Departures, Source};
pub use dialect::{CanaryOrder, OperatorCall, OperatorDialect, Replacement};
pub use exchange::{Outgoing, RegistryExchange};
pub use identity::{choose_member, IdentityError};
pub use loads::{LoadTable, ServiceLoad};
pub use registry::{Registry, RegistryChanges};
pub use runtime::{run, CoordinatorError, RunningCoordinator};
pub use silence::SilenceWatch;
pub use transport::Transport;

/// Time of a monotonic clock, in milliseconds.
pub type Millis = u64;
