//! What the configuration says of a service.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A `ServiceRule` holds what all servers of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The connections that one server accepts from all nodes together.
    pub max_connections: usize,
    /// What a cold server tolerates; none where it tolerates any load.
    pub warmup: Option<WarmupRule>,
}

/// A `WarmupRule` says how a server is to be loaded after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupRule {
    /// How long a server stays cold.
    pub span: TimeSpan,
    /// The requests a second that a cold server tolerates from all nodes together.
    pub rate: RatePerSecond,
}
