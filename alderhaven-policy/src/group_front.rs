//! A front of the group.

use alderhaven_core::ids::{FailureDomain, HostId, NodeId};

/// A live front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupFront {
    /// The id of the front.
    pub node: NodeId,
    /// The host on which it runs.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
}
