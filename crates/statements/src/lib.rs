//! What upstreams state of themselves in their answers, where the statement binds every sender: the
//! rate of calls that an upstream takes, and that it is leaving.
//!
//! The crate does no I/O; callers pass in the time as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod instances;
mod rate;

pub use instances::{InstanceStatements, StatementReport, Statements};
pub use rate::{RateStatement, StatedRate};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
