//! The one gate to an upstream: how many calls it has at once, who waits, and for how long.
//!
//! Pure: time is passed in as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod gate;
mod health;
mod queue;
mod transfers;

pub use gate::{DrainGate, GateState};
pub use health::FailureShare;
pub use queue::{Admission, Decision, JobId, Ticket};
pub use transfers::{Grant, Transfer, TransferId, Transfers};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
