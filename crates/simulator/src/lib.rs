//! The product's own cores in virtual time, with seeded faults and checks at every step.
//!
//! One seed is one run: control replicas, relays and proxies as in the product, but with a
//! simulated network, simulated disks and simulated operators and callers. The same seed always
//! gives the same run. docs/VERIFICATION.md lists what is checked and which broken variant proves
//! that each check can fail.
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
