//! The relay: receives the configuration from control and the endpoints from the platform, and
//! serves both to the proxies of its zone.
//!
//! [`RelayCore`] makes all decisions and performs no I/O; [`run`] adds sockets, threads and a clock.
//! The simulator runs the same core.
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
pub use platform::{parse_machines, Machine, MachineList, MachineState, PlatformError};
pub use runtime::{run, RelayError, RunningRelay};
pub use session::SessionId;
