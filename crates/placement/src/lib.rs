//! Where a call goes: the part of a split, the upstream, and whether it may be sent again.
//!
//! Pure: time is passed in as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod budget;
mod locality;
mod pressure;
mod split;
mod throttle;
mod upstream;
mod view;

pub use budget::{BudgetBounds, RetryBudget};
pub use locality::{Distance, Locality};
pub use pressure::{CallEnd, Pressure};
pub use split::WeightedSplit;
pub use throttle::Throttle;
pub use upstream::{Upstream, UpstreamKey, Urgency};
pub use view::{ClassTimes, NodeChange, PlacementView, Request};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
