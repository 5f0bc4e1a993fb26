//! Checks whether a fleet kept its guarantees under faults in a soak test.
//!
//! This crate does no I/O. The lab records events of real processes as callers, upstreams and the
//! operator observe them on their sockets; [`check_record`] evaluates the record afterwards. Times
//! are milliseconds since the start.
#![forbid(unsafe_code)]

mod checks;
mod record;
mod statements;

pub use checks::{check_record, Guarantee, Violation};
pub use record::{
    Bounds, Call, CallOutcome, ConfigSubmission, Crash, Fault, FaultKind, LimitBounds,
    LimitStatement, PassedOn, Record, RepeatBounds, Run,
};

/// Milliseconds since the start of a soak test.
pub type Millis = u64;
