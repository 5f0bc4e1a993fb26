//! Quotas of tenants over all nodes: distributed rate limiting with leased credits.
//!
//! A quota is a token bucket. Each sidecar owns an equal part of it and lends that part to the pool
//! of one coordinator, which refills it and gives credits out as sidecars ask ([`Pools`]). Pools
//! short of credit pull some from others. A sidecar admits a call for a credit that it holds, or
//! keeps it for the moment that an answer takes ([`Gate`]). Every credit is taken out of one place
//! before it is put into another, and lives briefly, so a lost node, link or message loses credit
//! and never doubles any. See docs/design/0017. Pure; time comes in with events.
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

/// Milliseconds of a clock that goes on while the machine sleeps and is never set.
pub type Millis = u64;

/// How long a sidecar's part of all quotas stays with the pool it was lent to, milliseconds from the
/// last request that lent it. Some requests may be lost or late; the time is also how long that part
/// rests when its pool is lost.
pub const LOAN_MS: Millis = 1_200;
/// How long a credit may be held by a sidecar, milliseconds from when it was asked for: longer than
/// some requests, shorter than a second's burst takes to refill.
pub const LEASE_MS: Millis = 1_000;
