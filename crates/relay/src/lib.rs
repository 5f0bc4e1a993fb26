//! The relay: takes the configuration from control and the endpoints from the platform, and
//! serves the proxies of its zone.
//!
//! [`RelayCore`] decides everything and does no I/O; [`run`] gives it sockets, threads and a
//! clock. The simulator drives the same core.
#![forbid(unsafe_code)]

mod claim_forward;
mod confirmation;
mod control_link;
mod core;
mod history;
mod mirror;
mod platform;
mod runtime;
mod serve;
mod session;
mod spread;

pub use crate::core::{RelayCore, RelayParameters, RelayWeakness};
pub use confirmation::Ticket;
pub use history::BundleHistory;
pub use platform::{parse_machines, Machine, MachineState, PlatformError};
pub use runtime::{run, RelayError, RunningRelay};
pub use session::SessionId;
