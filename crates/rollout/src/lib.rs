//! Which version of the configuration each proxy shall have.
//!
//! [`ConfigMachine`] is the replicated state machine behind the operators' verbs; every decision
//! is a pure function of the committed log. [`TargetView`] is the part relays need, and
//! [`FleetSpread`] gathers how far each generation has spread.
#![forbid(unsafe_code)]

mod advance;
mod command;
mod machine;
mod spread;
mod view;

pub use advance::Advancer;
pub use command::{Accepted, Answer, ApprovalPolicy, Command, Refusal, Request, CONTROL_OPERATOR};
pub use machine::{
    CanaryRecord, ConfigMachine, EvacuationRecord, GenerationKind, GenerationRecord,
    RolloutWeakness, StoredBundle, VersionSummary,
};
pub use spread::{FleetSpread, Laggard, RelayReport, SpreadSummary, REPORT_LEASE_MS};
pub use view::{Candidate, GenerationTarget, ProxyName, Stage, TargetView};
