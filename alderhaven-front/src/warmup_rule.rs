//! Warm-up settings of a service.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Load limit of a target after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupRule {
    /// How long a target stays cold after its start.
    pub span: TimeSpan,
    /// Requests per second that a cold target tolerates from all nodes together.
    pub rate: RatePerSecond,
}
