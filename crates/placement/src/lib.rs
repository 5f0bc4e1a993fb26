//! Where a call goes: the part of a split, the upstream, and whether it may be sent again.
//!
//! Pure: time is passed in as milliseconds of a monotonic clock.
#![forbid(unsafe_code)]

mod ages;
mod budget;
mod canary_share;
mod entry;
mod failures;
mod locality;
mod paths;
mod split;
mod spread;
mod times;
mod upstream;
mod view;

pub use ages::CallerAges;
pub use budget::{AskedBy, BudgetBounds, RetryBudget};
pub use canary_share::CanaryShares;
pub use entry::{EntryControl, Wait, Waits, Work};
pub use failures::RouteFailures;
pub use locality::{Distance, Locality};
pub use paths::RoutePaths;
pub use split::WeightedSplit;
pub use spread::TimeSpread;
pub use times::{ClassTimes, Seen};
pub use upstream::{Upstream, UpstreamKey, Urgency};
pub use view::{NodeChange, PlacementView, Request};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
