//! What was seen of a fleet under faults, and whether its promises held.
//!
//! Pure: the lab records events of real processes, as callers, upstreams and the operator saw them
//! on their sockets; [`judge`] reads them afterwards. Times are milliseconds since the start.
#![forbid(unsafe_code)]

mod checks;
mod record;

pub use checks::{judge, Breach, Promise};
pub use record::{Bounds, Call, Crash, End, Fault, FaultKind, Order, Record, RepeatBounds, Run};

/// Milliseconds since the start of a soak.
pub type Millis = u64;
