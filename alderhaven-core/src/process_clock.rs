//! Monotonic clock of a process that converts between [`Instant`] and [`TimePoint`].

use std::time::Instant;

use crate::time::{TimePoint, TimeSpan};

/// Monotonic clock that counts from its creation. Copies share the same start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl ProcessClock {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.time_point(Instant::now())
    }

    /// Converts an instant to a time point. Instants before the start become the start.
    #[must_use]
    pub fn time_point(&self, instant: Instant) -> TimePoint {
        let elapsed = TimeSpan::from(instant.saturating_duration_since(self.start));
        TimePoint::START + elapsed
    }

    /// Converts a time point of this clock to an instant.
    #[must_use]
    pub fn instant(&self, point: TimePoint) -> Instant {
        self.start + point.since(TimePoint::START).as_duration()
    }
}
