//! How long the calls may take that follow the store, by the time in which its changes must be in
//! force.
//!
//! A watch that goes silent hides all changes until it is given up. What remains of the bound then
//! has to suffice for the report that the store is lost, the list of the node that takes over, and
//! the way of the change to all nodes.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The share of the bound in which the store answers a watch that brings no change.
const ANSWER_SHARE: f64 = 0.45;
/// The share of the bound that an answer may take beyond the wait of its watch.
const GRACE_SHARE: f64 = 0.15;
/// The share of the bound after which the store's latest known answer to any node is too old. It covers a
/// watch, the grace of its answer and the report of both.
const STALE_SHARE: f64 = 0.7;
/// The share of the bound after which the store must have been away: a node would have got an answer by
/// then whichever watches went silent.
const OUTAGE_SHARE: f64 = 0.85;
/// The share of the bound that remains for a removed target when its removal is known late.
const REMOVAL_SHARE: f64 = 0.25;
/// The share of the bound after which the nodes that watch by themselves double in number.
const TAKEOVER_STEP_SHARE: f64 = 0.02;
/// The longest pause after a change, as a share of the bound.
const BATCH_SHARE: f64 = 0.15;
/// The number of usual answer times that an answer may take: the store may be slow for all.
const SLOW_ANSWER_FACTOR: f64 = 2.0;
/// The longest grace of an answer.
const MAX_GRACE: TimeSpan = TimeSpan::from_secs(1);
/// The shortest bound that is followed; the waits of a shorter one would flood the store with calls.
const MIN_BOUND: TimeSpan = TimeSpan::from_millis(500);

/// Times of the calls that follow one kind of object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchTiming {
    bound: TimeSpan,
}

impl WatchTiming {
    /// Creates the times for changes that must be in force on all nodes within `bound`.
    #[must_use]
    pub fn new(bound: TimeSpan) -> Self {
        Self {
            bound: bound.max(MIN_BOUND),
        }
    }

    /// Returns how long a watch call waits for a change. `pause` is the time since the store's previous
    /// answer.
    #[must_use]
    pub fn watch_wait(self, pause: TimeSpan) -> TimeSpan {
        self.share(ANSWER_SHARE).saturating_sub(pause)
    }

    /// Returns the time after the end of its wait in which a watch must be answered. `usual_time` is
    /// that of the store's latest answer to a call without a wait.
    #[must_use]
    pub fn answer_grace(self, usual_time: TimeSpan) -> TimeSpan {
        let slow_time = usual_time.mul_f64(SLOW_ANSWER_FACTOR).min(MAX_GRACE);
        self.share(GRACE_SHARE).min(MAX_GRACE).max(slow_time)
    }

    /// Returns the pause after a change, so that the next call returns several; at most `limit`.
    #[must_use]
    pub fn batch_pause(self, limit: TimeSpan) -> TimeSpan {
        self.share(BATCH_SHARE).min(limit)
    }

    /// Returns the age of the store's latest known answer to any node from which on a node that is not
    /// assigned watches by itself.
    #[must_use]
    pub fn stale_after(self) -> TimeSpan {
        self.share(STALE_SHARE)
    }

    /// Returns the time after which the nodes that watch by themselves double in number.
    #[must_use]
    pub fn takeover_step(self) -> TimeSpan {
        self.share(TAKEOVER_STEP_SHARE)
    }

    /// Returns the age of the store's latest known answer to any node from which on the store itself was
    /// away.
    #[must_use]
    pub fn outage_after(self) -> TimeSpan {
        self.share(OUTAGE_SHARE)
    }

    /// Returns how long a removed target may be used once its removal is known, at the latest moment
    /// at which it becomes known.
    #[must_use]
    pub fn removal_grace(self) -> TimeSpan {
        self.share(REMOVAL_SHARE)
    }

    fn share(self, share: f64) -> TimeSpan {
        self.bound.mul_f64(share)
    }
}
