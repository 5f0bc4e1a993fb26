//! What was seen of a fleet under faults, and whether its promises held.
//!
//! Pure: the lab records events of real processes, as callers, upstreams and the operator saw them
//! on their sockets; [`check_record`] reads them afterwards. Times are milliseconds since the start.
#![forbid(unsafe_code)]

mod checks;
mod record;

pub use checks::{check_record, Guarantee, Violation};
pub use record::{
    Bounds, Call, CallOutcome, ConfigSubmission, Crash, Fault, FaultKind, Record, RepeatBounds, Run,
};

/// Milliseconds since the start of a soak.
pub type Millis = u64;
