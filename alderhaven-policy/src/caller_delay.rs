//! How long a caller has waited already when its request arrives.
//!
//! Load pattern: a caller counts its wait from its first step, which is a question for fronts, a new
//! connection or an attempt that failed elsewhere. A front that counts from the arrival of the request
//! answers some tens of milliseconds too late, although it had enough shards in time.
//!
//! Callers of one route have the same patience, and say with each request what is left of it. The
//! most that was said lately is the whole patience, and what is missing of it is the wait.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// How long a patience is remembered: two turns of it, so that a route whose callers change their
/// patience is read right after some seconds.
const ESTIMATE_WINDOW: TimeSpan = TimeSpan::from_secs(10);

/// The part of its latency target after which a caller is late in any case.
const LATE_DELAY_SHARE: f64 = 0.5;

/// A `CallerDelay` is how long a caller had waited when its request arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerDelay(pub TimeSpan);

impl CallerDelay {
    /// Gets the part of a latency target that it has used up.
    ///
    /// A wait of more than `target` is taken for another patience or for a late attempt: its answer
    /// can't be in time, so that it is not hurried.
    #[must_use]
    pub fn consumed_time(self, latency_target: TimeSpan) -> TimeSpan {
        if self.0 > latency_target {
            return TimeSpan::ZERO;
        }
        self.0
    }

    /// Returns true where the answer will be late under load, whatever is done.
    #[must_use]
    pub fn is_late(self, latency_target: TimeSpan) -> bool {
        self.0 > latency_target.mul_f64(LATE_DELAY_SHARE)
    }
}

/// A `CallerWait` follows the patience of a route's callers.
#[derive(Clone, Debug, Default)]
pub struct CallerDelayEstimator {
    window_number: u64,
    longest_in_window: TimeSpan,
    longest_in_previous: TimeSpan,
}

impl CallerDelayEstimator {
    /// Notes the time that a caller has left, and gets how long it has waited already.
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
