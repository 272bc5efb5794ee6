//! What the configuration says of a service.

use serde::{Deserialize, Serialize};

use crate::warmup_rule::WarmupRule;

/// A `ServiceRule` holds what all servers of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The connections that one server accepts from all nodes together.
    pub max_connections: usize,
    /// What a cold server tolerates; none where it tolerates any load.
    pub warmup: Option<WarmupRule>,
}
