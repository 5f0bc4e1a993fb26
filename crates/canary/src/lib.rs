//! Canary rollouts: decides whether and when a new version of a service's upstreams takes over.
//!
//! The crate does no I/O and reads no clock; callers pass the time and the reports of sidecars, and
//! get the next phase. [`Evidence`] collects the outcomes of all calls, [`judge`] compares a version
//! with the ones in use, and [`Plan`] decides when to advance.
#![forbid(unsafe_code)]

mod analysis;
mod evidence;
mod health;
mod likelihood;
mod outcomes;
mod plan;
mod usual;

pub use analysis::{judge, Flaw, Judgement, Verdict};
pub use evidence::{Evidence, Sums, UpstreamSums};
pub use plan::{Facts, Phase, Plan, Step, StepReason};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
