//! The one gate to an upstream: how many calls it has at once, who waits, and for how long; and
//! the order of what leaves over the machine's link.
//!
//! Pure: time is passed in as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod cold_start;
mod egress;
mod gate;
mod health;
mod pace;
mod pacer;
mod queue;
mod shares;
mod taken;
mod transfers;

pub use cold_start::{ColdRate, ColdStart};
pub use egress::{EgressClass, EgressReservations, EgressTimeLimits, LinkState};
pub use gate::{DrainGate, GateState};
pub use health::FailureRate;
pub use pace::Pace;
pub use pacer::{Pacer, PacerCounts, Piece, SendUrgency};
pub use queue::{Admission, Decision, JobId, SlotRequest};
pub use shares::TenantKey;
pub use taken::UntrackedSlots;
pub use transfers::{Grant, Transfer, TransferId, Transfers};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
