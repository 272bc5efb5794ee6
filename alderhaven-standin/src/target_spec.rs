//! What a target is: place, capacity and run times.

use alderhaven_core::ids::{FailureDomain, IndexVersion, ServiceName, ShardId, TargetId};
use alderhaven_core::time::TimeSpan;

use crate::service_time::ServiceTime;

/// A `TargetSpec` is what a target is.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// The target.
    pub target: TargetId,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The service.
    pub service: ServiceName,
    /// The shard that it holds at its start.
    pub shard: ShardId,
    /// The index version that it holds at its start.
    pub version: IndexVersion,
    /// The attempts that it runs at a time.
    pub slots: u32,
    /// The connections that it takes.
    pub connections: u32,
    /// The attempts that it lets wait for a slot.
    pub max_queue_length: u32,
    /// What a new connection costs before its first reply.
    pub connect_cost: TimeSpan,
    /// How long a run takes.
    pub service_time: ServiceTime,
    /// The seed of the run times.
    pub seed: u64,
}
