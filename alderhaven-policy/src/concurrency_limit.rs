//! Adaptive limit on the queries that a front has in flight for one set of shards.
//!
//! The limit follows the share of its time that a query needs until enough shards have answered,
//! which covers the targets' queues, the network and the front's own work. It increases additively
//! and decreases multiplicatively, so that several fronts converge without coordination (Chiu and
//! Jain, 1989). Each query applies its part of a round, since a changed limit shows only after a
//! round.

use serde::Serialize;

/// Limit before the first query has ended, in queries. It is above what a light load has in flight,
/// and low enough that a front which starts during overload converges within some hundred ms.
const INITIAL_LIMIT: f64 = 8.0;

/// Smallest limit, in queries; fewer would give too few samples to notice that capacity has
/// returned.
const MIN_LIMIT: f64 = 2.0;

/// Largest limit, in queries; more than a front's processor share can handle within a latency
/// target.
const MAX_LIMIT: f64 = 64.0;

/// Share of a query's time that should pass until enough shards have answered. The rest covers the
/// variance between queries and a short wait for admission.
const DESIRED_TIME_SHARE: f64 = 0.7;

/// Largest decrease in a round, as a share of the limit.
const MAX_DECREASE_SHARE: f64 = 0.25;

/// Largest increase in a round, in queries.
const MAX_INCREASE_QUERIES: f64 = 1.0;

/// Share of the limit that must be in use for the limit to increase.
const MIN_USED_SHARE: f64 = 0.7;

/// What a finished query reveals about the capacity of its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuerySignal {
    /// Enough shards had answered after this share of the query's time.
    EnoughShards(f64),
    /// The query timed out because targets were full or had not answered.
    TimedOut,
    /// The query ended for a reason unrelated to capacity, such as lost targets.
    Uninformative,
}

/// Current limit; fractions accumulate between queries.
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
    /// Returns the limit in queries.
    #[must_use]
    pub const fn get(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit to a query that ended while `in_flight` were running, itself included.
    pub fn record_finished(&mut self, signal: QuerySignal, in_flight: usize) {
        let adjustment = match signal {
            QuerySignal::EnoughShards(time_share) => {
                ((DESIRED_TIME_SHARE - time_share) / DESIRED_TIME_SHARE).clamp(-1.0, 1.0)
            }
            QuerySignal::TimedOut => -1.0,
            QuerySignal::Uninformative => return,
        };
        let is_used = in_flight as f64 >= MIN_USED_SHARE * self.limit;
        // A round is `limit` queries, and each of them applies its part.
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
