//! A complete fleet that runs as processes on this machine.

mod bundles;
mod keys;
mod layout;
mod ports;
mod process;
mod running;

pub use bundles::{bundle_toml, ServiceShape};
pub use layout::{FleetLayout, FleetSpec, ProxyConfig, ZoneSpec};
pub use ports::PortRange;
pub use process::ManagedProcess;
pub use running::{send, RunningFleet};
