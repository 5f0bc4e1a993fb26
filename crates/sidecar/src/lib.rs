//! The sidecar: a proxy that runs beside one upstream and connects it and the callers on its
//! machine to the sidecars of other machines (peers).
//!
//! It runs on one thread with one poll loop. All decisions are made by code without I/O: [`Calls`]
//! (outbound), [`Jobs`] (inbound), and the crates `placement`, `admission` and `http1`.
#![forbid(unsafe_code)]

mod call_metrics;
mod calls;
mod config;
mod currency;
mod dialect;
mod heartbeat_trust;
mod jobs;
mod link_meter;
mod links;
mod metrics;
mod net;
mod poison;
mod pool;
mod quota;
mod registrar;
mod runtime;
mod sample;
mod servers;
mod stop;
mod tenants;
mod transit;

pub use call_metrics::{CallMetrics, JobMetrics};
pub use calls::{Attempt, AttemptEnd, CallAction, CallCounts, CallId, Calls, Initiator, Origin};
pub use config::Config;
pub use currency::ConfigFreshness;
pub use dialect::{
    HeaderNames, RegistrationCall, RegistrationDialect, ReportedLoad, UpstreamStatement,
};
pub use heartbeat_trust::{HeartbeatTrust, HeldHeartbeat};
pub use jobs::{JobAction, Jobs, Source, StopBound, UpstreamEnd};
pub use link_meter::{LinkChange, LinkFullDetector, LinkMeter};
pub use links::{chosen as chosen_coordinators, LinkEvent, Links};
pub use net::{ConnectionId, LinkUse, Net, NetEvent, SentBytes, WriteFailure};
pub use poison::PoisonWatch;
pub use quota::Quota;
pub use registrar::{is_last_word, DepartureAnswer, PendingAcknowledgement, Registrar};
pub use runtime::{run, SidecarError};
pub use sample::{LogRateLimit, LogSample};
pub use stop::{Activity, StopPhase, StopPlan};
pub use tenants::{
    combined_rank, CompiledTenant, KeyDigest, KeyDigester, KeyHolder, KeyProblem, Tenants,
};
pub use transit::TransitTimes;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
