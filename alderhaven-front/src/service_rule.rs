//! Settings of a service.

use serde::{Deserialize, Serialize};

use crate::warmup_rule::WarmupRule;

/// Settings that apply to every target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// Connections that one target accepts from all nodes together.
    pub max_connections: usize,
    /// Load limit of a cold target, or `None` if a cold target takes any load.
    pub warmup: Option<WarmupRule>,
}
