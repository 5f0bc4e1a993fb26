//! A budget that keeps retries a small share of a route's calls.

/// Retries allowed from the start, so that a rare failure on a quiet route can be repeated.
const INITIAL_RETRIES: f64 = 3.0;
/// Most retries saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// A token bucket filled by calls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    per_call: f64,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred calls.
    pub fn new(percent: u32) -> Self {
        let per_call = f64::from(percent) / 100.0;
        let tokens = if percent == 0 { 0.0 } else { INITIAL_RETRIES };
        RetryBudget { tokens, per_call }
    }

    /// A call, not a retry, began.
    pub fn on_call(&mut self) {
        self.tokens = (self.tokens + self.per_call).min(MAX_SAVED_RETRIES.max(self.tokens));
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
