//! Estimates how long a caller has waited before its request arrived.
//!
//! A caller's latency starts with its lookup of an address, its new connection or an attempt that
//! failed elsewhere. Each request carries the time that the caller has left. Callers of one route
//! use the same timeout, so that the largest recent value is that timeout, and the
//! difference is the delay.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Length of a window. The estimate covers the current and the previous window, so that it follows
/// callers that change their timeout.
const ESTIMATE_WINDOW: TimeSpan = TimeSpan::from_secs(10);

/// Share of the latency target above which a caller's delay makes its answer late under load.
const LATE_DELAY_SHARE: f64 = 0.5;

/// Time that a caller had waited when its request arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerDelay(pub TimeSpan);

impl CallerDelay {
    /// Returns how much of the latency target the caller has consumed.
    ///
    /// A delay beyond the target is taken as zero: it stems from a different timeout or from a late
    /// retry, whose answer can't be in time anyway.
    #[must_use]
    pub fn consumed_time(self, latency_target: TimeSpan) -> TimeSpan {
        if self.0 > latency_target {
            return TimeSpan::ZERO;
        }
        self.0
    }

    /// Returns true if the answer will be late under load because of the caller's delay.
    #[must_use]
    pub fn is_late(self, latency_target: TimeSpan) -> bool {
        self.0 > latency_target.mul_f64(LATE_DELAY_SHARE)
    }
}

/// Tracks the timeout that the callers of one route use.
#[derive(Clone, Debug, Default)]
pub struct CallerDelayEstimator {
    window_number: u64,
    longest_in_window: TimeSpan,
    longest_in_previous: TimeSpan,
}

impl CallerDelayEstimator {
    /// Records the remaining time of a request and returns its caller's estimated delay.
    pub fn record_time_left(&mut self, time_left: TimeSpan, now: TimePoint) -> CallerDelay {
        let window_number = now.as_micros() / ESTIMATE_WINDOW.as_micros();
        if window_number != self.window_number {
            let is_next = window_number == self.window_number + 1;
            self.longest_in_previous = if is_next {
                self.longest_in_window
            } else {
                TimeSpan::ZERO
            };
            self.longest_in_window = TimeSpan::ZERO;
            self.window_number = window_number;
        }
        self.longest_in_window = self.longest_in_window.max(time_left);
        CallerDelay(
            self.longest_in_window
                .max(self.longest_in_previous)
                .saturating_sub(time_left),
        )
    }
}
