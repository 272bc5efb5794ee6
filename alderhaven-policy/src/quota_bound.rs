//! Bound on the requests of a team that all fronts together may run beyond its limit.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

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
