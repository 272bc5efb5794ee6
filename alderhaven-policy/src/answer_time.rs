//! When a query over many shards is answered.
//!
//! Load pattern: every query touches many shards, servers pause for a moment each at its own time,
//! and so nearly every second query meets one that is paused.
//!
//! Without it: the slowest shard is the latency of the answer, although the caller is content with
//! most shards and gains nothing from an answer after its target.
//!
//! The rules:
//! - all shards are in, or none of the others can come: answer;
//! - the latency target is near and enough shards are in: answer with what is there. "Near" leaves
//!   the time that the answer itself takes on its way;
//! - past the target: answer as soon as enough shards are in;
//! - the time is up, or too few shards can still come: say so at once.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The part of its latency target that a query may use at least, whatever the reserve: enough shards
/// are hardly ever in before. A caller that has used up half of a tight target by its question and its
/// connection is still answered in time with what is there by then.
const MIN_USABLE_SHARE: f64 = 0.2;

/// An `AnswerTime` holds the moments at which a query is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// From here on an answer with enough shards is sent.
    pub partial_at: TimePoint,
    /// Here the query ends.
    pub deadline: TimePoint,
}

/// A `ShardCount` says how far a query is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardCount {
    /// The shards of the query.
    pub total: usize,
    /// The shards whose parts are in.
    pub answered: usize,
    /// The shards whose parts may still come.
    pub pending: usize,
    /// The least shards that make an answer.
    pub required: usize,
}

/// An `AnswerStep` is what to do with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// Wait for parts, until this moment at the latest.
    Wait(TimePoint),
    /// Answer with the parts that are in.
    Answer,
    /// Too few parts are in and no more can come.
    GiveUp,
    /// Too few parts are in and the time is up.
    TimeUp,
}

/// Gets the part of a latency target that a query may use where the answer needs `reserve` of it.
#[must_use]
pub fn usable_time(latency_target: TimeSpan, reserve: TimeSpan) -> TimeSpan {
    latency_target
        .saturating_sub(reserve)
        .max(latency_target.mul_f64(MIN_USABLE_SHARE))
}

impl AnswerTime {
    /// Returns the moments of a query that arrived at `arrived`.
    ///
    /// `target` is the latency target, `reserve` the part of it that the answer needs on its way,
    /// and `limit` the longest that the caller waits.
    #[must_use]
    pub fn new(
        arrived_at: TimePoint,
        latency_target: TimeSpan,
        reserve: TimeSpan,
        timeout: TimeSpan,
    ) -> Self {
        let deadline = arrived_at + timeout;
        let usable_time = usable_time(latency_target, reserve);
        Self {
            partial_at: (arrived_at + usable_time).min(deadline),
            deadline,
        }
    }

    /// Decides.
    #[must_use]
    pub fn decide(&self, count: ShardCount, now: TimePoint) -> AnswerStep {
        let is_enough = count.answered >= count.required.max(1);
        if count.pending == 0 {
            return if is_enough {
                AnswerStep::Answer
            } else {
                AnswerStep::GiveUp
            };
        }
        if now >= self.partial_at && is_enough {
            return AnswerStep::Answer;
        }
        if count.answered + count.pending < count.required.max(1) {
            return AnswerStep::GiveUp;
        }
        if now >= self.deadline {
            return AnswerStep::TimeUp;
        }
        AnswerStep::Wait(if now < self.partial_at {
            self.partial_at
        } else {
            self.deadline
        })
    }
}
