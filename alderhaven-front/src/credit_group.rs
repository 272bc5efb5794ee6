//! What the keeper of credit knows of the other fronts.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::pool_order::PoolCandidate;

use crate::catalog::Catalog;

type ShareLookup = Box<dyn Fn() -> f64 + Send + Sync>;
type PeerLookup = Box<dyn Fn() -> Vec<PoolPeer> + Send + Sync>;

/// A front that may be the pool, and where it receives control messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolPeer {
    /// The front.
    pub candidate: PoolCandidate,
    /// Address of its control socket.
    pub address: SocketAddr,
}

/// Looks up the own share of all limits and the live fronts.
pub struct CreditGroup {
    share: ShareLookup,
    peers: PeerLookup,
}

impl CreditGroup {
    /// Creates the look-up from the own share and the live fronts, this one included.
    #[must_use]
    pub fn new(
        share: impl Fn() -> f64 + Send + Sync + 'static,
        peers: impl Fn() -> Vec<PoolPeer> + Send + Sync + 'static,
    ) -> Self {
        Self {
            share: Box::new(share),
            peers: Box::new(peers),
        }
    }

    /// Creates the look-up of a front that is part of a group. `has_seeds` tells whether its settings
    /// name other nodes.
    #[must_use]
    pub fn of_node(catalog: Arc<Catalog>, group: NodeGroup, has_seeds: bool) -> Self {
        let sizes = Arc::clone(&catalog);
        Self::new(
            move || known_share(catalog.share().repeat_share(), has_seeds),
            move || live_peers(&sizes, &group),
        )
    }

    /// Returns the own share of all limits.
    #[must_use]
    pub fn share(&self) -> f64 {
        (self.share)()
    }

    /// Returns the live fronts.
    #[must_use]
    pub fn peers(&self) -> Vec<PoolPeer> {
        (self.peers)()
    }
}

/// Returns the share that a front may use. One that starts cut off from all others computes the whole
/// limit as its share, which the others still use: it gets none until it has seen another front.
#[must_use]
pub fn known_share(share: f64, has_seeds: bool) -> f64 {
    if has_seeds && share >= 1.0 {
        0.0
    } else {
        share
    }
}

fn live_peers(catalog: &Catalog, group: &NodeGroup) -> Vec<PoolPeer> {
    let share = catalog.share();
    let members = group.members();
    let live = members.iter().filter(|member| member.state.takes_work());
    let peers = live.filter_map(|member| {
        Some(PoolPeer {
            candidate: PoolCandidate {
                node: member.record.node.clone(),
                is_large: share.is_large_host(member.record.capacity),
            },
            address: member.record.peer_address?,
        })
    });
    peers.collect()
}

impl fmt::Debug for CreditGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("CreditGroup");
        output.field("share", &self.share());
        output.finish_non_exhaustive()
    }
}
