//! Retry budget that limits retries to a percentage of a route's calls.

/// Initial tokens, so that a rare failure on a route with little traffic can be retried.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum number of tokens that accumulate.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket that calls fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_call: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 calls.
    pub fn new(percent: u32) -> Self {
        let tokens_per_call = f64::from(percent) / 100.0;
        let tokens = if percent == 0 { 0.0 } else { INITIAL_TOKENS };
        RetryBudget { tokens, tokens_per_call }
    }

    /// Records the start of a call that is not a retry.
    pub fn on_call(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_call).min(MAX_TOKENS.max(self.tokens));
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
