//! Admission control for one upstream: its concurrency limit and its queue, plus the scheduling of
//! traffic over the machine's network link.
//!
//! The crate does no I/O; callers pass in the time as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod cold_start;
mod departures;
mod egress;
mod gate;
mod health;
mod pace;
mod pacer;
mod queue;
mod rate_limiter;
mod shares;
mod stated_limit;
mod taken;
mod transfers;

pub use cold_start::ColdStart;
pub use egress::{EgressClass, EgressReservations, EgressTimeLimits, LinkState};
pub use gate::{DrainGate, GateState};
pub use health::FailureRate;
pub use pace::Pace;
pub use pacer::{Pacer, PacerCounts, Piece, SendUrgency};
pub use queue::{Admission, Decision, JobId, SlotRequest, Throttling};
pub use rate_limiter::RateLimit;
pub use shares::TenantKey;
pub use taken::UntrackedSlots;
pub use transfers::{Grant, Transfer, TransferId, Transfers};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
