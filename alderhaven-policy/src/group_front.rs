//! A front of the group.

use alderhaven_core::ids::{FailureDomain, NodeId};

/// A live front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupFront {
    /// The id of the front.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
}
