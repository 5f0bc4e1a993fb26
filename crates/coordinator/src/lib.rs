//! A coordinator: one replica of the configuration with what a small fleet needs beside it, in
//! one process. It serves sidecars without a relay between, keeps the registry of sidecars, and
//! looks after the membership of its group without an operator.
#![forbid(unsafe_code)]

mod api;
mod autopilot;
mod canaries;
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

pub use autopilot::{Autopilot, Change, Facts, MemberFacts};
pub use canaries::CanaryPolicies;
pub use dialect::{CanaryOrder, OperatorCall, OperatorDialect, Replacement};
pub use exchange::{Outgoing, RegistryExchange};
pub use identity::{choose_member, IdentityError};
pub use loads::{LoadBoard, ServiceLoad};
pub use registry::{Registry, RegistryChanges};
pub use runtime::{run, CoordinatorError, RunningCoordinator};
pub use silence::SilenceWatch;
pub use transport::Transport;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
