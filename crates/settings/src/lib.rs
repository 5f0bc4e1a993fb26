//! Typed settings of each role, read from one TOML file and checked before anything starts.
//!
//! Names carry their units. Unknown keys are refused. `--set key=value` flags override the file.
#![forbid(unsafe_code)]

mod check;
mod control;
mod coordinator;
mod load;
mod proxy;
mod relay;
mod sidecar;

pub use check::{Checks, Problem};
pub use control::{ControlSettings, PeerSettings};
pub use coordinator::CoordinatorSettings;
pub use load::{load, load_operators, to_toml, OperatorEntry, OperatorsFile, SettingsError};
pub use proxy::{LocalBackendSettings, ProxySettings, RelayAddressSettings};
pub use relay::{ControlAddressSettings, RelaySettings};
pub use sidecar::{RetryBudgetSettings, SidecarSettings};

use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Where a process finds its certificate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificates of the authorities trusted, PEM; two during a replacement.
    pub authority: PathBuf,
    /// Own certificate, PEM.
    pub certificate: PathBuf,
    /// Own private key, PEM.
    pub key: PathBuf,
}

/// Settings that can be checked after they were read.
pub trait Validate {
    /// Adds every problem found.
    fn validate(&self, checks: &mut Checks);
}
