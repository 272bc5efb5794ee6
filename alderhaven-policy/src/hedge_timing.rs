//! When to hedge an attempt of a fan-out query, and how long an attempt is useful.
//!
//! A hedge is sent as late as its answer can still be in time, but not before most attempts would
//! have answered, and only to a replica that is expected to answer by then. Attempts end shortly
//! after the answer that they are for, so that targets don't work on results which come too late.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::answer_time::AnswerTime;

/// Time that is left for an unhurried hedge, as a multiple of the late threshold.
const LATE_THRESHOLD_FACTOR: f64 = 2.0;

/// Time that must be left for a hedge, as a multiple of the typical latency.
const TYPICAL_LATENCY_FACTOR: f64 = 1.5;

/// Extra time that must be left for sending a hedge and reading its reply.
const HEDGE_OVERHEAD: TimeSpan = TimeSpan::from_millis(2);

/// Shortest delay before a hedge, as a multiple of the typical latency.
const MIN_DELAY_FACTOR: f64 = 1.2;

/// Time for which attempts go on after the partial answer, as a share of the latency target.
const ATTEMPT_GRACE_SHARE: f64 = 0.05;

/// Times that decide on the hedges of one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTiming {
    /// Time at which the query is answered with the shards that have replied.
    pub answer_at: TimePoint,
    /// Median latency of attempts.
    pub typical_latency: TimeSpan,
    /// Latency that few attempts exceed.
    pub late_threshold: TimeSpan,
}

impl HedgeTiming {
    /// Returns when to hedge an attempt that is sent now.
    #[must_use]
    pub fn hedge_at(&self, now: TimePoint) -> TimePoint {
        let remaining = self.answer_at.since(now);
        let unhurried_delay =
            remaining.saturating_sub(self.late_threshold.mul_f64(LATE_THRESHOLD_FACTOR));
        let max_delay = remaining
            .saturating_sub(self.typical_latency.mul_f64(TYPICAL_LATENCY_FACTOR) + HEDGE_OVERHEAD);
        let min_delay = self.typical_latency.mul_f64(MIN_DELAY_FACTOR);
        now + self
            .late_threshold
            .max(unhurried_delay)
            .min(max_delay)
            .max(min_delay)
    }

    /// Returns true if a hedge that is sent now and takes `expected` can still be of use. After
    /// `answer_at` every reply is, since the query still lacks shards.
    #[must_use]
    pub fn is_worthwhile(&self, expected: TimeSpan, now: TimePoint) -> bool {
        now > self.answer_at || now + expected < self.answer_at
    }
}

/// Returns the time after which an attempt that is sent now is useless to its fan-out query.
///
/// After the time of the partial answer the query still lacks the attempt's shard, and the attempt
/// may use all the time that is left.
#[must_use]
pub fn attempt_deadline(
    answer_time: &AnswerTime,
    latency_target: TimeSpan,
    now: TimePoint,
) -> TimePoint {
    if now >= answer_time.partial_at {
        return answer_time.deadline;
    }
    (answer_time.partial_at + latency_target.mul_f64(ATTEMPT_GRACE_SHARE)).min(answer_time.deadline)
}
