//! What a starting node knows of its group.

/// What a starting node knows of the other nodes of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartView {
    /// Whether the node knows another node that is alive.
    pub knows_peers: bool,
    /// Whether the node is among the first of the known nodes in the group's order.
    pub is_among_first: bool,
    /// Whether a known node reports that the store does not answer it.
    pub has_peer_lost_store: bool,
}
