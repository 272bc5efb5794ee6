//! Latency statistics and balancing state of a route. They are kept across configuration versions.

use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::caller_delay::{CallerDelay, CallerDelayEstimator};
use alderhaven_policy::latency_window::LatencyWindow;
use alderhaven_policy::weighted_round_robin::WeightedRoundRobin;
use alderhaven_policy::work_estimate::{OpenRun, WorkEstimate, WorkKind};

/// Samples between two updates of the quantiles, which cost more than adding a sample.
const QUANTILE_REFRESH_SAMPLES: u32 = 32;

/// Latency quantile above which an attempt counts as late.
const LATE_QUANTILE: f64 = 0.88;

/// Typical latency as a share of the latency target while there are no samples.
const DEFAULT_LATENCY_SHARE: f64 = 0.2;

/// Measured state of one route, shared by all its requests.
#[derive(Debug, Default)]
pub struct RouteState {
    latencies: Mutex<RouteLatencies>,
    weighted_split: Mutex<WeightedRoundRobin>,
    caller_delay: Mutex<CallerDelayEstimator>,
    work: Mutex<WorkEstimate>,
}

#[derive(Debug, Default)]
struct RouteLatencies {
    window: LatencyWindow,
    samples_since_refresh: u32,
    median: Option<TimeSpan>,
    late_threshold: Option<TimeSpan>,
}

impl RouteState {
    /// Records the latency of an attempt that was answered.
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

    /// Returns the median latency of attempts, or a share of the latency target `target` while
    /// there are no samples.
    #[must_use]
    pub fn typical_latency(&self, target: TimeSpan) -> TimeSpan {
        let median = self.lock_latencies().median;
        median.unwrap_or_else(|| target.mul_f64(DEFAULT_LATENCY_SHARE))
    }

    /// Returns the latency above which an attempt is late, or a share of the latency target
    /// `target` while there are no samples.
    #[must_use]
    pub fn late_threshold(&self, target: TimeSpan) -> TimeSpan {
        let late_threshold = self.lock_latencies().late_threshold;
        late_threshold.unwrap_or_else(|| target.mul_f64(2.0 * DEFAULT_LATENCY_SHARE))
    }

    /// Records the time left of a caller, and returns the estimated time that it has already
    /// waited.
    pub fn record_caller_delay(&self, time_left: TimeSpan, now: TimePoint) -> CallerDelay {
        let mut estimator = self
            .caller_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimator.record_time_left(time_left, now)
    }

    /// Returns the index of the service that gets the next request of a split.
    pub fn next_split_index(&self, weights: &[f64]) -> Option<usize> {
        let mut split = self
            .weighted_split
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        split.next(weights)
    }

    /// Records that a request begins to run.
    pub fn begin_run(&self, kinds: &[WorkKind], now: TimePoint) -> OpenRun {
        self.lock_work().begin(kinds, now)
    }

    /// Records the end of a run; `is_complete` tells whether targets have finished its work.
    pub fn end_run(&self, run: &OpenRun, is_complete: bool, now: TimePoint) {
        self.lock_work().end(run, is_complete, now);
    }

    /// Returns the longest time that a request of these kinds is known to take, if enough are known.
    pub fn longest_run(&self, kinds: &[WorkKind], now: TimePoint) -> Option<TimeSpan> {
        self.lock_work().longest_run(kinds, now)
    }

    fn lock_work(&self) -> MutexGuard<'_, WorkEstimate> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_latencies(&self) -> MutexGuard<'_, RouteLatencies> {
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
