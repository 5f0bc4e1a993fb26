//! Whether and when a new version of a service's upstreams takes over: a canary.
//!
//! Pure: what sidecars saw comes in with the time, the next phase goes out. [`Evidence`] gathers
//! what every call showed, [`judge`] weighs a version against the ones in use, and [`Plan`] says
//! when to go on.
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
