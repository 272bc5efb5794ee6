//! Order in which fronts choose the pool.

use alderhaven_core::ids::NodeId;

use crate::hashing;

/// A live front that may be the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolCandidate {
    /// The front.
    pub node: NodeId,
    /// Whether its host is large compared with the largest one alive.
    pub is_large: bool,
}

/// Sorts candidates in the order that all fronts compute alike: large hosts first, which serve most
/// of the callers and have the processor time for the queries of the group.
pub fn sort_candidates(candidates: &mut [PoolCandidate]) {
    candidates.sort_by_cached_key(|candidate| {
        let hash = hashing::hash_name(candidate.node.as_str());
        (!candidate.is_large, hash, candidate.node.clone())
    });
}
