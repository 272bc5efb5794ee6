//! When another replica of a shard is asked too, and until when an attempt is of use.
//!
//! Load pattern: in a query over many shards some attempts meet a replica that pauses or is slow, and
//! the query has a moment at which it is answered with what is there.
//!
//! Without it: a hedge at a fixed delay is sent for many attempts that would have answered in time, which
//! uses up the budget and the network; one that is sent too late is paid for and not waited for.
//!
//! The rules: a hedge is sent as late as its answer is still in time, but not before most attempts would
//! have answered; it is sent only to a replica that is expected to answer by then; and attempts end with
//! the answer that they are for, so that targets do not work on what comes too late and their queues stay
//! short while they are slow.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::answer_time::AnswerTime;

/// The time that is left to a hedge, against the time that few attempts exceed.
const LATE_THRESHOLD_FACTOR: f64 = 2.0;

/// The time that a hedge must have left to be worth sending, against the usual time.
const TYPICAL_LATENCY_FACTOR: f64 = 1.5;

/// What is added to it: the work of sending it and of reading the reply.
const HEDGE_OVERHEAD: TimeSpan = TimeSpan::from_millis(2);

/// The least time before a hedge, against the usual time.
const MIN_DELAY_FACTOR: f64 = 1.2;

/// The part of the latency target beyond the moment of the answer for which attempts at shards go on.
const ATTEMPT_GRACE_SHARE: f64 = 0.05;

/// A `HedgeTime` is what decides on the hedges of one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTiming {
    /// When the query is answered with what is there.
    pub answer_at: TimePoint,
    /// The time that half of the attempts take.
    pub typical_latency: TimeSpan,
    /// The time that few attempts exceed.
    pub late_threshold: TimeSpan,
}

impl HedgeTiming {
    /// Gets when an attempt that is sent now should be hedged.
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

    /// Returns true where a hedge that is sent now to a replica that is expected to take so long can be
    /// answered while it is worth something: the budget is for those.
    #[must_use]
    pub fn is_worthwhile(&self, expected: TimeSpan, now: TimePoint) -> bool {
        now > self.answer_at || now + expected < self.answer_at
    }
}

/// Gets when an attempt for a query over many shards is of no more use that is sent now.
///
/// Past the moment of the answer an attempt is one that the query still lacks: it may take all the time
/// that is left.
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
