//! Bound on the requests that all nodes together send to a cold target.

use serde::{Deserialize, Serialize};

/// How far all nodes together may exceed the request rate that a cold target tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmupBound {
    /// The factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// The requests per second that may be sent in addition.
    pub slack: f64,
}

impl Default for WarmupBound {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}
