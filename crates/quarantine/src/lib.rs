//! Detection and quarantine of poison requests, which crash every upstream that processes them (also
//! called queries of death).
//!
//! When an upstream crashes, it is processing about twenty calls, any of which may have caused the
//! crash. All of them become suspects until they complete successfully somewhere. If another upstream
//! crashes while processing a suspect, that request is quarantined: it is not sent to any upstream
//! until its quarantine expires or it is cleared. See docs/design/0015.
//!
//! The crate does no I/O; each event carries its time.
#![forbid(unsafe_code)]

mod board;
mod clearings;
mod identity;
mod quarantine;
mod recent;

pub use board::NoticeLog;
pub use identity::{crash_id, RequestIdentity};
pub use quarantine::{Quarantine, RequestStatus, Verdict, CRASH_RETENTION_MS};
pub use recent::RecentSuccesses;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
