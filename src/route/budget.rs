//! A bound on further attempts: a token bucket that calls fill, so that attempts stay a set share of them.

/// The most tokens, and those at the start.
const MOST: f64 = 10.0;
const START: f64 = 3.0;

/// The budget of a pool.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Further attempts come to this share of calls at the most, beside a few at the start.
    pub fn new(share: f64) -> Self {
        Self { share, tokens: START }
    }

    /// Counts a call.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + self.share).min(MOST);
    }

    /// Takes a further attempt out of it; false where it is spent.
    pub fn try_take(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
