//! Limit of one team over all fronts together.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::team::TeamPolicy;
use serde::{Deserialize, Serialize};

/// Rate and burst that a team may use over all fronts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLimit {
    /// Sustained rate of requests.
    pub rate: RatePerSecond,
    /// Requests that may run at once beyond the rate.
    pub burst: f64,
}

impl TeamLimit {
    /// Returns the limit that a policy states, or `None` if the team is not limited.
    #[must_use]
    pub fn of_policy(policy: &TeamPolicy) -> Option<Self> {
        let rate = policy.max_rate?;
        (rate.per_second() > 0.0).then(|| Self {
            rate,
            burst: policy.burst.unwrap_or_default(),
        })
    }
}
