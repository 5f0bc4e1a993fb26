//! Tenant quotas across all nodes: distributed rate limiting with leased credits.
//!
//! A quota is a token bucket. Each sidecar owns an equal share of it and lends that share to the
//! pool of one coordinator, which refills it and grants credits to sidecars on request ([`Pools`]).
//! Pools that are short of credit pull some from other coordinators. A sidecar admits a call if it
//! holds a credit, and otherwise queues the call until a coordinator has answered ([`Gate`]). Each
//! credit is removed from one place before it is added to another and expires soon, so the loss of
//! a node, link or message loses credit but never duplicates any. See docs/design/0017.
//!
//! The crate does no I/O and reads no clock; callers pass the time with each event.
#![forbid(unsafe_code)]

mod fleet;
mod gate;
mod limit;
mod pool;
mod pools;
mod window;

pub use fleet::Fleet;
pub use gate::{Gate, GateCounts, Outcome, Refusal, REQUEST_INTERVAL_MS, WAIT_MS};
pub use limit::{tenant_id, Limit, WINDOW_MS};
pub use pools::{PoolResponse, Pools, TenantUsage};

/// Milliseconds of a monotonic clock that advances while the machine is suspended.
pub type Millis = u64;

/// Time for which a sidecar's share of all quotas stays with the pool it was lent to, milliseconds
/// from the last request that lent it. It spans several requests, of which some may be lost or
/// late; it is also how long the share is unused after its pool is lost.
pub const LOAN_MS: Millis = 1_200;
/// Lifetime of a credit at a sidecar, milliseconds from the request for it: longer than some
/// request intervals, shorter than a burst of one second takes to refill.
pub const LEASE_MS: Millis = 1_000;
