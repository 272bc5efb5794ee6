//! Settings of the relay connections.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// How often relay connections are checked, and when a silent one is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkOptions {
    /// Interval between pings.
    pub ping_every: TimeSpan,
    /// Time without any message after a ping, until the connection is replaced. Zero disables this.
    /// It should span several pings and leave time for a retry within the templates' deadlines.
    pub max_silence: TimeSpan,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            ping_every: TimeSpan::from_millis(250),
            max_silence: TimeSpan::from_secs(1),
        }
    }
}
