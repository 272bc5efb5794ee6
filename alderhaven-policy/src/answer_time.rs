//! When to answer a fan-out query: with all shards, or with enough shards near its latency target.
//!
//! Waiting for the slowest shard would make one paused server the latency of the whole query.
//! Before `partial_at` a query waits for all pending shards. From then on an answer is sent as soon
//! as enough shards have answered. A query that can no longer get enough shards fails at once.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Smallest share of the latency target that a query may use, whatever the reserve. It lets a
/// caller that consumed most of the target before its request arrived still get a partial answer in
/// time.
const MIN_USABLE_SHARE: f64 = 0.2;

/// Times at which a query is answered or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// Time from which an answer with enough shards is sent.
    pub partial_at: TimePoint,
    /// Time at which the query ends, answered or not.
    pub deadline: TimePoint,
}

/// Progress of a query, in shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardCount {
    /// Shards that the query is sent to.
    pub total: usize,
    /// Shards whose replies have arrived.
    pub answered: usize,
    /// Shards whose replies may still arrive.
    pub pending: usize,
    /// Smallest number of shards that makes an answer.
    pub required: usize,
}

impl ShardCount {
    /// Returns true if enough shards have answered for an answer.
    #[must_use]
    pub fn is_enough(&self) -> bool {
        self.answered >= self.required.max(1)
    }
}

/// Next step of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// Wait for replies, until this time at the latest.
    Wait(TimePoint),
    /// Answer with the replies that have arrived.
    Answer,
    /// Fail: too few shards have answered, and not enough of them are pending.
    GiveUp,
    /// Fail: too few shards have answered before the deadline.
    TimeUp,
}

/// Returns how much of a latency target remains for the shards if sending the answer takes
/// `reserve`.
#[must_use]
pub fn usable_time(latency_target: TimeSpan, reserve: TimeSpan) -> TimeSpan {
    latency_target
        .saturating_sub(reserve)
        .max(latency_target.mul_f64(MIN_USABLE_SHARE))
}

impl AnswerTime {
    /// Computes the times of a query that arrived at `arrived_at`.
    ///
    /// `reserve` is the part of `latency_target` that the answer needs to reach the caller, and
    /// `timeout` is the longest time that the caller waits.
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

    /// Returns the next step of a query with this progress.
    #[must_use]
    pub fn decide(&self, count: ShardCount, now: TimePoint) -> AnswerStep {
        let is_enough = count.is_enough();
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
