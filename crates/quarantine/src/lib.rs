//! Poison requests: those that crash whatever upstream runs them (also: queries of death).
//!
//! Some twenty calls run at an upstream when it ends, and one of them may have ended it. All are
//! suspects; one that runs well anywhere is none any more. A suspect that another upstream ends
//! under is put in quarantine: no upstream is given it until its time is over or it is cleared.
//! See docs/design/0015. Pure; time comes in with events.
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
