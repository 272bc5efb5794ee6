//! What this process has learnt of a route; it outlives versions of the configuration.

use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::caller_wait::{CallerDelay, CallerWait};
use alderhaven_policy::latency_window::LatencyWindow;
use alderhaven_policy::weighted_split::WeightedSplit;

/// The samples between two readings of the quantiles, which cost more than a sample.
const READING_PERIOD: u32 = 32;

/// The quantile of parts' times after which one counts as late.
const LATE_QUANTILE: f64 = 0.88;

/// The share of the latency target that an attempt takes while nothing was measured.
const FIRST_USUAL_SHARE: f64 = 0.2;

/// A `RouteState` holds the times of a route's attempts and the dealing of a split.
#[derive(Debug, Default)]
pub struct RouteState {
    times: Mutex<RouteTimes>,
    split: Mutex<WeightedSplit>,
    wait: Mutex<CallerWait>,
}

#[derive(Debug, Default)]
struct RouteTimes {
    window: LatencyWindow,
    since_reading: u32,
    usual: Option<TimeSpan>,
    late: Option<TimeSpan>,
}

impl RouteState {
    /// Notes the time of an attempt that was answered.
    pub fn note_time(&self, time: TimeSpan) {
        let mut times = self.times();
        times.window.add(time);
        times.since_reading += 1;
        if times.since_reading >= READING_PERIOD || times.usual.is_none() {
            times.since_reading = 0;
            times.usual = times.window.quantile(0.5);
            times.late = times.window.quantile(LATE_QUANTILE);
        }
    }

    /// Gets the usual time of an attempt, where the latency target is `target`.
    #[must_use]
    pub fn usual(&self, target: TimeSpan) -> TimeSpan {
        let usual = self.times().usual;
        usual.unwrap_or_else(|| target.mul_f64(FIRST_USUAL_SHARE))
    }

    /// Gets the time after which an attempt is late, where the latency target is `target`.
    #[must_use]
    pub fn late(&self, target: TimeSpan) -> TimeSpan {
        let late = self.times().late;
        late.unwrap_or_else(|| target.mul_f64(2.0 * FIRST_USUAL_SHARE))
    }

    /// Gets how long a caller has waited already that has `time_left`.
    pub fn waited(&self, time_left: TimeSpan, now: TimePoint) -> CallerDelay {
        let mut wait = self.wait.lock().unwrap_or_else(PoisonError::into_inner);
        wait.note(time_left, now)
    }

    /// Deals the next request of a split.
    pub fn deal(&self, weights: &[f64]) -> Option<usize> {
        let mut split = self.split.lock().unwrap_or_else(PoisonError::into_inner);
        split.next(weights)
    }

    fn times(&self) -> MutexGuard<'_, RouteTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
