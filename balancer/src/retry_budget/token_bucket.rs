//! A token bucket: each request earns a part of a token, each retry costs one.

/// Retry tokens that a node has saved up.
pub(crate) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// A bucket that holds `tokens` tokens.
    pub(crate) fn with_tokens(tokens: f64) -> Self {
        Self { tokens }
    }

    /// Adds tokens; the bucket then holds at most `limit`.
    pub(crate) fn earn(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Whether the bucket holds at least `cost` tokens.
    pub(crate) fn can_pay(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Removes `cost` tokens, or all if there are fewer.
    pub(crate) fn pay(&mut self, cost: f64) {
        self.tokens = (self.tokens - cost).max(0.0);
    }
}
