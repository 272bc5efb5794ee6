//! Exponentially decaying rate of arriving amounts.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Sum of amounts that decay exponentially.
#[derive(Clone, Copy, Debug)]
pub struct RateMeter {
    time_constant: TimeSpan,
    amount: f64,
    updated_at: TimePoint,
}

impl RateMeter {
    /// Creates an empty meter; an amount decays to 1/e within `time_constant`.
    #[must_use]
    pub const fn new(time_constant: TimeSpan) -> Self {
        Self {
            time_constant,
            amount: 0.0,
            updated_at: TimePoint::START,
        }
    }

    /// Adds an amount that arrives now.
    pub fn add(&mut self, amount: f64, now: TimePoint) {
        self.amount = self.decayed_amount(now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed amount per second.
    #[must_use]
    pub fn per_second(&self, now: TimePoint) -> f64 {
        self.decayed_amount(now) / self.time_constant.as_secs_f64().max(1e-6)
    }

    fn decayed_amount(&self, now: TimePoint) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.amount * (-age / self.time_constant.as_secs_f64().max(1e-6)).exp()
    }
}
