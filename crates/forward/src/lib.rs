//! Per-call decisions of the proxy: routing, load balancing, concurrency limits, queueing, retries.
//!
//! Performs no I/O; the caller passes in the time and the random number generator. The proxy crate
//! adds HTTP.
#![forbid(unsafe_code)]

mod balance;
mod deadline;
mod limit;
mod outlier;
mod queue;
mod retry;
mod routing;

pub use balance::{Balancer, BalancerIdentity, CallReport, PickError, UpstreamStatus};
pub use deadline::{BudgetError, CallBudget, DEADLINE_HEADER, DEPTH_HEADER, MAX_DEPTH};
pub use limit::AdaptiveLimit;
pub use outlier::{Health, OutlierPolicy};
pub use queue::{AdmissionQueue, QueueDecision, Ticket};
pub use retry::RetryBudget;
pub use routing::{CompiledRoute, RoutingError, RoutingTable};
