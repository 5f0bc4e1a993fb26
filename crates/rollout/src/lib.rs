//! Assignment of configuration generations to proxies.
//!
//! [`ConfigMachine`] is the replicated state machine that executes the operators' commands; its state
//! is a pure function of the committed log. [`TargetView`] is the part of it that relays need, and
//! [`FleetSpread`] aggregates how many proxies have applied each generation.
#![forbid(unsafe_code)]

mod advance;
mod command;
mod machine;
mod propagation;
mod view;

pub use advance::Advancer;
pub use command::{Accepted, Answer, ApprovalPolicy, Command, Refusal, Request, CONTROL_OPERATOR};
pub use machine::{
    CanaryRecord, ConfigMachine, EvacuationRecord, GenerationKind, GenerationRecord,
    RolloutWeakness, StoredBundle, VersionSummary,
};
pub use propagation::{FleetSpread, Laggard, RelayReport, SpreadSummary, REPORT_LEASE_MS};
pub use view::{Candidate, GenerationTarget, ProxyName, Stage, TargetView};
