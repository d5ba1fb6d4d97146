//! Retry budget: a token bucket that calls fill, so that retries stay below a set share of calls.

/// Upper bound of the bucket: the longest burst of retries.
const MAX_TOKENS: f64 = 10.0;
/// Tokens at the start, so that the first calls may be retried too.
const INITIAL_TOKENS: f64 = 3.0;

/// The retry budget of a pool.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens_per_call: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Limits retries to this share of calls, plus a few at the start.
    pub fn new(tokens_per_call: f64) -> Self {
        Self { tokens_per_call, tokens: INITIAL_TOKENS }
    }

    /// Counts a call, which adds its share of a token.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_call).min(MAX_TOKENS);
    }

    /// Takes the token of one retry; returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
