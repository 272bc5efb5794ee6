//! Settings of the dispatchers to targets.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::relay_queue::RelayQueueOptions;
use alderhaven_policy::target_limit::TargetLimitOptions;

/// Settings that all dispatchers of a relay share.
#[derive(Clone, Debug, Default)]
pub struct DispatchOptions {
    /// Whether the current policy decides, or the baseline for comparison.
    pub policy: PolicyKind,
    /// Settings of each target's queue.
    pub queue: RelayQueueOptions,
    /// Settings of each target's concurrency limit.
    pub limit: TargetLimitOptions,
    /// Detection of silent connections.
    pub health: HealthOptions,
    /// Longest time to open a connection to a target.
    pub connect_timeout: TimeSpan,
}
