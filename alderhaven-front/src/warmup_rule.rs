//! What the configuration says of cold servers.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A `WarmupRule` says how a server is to be loaded after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupRule {
    /// How long a server stays cold.
    pub span: TimeSpan,
    /// The requests a second that a cold server tolerates from all nodes together.
    pub rate: RatePerSecond,
}
