//! Typed settings of each role, read from one TOML file and validated before anything starts.
//!
//! Names carry their units. Unknown keys are rejected. `--set key=value` flags override the file.
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

/// Paths of a process's TLS files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Trusted CA certificates, PEM; two during a CA rotation.
    pub authority: PathBuf,
    /// The process's certificate chain, PEM.
    pub certificate: PathBuf,
    /// The process's private key, PEM.
    pub key: PathBuf,
}

/// Settings whose values are validated after parsing.
pub trait Validate {
    /// Adds every problem found to `checks`.
    fn validate(&self, checks: &mut Checks);
}
