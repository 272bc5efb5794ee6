//! Rate limit of the platform's object API.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Burst capacity as a share of the calls of one second.
const BURST_SHARE: f64 = 0.25;

/// Token bucket that tells refused callers how long to wait.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: TimePoint,
}

impl RateLimiter {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: Self::burst_capacity(per_second),
            refilled_at: TimePoint::START,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// The time until a token is available, if there is none.
    pub fn admit(&mut self, now: TimePoint) -> Result<(), TimeSpan> {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(Self::burst_capacity(self.per_second));
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.per_second.max(f64::MIN_POSITIVE);
        Err(TimeSpan::from_secs(1).mul_f64(missing.min(60.0)))
    }

    fn burst_capacity(per_second: f64) -> f64 {
        (per_second * BURST_SHARE).max(1.0)
    }
}
