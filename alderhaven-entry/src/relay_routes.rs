//! Which relay an attempt goes through.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::TargetId;
use arc_swap::ArcSwap;

use crate::relay_link::{LinkParts, RelayLink};

/// A `RelayRoutes` holds the links to relays and picks one for a target by rendezvous hashing.
///
/// All entries pick alike, so that one relay sees all the work for a target and its few slots are
/// shared out in one place.
#[derive(Debug)]
pub struct RelayRoutes {
    links: ArcSwap<Vec<Arc<RelayLink>>>,
    parts: LinkParts,
}

impl RelayRoutes {
    /// Returns routes without relays.
    #[must_use]
    pub fn new(parts: LinkParts) -> Self {
        Self {
            links: ArcSwap::default(),
            parts,
        }
    }

    /// Makes the links those to `relays`, keeping the ones that exist.
    pub fn set_relays(&self, relays: &[SocketAddr]) {
        let known = self.links.load_full();
        let links = relays
            .iter()
            .map(|address| {
                known
                    .iter()
                    .find(|link| link.address() == *address)
                    .cloned()
                    .unwrap_or_else(|| Arc::new(RelayLink::start(*address, self.parts.clone())))
            })
            .collect();
        self.links.store(Arc::new(links));
    }

    /// Gets the links.
    #[must_use]
    pub fn links(&self) -> Arc<Vec<Arc<RelayLink>>> {
        self.links.load_full()
    }

    /// Picks the usable relay with the highest hash for a target.
    #[must_use]
    pub fn route(&self, target: &TargetId) -> Option<Arc<RelayLink>> {
        self.links
            .load()
            .iter()
            .filter(|link| link.is_usable())
            .max_by_key(|link| rendezvous_weight(target, link.address()))
            .cloned()
    }
}

fn rendezvous_weight(target: &TargetId, relay: SocketAddr) -> u64 {
    let hash = blake3::hash(format!("{target}/{relay}").as_bytes());
    let mut head = [0_u8; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
