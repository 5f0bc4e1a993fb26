//! Deterministic simulation of a deployment in virtual time, with seeded fault injection and
//! invariant checks at every step.
//!
//! One seed determines one run. Control replicas, relays and proxies run the production code;
//! the network, disks, operators and callers are simulated. The same seed always gives the same
//! run. docs/VERIFICATION.md lists the invariants, and for each the broken variant that proves
//! that its check can fail.
#![forbid(unsafe_code)]

mod checker;
mod control_node;
mod faults;
mod host;
mod operators;
mod packet;
mod proxy_node;
mod relay_node;
mod scenario;
mod workload;
mod world;

pub use checker::Violation;
pub use scenario::{BrokenVariant, Scenario};
pub use world::{run_seed, RunOutcome, RunParameters};
