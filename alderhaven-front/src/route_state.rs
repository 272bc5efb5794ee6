//! What this process has learnt of a route; it outlives versions of the configuration.

use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::caller_delay::{CallerDelay, CallerDelayEstimator};
use alderhaven_policy::latency_window::LatencyWindow;
use alderhaven_policy::weighted_round_robin::WeightedRoundRobin;

/// The samples between two readings of the quantiles, which cost more than a sample.
const QUANTILE_REFRESH_SAMPLES: u32 = 32;

/// The quantile of parts' times after which one counts as late.
const LATE_QUANTILE: f64 = 0.88;

/// The share of the latency target that an attempt takes while nothing was measured.
const DEFAULT_LATENCY_SHARE: f64 = 0.2;

/// A `RouteState` holds the times of a route's attempts and the dealing of a split.
#[derive(Debug, Default)]
pub struct RouteState {
    latencies: Mutex<RouteLatencies>,
    weighted_split: Mutex<WeightedRoundRobin>,
    caller_delay: Mutex<CallerDelayEstimator>,
}

#[derive(Debug, Default)]
struct RouteLatencies {
    window: LatencyWindow,
    samples_since_refresh: u32,
    median: Option<TimeSpan>,
    late_threshold: Option<TimeSpan>,
}

impl RouteState {
    /// Notes the time of an attempt that was answered.
    pub fn record_latency(&self, latency: TimeSpan) {
        let mut latencies = self.lock_latencies();
        latencies.window.add(latency);
        latencies.samples_since_refresh += 1;
        if latencies.samples_since_refresh >= QUANTILE_REFRESH_SAMPLES || latencies.median.is_none()
        {
            latencies.samples_since_refresh = 0;
            latencies.median = latencies.window.quantile(0.5);
            latencies.late_threshold = latencies.window.quantile(LATE_QUANTILE);
        }
    }

    /// Gets the usual time of an attempt, where the latency target is `target`.
    #[must_use]
    pub fn typical_latency(&self, target: TimeSpan) -> TimeSpan {
        let median = self.lock_latencies().median;
        median.unwrap_or_else(|| target.mul_f64(DEFAULT_LATENCY_SHARE))
    }

    /// Gets the time after which an attempt is late, where the latency target is `target`.
    #[must_use]
    pub fn late_threshold(&self, target: TimeSpan) -> TimeSpan {
        let late_threshold = self.lock_latencies().late_threshold;
        late_threshold.unwrap_or_else(|| target.mul_f64(2.0 * DEFAULT_LATENCY_SHARE))
    }

    /// Gets how long a caller has waited already that has `time_left`.
    pub fn record_caller_delay(&self, time_left: TimeSpan, now: TimePoint) -> CallerDelay {
        let mut estimator = self
            .caller_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimator.record_time_left(time_left, now)
    }

    /// Deals the next request of a split.
    pub fn next_split_index(&self, weights: &[f64]) -> Option<usize> {
        let mut split = self
            .weighted_split
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        split.next(weights)
    }

    fn lock_latencies(&self) -> MutexGuard<'_, RouteLatencies> {
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
