//! The monotonic clock of a process, read as the plain numbers that decisions take.

use std::time::Instant;

use crate::time::{TimePoint, TimeSpan};

/// A `ProcessClock` counts from the start of a process.
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
    /// Gets the time now.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.time_point(Instant::now())
    }

    /// Gets an instant as a point in time; one before the start is the start.
    #[must_use]
    pub fn time_point(&self, instant: Instant) -> TimePoint {
        let elapsed = TimeSpan::from(instant.saturating_duration_since(self.start));
        TimePoint::START + elapsed
    }

    /// Gets a point in time as an instant.
    #[must_use]
    pub fn instant(&self, point: TimePoint) -> Instant {
        self.start + point.since(TimePoint::START).as_duration()
    }
}
