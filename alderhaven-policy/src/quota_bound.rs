//! Bound on the requests of a team that all fronts together may run beyond its limit.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::grant_limit::GrantLimit;
use crate::team_limit::TeamLimit;

/// Shortest lifetime of credit, which covers a few round trips between fronts.
const MIN_CREDIT_LIFETIME: TimeSpan = TimeSpan::from_millis(100);

/// Part of the slack by which buckets hold more than the burst, so that a part of the group also
/// holds whole requests of a team with a small burst.
const SLACK_IN_BUCKETS: f64 = 0.35;

/// Part of the slack that fronts use when the pool grants nothing. With less, a sixth of the group
/// holds no whole request at a slack of 20.
const SLACK_IN_RESERVE: f64 = 0.4;

/// Windows in which the reserve is refilled.
const RESERVE_WINDOWS: f64 = 4.0;

/// Requests of a team in a front's reserve at its start, at most. The process before may have used
/// its whole reserve in the same window.
const MAX_START_RESERVE: f64 = 1.0;

/// In any `window`, the fronts run at most `(rate * window + burst) * (1 + overshoot) + slack` requests
/// of a team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaBound {
    /// Length of the window.
    pub window: TimeSpan,
    /// Part by which the limit may be exceeded.
    pub overshoot: f64,
    /// Requests that may run in a window in addition.
    pub slack: f64,
}

impl Default for QuotaBound {
    /// A strict bound, for deployments that state none.
    fn default() -> Self {
        Self {
            window: TimeSpan::from_secs(1),
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

impl QuotaBound {
    /// Returns how long granted credit may be used, counted from the query.
    #[must_use]
    pub fn credit_lifetime(&self) -> TimeSpan {
        let lifetime = self.window.mul_f64(self.overshoot.max(0.0));
        lifetime.max(MIN_CREDIT_LIFETIME)
    }

    /// Returns the limit by which all pools together grant credit of a team.
    ///
    /// Credit of one window may be used in the next one for as long as it is valid. If that is longer
    /// than the overshoot allows, the rate is reduced.
    #[must_use]
    pub fn grant_limit(&self, limit: TeamLimit) -> GrantLimit {
        let window = self.window.as_secs_f64();
        let reach = window + self.credit_lifetime().as_secs_f64();
        let factor = (window * (1.0 + self.overshoot.max(0.0)) / reach).min(1.0);
        GrantLimit {
            rate: limit.rate.per_second() * factor,
            capacity: limit.burst + self.slack * SLACK_IN_BUCKETS,
        }
    }

    /// Returns the limit on what all fronts together run of a team without credit of a pool.
    #[must_use]
    pub fn reserve_limit(&self) -> GrantLimit {
        let capacity = self.slack * SLACK_IN_RESERVE;
        let refill_time = self.window.as_secs_f64() * RESERVE_WINDOWS;
        GrantLimit {
            rate: capacity / refill_time.max(1e-3),
            capacity,
        }
    }

    /// Returns the requests of a team in the reserve of a front that has held a share since its start.
    #[must_use]
    pub fn start_reserve(&self, share: f64) -> f64 {
        (self.reserve_limit().capacity * share).min(MAX_START_RESERVE)
    }

    /// Returns the limit on what one front runs of a team by its own configuration.
    ///
    /// Credit that was granted at the limit's rate may be used up to its lifetime later.
    #[must_use]
    pub fn front_limit(&self, limit: TeamLimit) -> GrantLimit {
        let grants = self.grant_limit(limit);
        let late = grants.rate * self.credit_lifetime().as_secs_f64();
        GrantLimit {
            capacity: (grants.capacity + late).max(1.0),
            ..grants
        }
    }
}
