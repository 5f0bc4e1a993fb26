//! Remaining time and depth of a call, which travel in headers from hop to hop.

use std::fmt;

/// Header with the caller's remaining time, milliseconds.
pub const DEADLINE_HEADER: &str = "X-Chutecove-Deadline-Ms";
/// Header with the number of proxies the call passed.
pub const DEPTH_HEADER: &str = "X-Chutecove-Depth";
/// Most proxies one call may pass.
pub const MAX_DEPTH: u32 = 8;

/// Why a call is not accepted; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetError {
    /// A header is not a number.
    Malformed,
    /// It passed too many proxies already: a loop.
    TooDeep,
    /// The caller's time is over.
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

/// What a call may still use up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallBudget {
    /// When the caller stops waiting, on the proxy's clock, microseconds.
    pub deadline_us: u64,
    /// Proxies passed, this one included.
    pub depth: u32,
}

impl CallBudget {
    /// Reads the headers; the route's timeout bounds the caller's wish.
    pub fn from_headers(
        now_us: u64,
        route_timeout_ms: u32,
        remaining: Option<&str>,
        depth: Option<&str>,
    ) -> Result<CallBudget, BudgetError> {
        let remaining_ms = parse(remaining)?.unwrap_or(route_timeout_ms);
        let passed = parse(depth)?.unwrap_or(0);
        if passed >= MAX_DEPTH {
            return Err(BudgetError::TooDeep);
        }
        if remaining_ms == 0 {
            return Err(BudgetError::Expired);
        }
        let allowed_ms = u64::from(remaining_ms.min(route_timeout_ms));
        Ok(CallBudget { deadline_us: now_us + allowed_ms * 1_000, depth: passed + 1 })
    }

    /// Time left, microseconds.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.saturating_sub(now_us)
    }
}

fn parse(header: Option<&str>) -> Result<Option<u32>, BudgetError> {
    header.map(|text| text.trim().parse().map_err(|_| BudgetError::Malformed)).transpose()
}
