//! Logging, metrics, health endpoints, boot-time clocks, in-flight request tracking, and the stop
//! and reload signals.
#![forbid(unsafe_code)]

mod bounded;
mod clock;
mod logging;
mod metrics;
mod requests;
mod signal;

pub use bounded::RateLimitedWriter;
pub use clock::{BootInstant, Clock, SuspendDetector};
pub use logging::{
    flush_logs_and_exit, init_logging, init_logging_to_stdout, parse_level, LogGuard, UnknownLevel,
    LINES_PER_SECOND,
};
pub use metrics::{
    CallCounters, CallLabels, Counter, Gauge, Histogram, MetricsServer, MetricsServerError,
    Registry,
};
pub use requests::{QuietWait, RequestCounter, RequestGuard};
pub use signal::{ReloadSignal, StopSignal, StopSignalError};
