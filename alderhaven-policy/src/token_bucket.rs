//! Token bucket: a rate limit with a bounded burst.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};

/// Tokens that are refilled at a rate, up to the burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: TimePoint,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(rate: RatePerSecond, burst: f64, now: TimePoint) -> Self {
        Self {
            rate: rate.per_second(),
            burst,
            tokens: burst,
            updated_at: now,
        }
    }

    /// Sets the rate and the burst; tokens above the new burst are lost.
    pub fn set_rate(&mut self, rate: RatePerSecond, burst: f64, now: TimePoint) {
        self.refill(now);
        self.rate = rate.per_second();
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// Returns the time until a token is available if there is none.
    pub fn take(&mut self, now: TimePoint) -> Result<(), TimeSpan> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(TimeSpan::from_secs(1).mul_f64(missing / self.rate.max(1e-3)))
    }

    /// Returns a token that was taken and not used.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    fn refill(&mut self, now: TimePoint) {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
