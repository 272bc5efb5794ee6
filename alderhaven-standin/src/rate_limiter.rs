//! The limit on calls a second that the platform's object API keeps.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The share of a second's calls that may come at once.
const BURST_SHARE: f64 = 0.25;

/// A `RateGate` is a token bucket that says how long to wait where a call comes too early.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: TimePoint,
}

impl RateLimiter {
    /// Returns a full gate for `per_second` calls a second.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: Self::burst_capacity(per_second),
            refilled_at: TimePoint::START,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    /// The span after which the next call fits, where this one is above the rate.
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
