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
const HEDGE_MARGIN: f64 = 2.0;

/// The time that a hedge must have left to be worth sending, against the usual time.
const HEDGE_ROOM: f64 = 1.5;

/// What is added to it: the work of sending it and of reading the reply.
const HEDGE_WORK: TimeSpan = TimeSpan::from_millis(2);

/// The least time before a hedge, against the usual time.
const HEDGE_LEAST: f64 = 1.2;

/// The part of the latency target beyond the moment of the answer for which attempts at shards go on.
const PART_SPARE: f64 = 0.05;

/// A `HedgeTime` is what decides on the hedges of one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTime {
    /// When the query is answered with what is there.
    pub answer_at: TimePoint,
    /// The time that half of the attempts take.
    pub usual: TimeSpan,
    /// The time that few attempts exceed.
    pub late: TimeSpan,
}

impl HedgeTime {
    /// Gets when an attempt that is sent now should be hedged.
    #[must_use]
    pub fn hedge_at(&self, now: TimePoint) -> TimePoint {
        let left = self.answer_at.since(now);
        let latest = left.saturating_sub(self.late.mul_f64(HEDGE_MARGIN));
        let last = left.saturating_sub(self.usual.mul_f64(HEDGE_ROOM) + HEDGE_WORK);
        let soonest = self.usual.mul_f64(HEDGE_LEAST);
        now + self.late.max(latest).min(last).max(soonest)
    }

    /// Returns true where a hedge that is sent now to a replica that is expected to take so long can be
    /// answered while it is worth something: the budget is for those.
    #[must_use]
    pub fn is_worth(&self, expected: TimeSpan, now: TimePoint) -> bool {
        now > self.answer_at || now + expected < self.answer_at
    }
}

/// Gets when an attempt for a query over many shards is of no more use that is sent now.
///
/// Past the moment of the answer an attempt is one that the query still lacks: it may take all the time
/// that is left.
#[must_use]
pub fn attempt_ends(time: &AnswerTime, target: TimeSpan, now: TimePoint) -> TimePoint {
    if now >= time.partial_at {
        return time.ends_at;
    }
    (time.partial_at + target.mul_f64(PART_SPARE)).min(time.ends_at)
}
