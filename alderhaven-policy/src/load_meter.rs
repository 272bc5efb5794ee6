//! A meter of how much arrives per second, weighted towards the most recent time.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// A `LoadMeter` adds up amounts that fade with a time constant.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    fade: TimeSpan,
    amount: f64,
    updated: TimePoint,
}

impl LoadMeter {
    /// Returns an empty meter whose amounts fade to 37% within `fade`.
    #[must_use]
    pub const fn new(fade: TimeSpan) -> Self {
        Self {
            fade,
            amount: 0.0,
            updated: TimePoint::START,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: TimePoint) {
        self.amount = self.faded(now) + amount;
        self.updated = self.updated.max(now);
    }

    /// Gets the amount per second.
    #[must_use]
    pub fn per_second(&self, now: TimePoint) -> f64 {
        self.faded(now) / self.fade.as_secs_f64().max(1e-6)
    }

    fn faded(&self, now: TimePoint) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.amount * (-age / self.fade.as_secs_f64().max(1e-6)).exp()
    }
}
