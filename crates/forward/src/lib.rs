//! Decisions on the path of a call: route, upstream, limits, queue, retry.
//!
//! Everything here is pure: time and randomness are passed in. The proxy adds HTTP.
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
