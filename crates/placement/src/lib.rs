//! Upstream selection: weighted traffic splits, load balancing over upstreams, and limits on
//! retries.
//!
//! The crate does no I/O and reads no clock; callers pass the time as monotonic milliseconds.
#![forbid(unsafe_code)]

mod budget;
mod canary_share;
mod choice;
mod cold_limit;
mod egress_seen;
mod fleet_size;
mod hedge;
mod locality;
mod pressure;
mod rate_share;
mod service_keys;
mod split;
mod spread;
mod stated_limit;
mod throttle;
mod times;
mod upstream;
mod view;

pub use budget::{BudgetBounds, RequestOrigin, RetryBudget, RetryCounts};
pub use canary_share::CanaryShares;
pub use choice::Request;
pub use cold_limit::PRESUMED_COLD_MS;
pub use hedge::HedgePlan;
pub use locality::{Distance, Locality, Regions};
pub use pressure::{CallEnd, LoadShedder};
pub use split::WeightedSplit;
pub use spread::LatencyHistogram;
pub use throttle::Throttle;
pub use times::{LatencySample, RouteLatencies};
pub use upstream::{Upstream, UpstreamKey, Urgency};
pub use view::{NodeChange, PlacementView};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
