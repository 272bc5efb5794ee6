//! The settings of a front.

use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::front_choice::FrontChoiceOptions;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::membership::member_record::CpuCapacity;
use alderhaven_policy::repeat_budget::RepeatOptions;
use alderhaven_policy::warmup_bound::WarmupBound;

use crate::front_context::RequestOptions;

/// `FrontOptions` are all that a front is told at its start.
#[derive(Clone, Debug, bon::Builder)]
pub struct FrontOptions {
    /// The node's name.
    pub node: NodeId,
    /// The host.
    pub host: HostId,
    /// The failure domain.
    pub domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where callers ask for fronts.
    pub directory_address: SocketAddr,
    /// Where the front says whether it is ready.
    pub ready_address: SocketAddr,
    /// Where nodes gossip and exchange what they know.
    pub gossip_address: SocketAddr,
    /// Where fronts of other failure domains ask for attempts at targets.
    pub group_address: SocketAddr,
    /// Where the metrics are read, where they are served at all.
    pub metrics_address: Option<SocketAddr>,
    /// The processor time that the process may use.
    pub capacity: CpuCapacity,
    /// Nodes to join by.
    pub seeds: Vec<SocketAddr>,
    /// How the node starts.
    #[builder(default)]
    pub start: GroupStart,
    /// The longest that a planned stop may take.
    pub stop_limit: TimeSpan,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: TimeSpan,
    /// The rule for repeats.
    pub repeats: RepeatOptions,
    /// How far all nodes together may exceed what a cold target tolerates.
    #[builder(default)]
    pub warmup: WarmupBound,
    /// Whether operators evacuate failure domains through the store.
    #[builder(default)]
    pub has_evacuations: bool,
    /// The settings of requests.
    #[builder(default)]
    pub requests: RequestOptions,
    /// The settings of the directory's choice.
    #[builder(default)]
    pub choice: FrontChoiceOptions,
}
