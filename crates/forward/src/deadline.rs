//! Deadline and hop depth of a call, propagated in headers.

use std::fmt;

/// Header with the time the caller will still wait, in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Chutecove-Deadline-Ms";
/// Header with the number of proxies that the call has passed.
pub const DEPTH_HEADER: &str = "X-Chutecove-Depth";
/// Maximum number of proxies that a call may pass.
pub const MAX_DEPTH: u32 = 8;

/// Why a call is rejected before it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetError {
    /// A header is not an unsigned integer.
    Malformed,
    /// The call has already passed [`MAX_DEPTH`] proxies, which indicates a routing loop.
    TooDeep,
    /// The caller's deadline has passed.
    Expired,
}

impl fmt::Display for BudgetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BudgetError::Malformed => {
                write!(formatter, "{DEADLINE_HEADER} and {DEPTH_HEADER} must be whole numbers")
            }
            BudgetError::TooDeep => write!(formatter, "the call passed {MAX_DEPTH} proxies"),
            BudgetError::Expired => formatter.write_str("the caller's time is over"),
        }
    }
}

impl std::error::Error for BudgetError {}

/// Deadline and depth of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallBudget {
    /// When the caller stops waiting, in microseconds on the proxy's clock.
    pub deadline_us: u64,
    /// Number of proxies passed, including this one.
    pub depth: u32,
}

impl CallBudget {
    /// Parses the headers. The route's timeout applies if the caller sends no time or a longer one.
    pub fn from_headers(
        now_us: u64,
        route_timeout_ms: u32,
        remaining: Option<&str>,
        depth: Option<&str>,
    ) -> Result<CallBudget, BudgetError> {
        let remaining_ms = parse_header(remaining)?.unwrap_or(route_timeout_ms);
        let passed = parse_header(depth)?.unwrap_or(0);
        if passed >= MAX_DEPTH {
            return Err(BudgetError::TooDeep);
        }
        if remaining_ms == 0 {
            return Err(BudgetError::Expired);
        }
        let allowed_ms = u64::from(remaining_ms.min(route_timeout_ms));
        Ok(CallBudget { deadline_us: now_us + allowed_ms * 1_000, depth: passed + 1 })
    }

    /// Time until the deadline, in microseconds.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.saturating_sub(now_us)
    }
}

fn parse_header(header: Option<&str>) -> Result<Option<u32>, BudgetError> {
    header.map(|text| text.trim().parse().map_err(|_| BudgetError::Malformed)).transpose()
}
