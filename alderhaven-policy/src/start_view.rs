//! What a node that starts knows of its group.

/// A `StartView` is what a node that starts knows of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartView {
    /// Whether it knows of any other that is alive.
    pub knows_peers: bool,
    /// Whether it is among the first in the order of those that it knows.
    pub is_among_first: bool,
    /// Whether one of them has said that the store does not answer it.
    pub has_peer_lost_store: bool,
}
