//! The settings of the lanes to targets.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::relay_queue::RelayQueueOptions;
use alderhaven_policy::target_limit::TargetLimitOptions;

/// A `LaneOptions` holds what all lanes of a relay have in common.
#[derive(Clone, Debug, Default)]
pub struct DispatchOptions {
    /// The decisions to run.
    pub policy: PolicyKind,
    /// The settings of the queues.
    pub queue: RelayQueueOptions,
    /// The settings of the limits.
    pub limit: TargetLimitOptions,
    /// The look-out for silent connections.
    pub health: HealthOptions,
    /// The time within which a connection to a target is made.
    pub connect_timeout: TimeSpan,
}
