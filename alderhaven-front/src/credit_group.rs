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

    /// Creates the look-up of a front that is part of a group.
    #[must_use]
    pub fn of_node(catalog: Arc<Catalog>, group: NodeGroup) -> Self {
        let sizes = Arc::clone(&catalog);
        Self::new(
            move || catalog.share().repeat_share(),
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
