//! Settings of a service.

use serde::{Deserialize, Serialize};

use crate::warmup_rule::WarmupRule;

/// Settings that apply to every server of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// Connections that one server accepts from all nodes together.
    pub max_connections: usize,
    /// Load limit of a cold server, or `None` if a cold server takes any load.
    pub warmup: Option<WarmupRule>,
}
