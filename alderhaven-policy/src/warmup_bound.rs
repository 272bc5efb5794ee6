//! The bound on what all nodes together send to a cold target.

use serde::{Deserialize, Serialize};

/// A `WarmupBound` is how far all nodes together may exceed what a cold target tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmupBound {
    /// The factor by which they may exceed the rate.
    pub overshoot: f64,
    /// The requests in a second that they may send beyond that.
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
