//! How many queries over one set of shards a front may have in flight: found, not configured.
//!
//! Load pattern: how much the targets carry is unknown to a front. Other fronts ask them too, targets
//! turn slow or leave, and long queries mix with short ones.
//!
//! Without it: under more load than the targets carry each query gets most of its shards in time and
//! none gets enough of them; the targets are busy all the while, and nobody is answered.
//!
//! The limit follows one figure of each query: the part of its time that passed until enough shards
//! were in. That figure counts the queues of the targets, the way and the front's own work at once,
//! and a shard or two that a query can do without don't move it. Fronts of unequal load meet the same
//! queues, so that they close and open alike without asking each other.
//!
//! It falls by a share and rises by an amount, so that the limits of several fronts draw level (Chiu
//! and Jain, 1989). A query moves it by its part of a round only, because what the limit is now shows
//! after a round of queries.

use serde::Serialize;

/// The limit before anything is known: more than a calm load has in flight, and few enough that a
/// front which starts in the midst of overload finds the right limit within some hundred milliseconds.
const INITIAL_LIMIT: f64 = 8.0;

/// The least limit: with fewer in flight too little is learnt to notice that there is room again.
const MIN_LIMIT: f64 = 2.0;

/// The greatest limit. Dozens of queries in flight at one front are more than its processor share
/// works off within a latency target.
const MAX_LIMIT: f64 = 64.0;

/// The part of a query's time that should pass until enough shards are in. What is left covers the
/// spread between queries and a short wait for admission.
const DESIRED_TIME_SHARE: f64 = 0.7;

/// The greatest fall in a round, as a share of the limit.
const MAX_DECREASE_SHARE: f64 = 0.25;

/// The greatest rise in a round, in queries.
const MAX_INCREASE_QUERIES: f64 = 1.0;

/// The part of the limit above which it counts as used.
const MIN_USED_SHARE: f64 = 0.7;

/// A `QueryNeed` is what a query that ended says of the room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuerySignal {
    /// Enough shards were in after this part of its time.
    EnoughShards(f64),
    /// Its time passed while targets were full or had not answered.
    TimedOut,
    /// It ended for a reason that says nothing of the room, such as targets that are gone.
    Uninformative,
}

/// A `RoomLimit` follows how many queries may be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConcurrencyLimit {
    limit: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
        }
    }
}

impl ConcurrencyLimit {
    /// Gets the limit.
    #[must_use]
    pub const fn get(&self) -> f64 {
        self.limit
    }

    /// Returns true where one more query fits beside those in flight, which may use this share of the
    /// limit.
    #[must_use]
    pub fn fits(&self, in_flight: usize, share: f64) -> bool {
        (in_flight as f64) < self.limit * share
    }

    /// Notes a query that ended while `in_flight` were in flight, itself included.
    pub fn record_finished(&mut self, signal: QuerySignal, in_flight: usize) {
        let adjustment = match signal {
            QuerySignal::EnoughShards(time_share) => {
                ((DESIRED_TIME_SHARE - time_share) / DESIRED_TIME_SHARE).clamp(-1.0, 1.0)
            }
            QuerySignal::TimedOut => -1.0,
            QuerySignal::Uninformative => return,
        };
        let is_used = in_flight as f64 >= MIN_USED_SHARE * self.limit;
        // Of a round of `limit` queries each moves it by its part.
        let step = if adjustment < 0.0 {
            adjustment * MAX_DECREASE_SHARE
        } else if is_used {
            adjustment * MAX_INCREASE_QUERIES / self.limit
        } else {
            0.0
        };
        self.limit = (self.limit + step).clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
