//! The settings of a front.

use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_lease::LeaseOptions;
use alderhaven_policy::front_choice::FrontChoiceOptions;
use alderhaven_policy::group_front::GroupFront;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::host_budget::HostResources;
use alderhaven_policy::membership::member_record::CpuCapacity;
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::repeat_budget::RepeatOptions;
use alderhaven_policy::store_bounds::StoreBounds;
use alderhaven_policy::store_watch_plan::MIN_WATCHERS;
use alderhaven_policy::warmup_bound::WarmupBound;

use crate::front_context::RequestOptions;

/// Everything that a front needs to start.
#[derive(Clone, Debug, bon::Builder)]
pub struct FrontOptions {
    /// The id of this node.
    pub node: NodeId,
    /// The host on which the front runs.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// Serves callers' requests. Without it, the node only answers directory queries: it isn't named
    /// to callers and takes no share of the group's limits.
    pub caller_address: Option<SocketAddr>,
    /// Serves directory queries, if this node answers them.
    pub directory_address: Option<SocketAddr>,
    /// Serves readiness probes, if the node is probed.
    pub ready_address: Option<SocketAddr>,
    /// Serves gossip and object exchange between nodes.
    pub gossip_address: SocketAddr,
    /// Serves group requests of fronts in other failure domains.
    pub group_address: SocketAddr,
    /// Serves metrics and status, if set.
    pub metrics_address: Option<SocketAddr>,
    /// The memory and descriptors available to the process.
    #[builder(default)]
    pub resources: HostResources,
    /// The processor time available to the process.
    pub capacity: CpuCapacity,
    /// Gossip addresses of nodes through which to join the group.
    pub seeds: Vec<SocketAddr>,
    /// Whether the node or the whole group starts for the first time.
    #[builder(default)]
    pub start: GroupStart,
    /// The longest time that a drain may take.
    pub stop_limit: TimeSpan,
    /// How long callers may cache a directory answer.
    pub directory_ttl: TimeSpan,
    /// The group-wide budget for hedges and retries.
    pub repeats: RepeatOptions,
    /// How far all nodes together may exceed the request rate that a cold target tolerates.
    #[builder(default)]
    pub warmup: WarmupBound,
    /// The times within which changes in the store must be in force on all nodes.
    #[builder(default)]
    pub store_bounds: StoreBounds,
    /// The number of nodes that watch the store for all.
    #[builder(default = MIN_WATCHERS)]
    pub store_watchers: usize,
    /// Whether the store keeps evacuations of failure domains.
    #[builder(default)]
    pub has_evacuations: bool,
    /// Settings of the lease on the configuration.
    #[builder(default)]
    pub lease: LeaseOptions,
    /// How far all nodes together may exceed the limit of a team.
    #[builder(default)]
    pub quota: QuotaBound,
    /// Settings of request handling.
    #[builder(default)]
    pub requests: RequestOptions,
    /// Settings of the directory's choice of fronts.
    #[builder(default)]
    pub choice: FrontChoiceOptions,
}

/// The capacity of a node that serves no callers. It is the smallest one that is known, so that the
/// node's share of limits is negligible.
const CALLERLESS_CAPACITY: CpuCapacity = CpuCapacity(1);

impl FrontOptions {
    /// Gets the place of this node in the group.
    #[must_use]
    pub fn group_front(&self) -> GroupFront {
        GroupFront {
            node: self.node.clone(),
            host: self.host.clone(),
            domain: self.domain.clone(),
        }
    }

    /// Gets the capacity by which the node takes part in shared limits.
    #[must_use]
    pub const fn group_capacity(&self) -> CpuCapacity {
        match self.caller_address {
            Some(_) => self.capacity,
            None => CALLERLESS_CAPACITY,
        }
    }
}
