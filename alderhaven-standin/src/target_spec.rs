//! Identity, capacity and run times of a target.

use alderhaven_core::ids::{FailureDomain, IndexVersion, ServiceName, ShardId, TargetId};
use alderhaven_core::time::TimeSpan;

use crate::service_time::ServiceTime;

/// Fixed properties of a target, derived from the layout of its service.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name of the target.
    pub target: TargetId,
    /// Failure domain that the target belongs to.
    pub domain: FailureDomain,
    /// Service whose data the target holds.
    pub service: ServiceName,
    /// Shard at the start.
    pub shard: ShardId,
    /// Index version at the start.
    pub version: IndexVersion,
    /// Attempts that run concurrently.
    pub slots: u32,
    /// Connections that are accepted; further ones are closed.
    pub connections: u32,
    /// Attempts that may wait for a slot; further ones are shed.
    pub max_queue_length: u32,
    /// Delay of the first reply on a new connection.
    pub connect_cost: TimeSpan,
    /// Distribution of the run times.
    pub service_time: ServiceTime,
    /// Seed of the run times, different for each target.
    pub seed: u64,
}
