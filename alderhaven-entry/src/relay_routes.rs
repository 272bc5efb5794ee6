//! Chooses the relays through which each target is reached.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use alderhaven_core::ids::TargetId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_policy::subset::{RelayCandidate, RelaySubsets, SubsetOptions, SubsetTarget};
use arc_swap::ArcSwap;
use smallvec::SmallVec;

use crate::relay_link::{LinkParts, RelayLink};

/// A relay that accepts attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRelay {
    /// Id and failure domain of the relay.
    pub candidate: RelayCandidate,
    /// Address for attempts.
    pub address: SocketAddr,
}

type TargetLinks = SmallVec<[Arc<RelayLink>; 4]>;

/// Links to relays, and the relays of each target.
///
/// All entries choose the same relays for a target, so that one relay sees all attempts and shares
/// out the target's slots. While entries disagree after a change, a target may be reached through
/// two.
#[derive(Debug)]
pub struct RelayRoutes {
    options: SubsetOptions,
    links: ArcSwap<Vec<Arc<RelayLink>>>,
    routes: ArcSwap<HashMap<TargetId, TargetLinks>>,
    inputs: Mutex<RoutingInputs>,
    parts: LinkParts,
}

#[derive(Debug, Default)]
struct RoutingInputs {
    relays: Vec<KnownRelay>,
    targets: Vec<SubsetTarget>,
}

impl RelayRoutes {
    /// Creates routes without any relay or target.
    #[must_use]
    pub fn new(parts: LinkParts) -> Self {
        Self {
            options: SubsetOptions::default(),
            links: ArcSwap::default(),
            routes: ArcSwap::default(),
            inputs: Mutex::default(),
            parts,
        }
    }

    /// Sets the working relays. Links to relays that remain are kept open.
    pub fn set_relays(&self, relays: Vec<KnownRelay>) {
        let mut known = self.inputs.lock().unwrap_or_else(PoisonError::into_inner);
        if known.relays == relays {
            return;
        }
        let current_links = self.links.load_full();
        let links: Vec<Arc<RelayLink>> = relays
            .iter()
            .map(|relay| {
                current_links
                    .iter()
                    .find(|link| link.address() == relay.address)
                    .cloned()
                    .unwrap_or_else(|| {
                        Arc::new(RelayLink::start(relay.address, self.parts.clone()))
                    })
            })
            .collect();
        known.relays = relays;
        self.links.store(Arc::new(links));
        self.choose_routes(&known);
    }

    /// Sets the targets from the manifests, and chooses their relays.
    pub fn apply(&self, manifests: &[Arc<SnapshotManifest>]) {
        let mut known = self.inputs.lock().unwrap_or_else(PoisonError::into_inner);
        known.targets = manifests
            .iter()
            .flat_map(|manifest| &manifest.shards)
            .flat_map(|entry| &entry.replicas)
            .map(|replica| SubsetTarget {
                target: replica.target.clone(),
                max_connections: replica.connections,
            })
            .collect();
        self.choose_routes(&known);
    }

    /// Returns all links, in the order of the relays.
    #[must_use]
    pub fn links(&self) -> Arc<Vec<Arc<RelayLink>>> {
        self.links.load_full()
    }

    /// Returns the first usable relay of a target.
    ///
    /// `None` if no relay is usable, or if no applied manifest lists the target.
    #[must_use]
    pub fn route(&self, target: &TargetId) -> Option<Arc<RelayLink>> {
        self.routes
            .load()
            .get(target)?
            .iter()
            .find(|link| link.is_usable())
            .cloned()
    }

    fn choose_routes(&self, known: &RoutingInputs) {
        let candidates: Vec<RelayCandidate> = known
            .relays
            .iter()
            .map(|relay| relay.candidate.clone())
            .collect();
        let subsets = RelaySubsets::choose(&known.targets, &candidates, &self.options);
        let links = self.links.load();
        let by_node: HashMap<_, _> = known
            .relays
            .iter()
            .map(|relay| &relay.candidate.node)
            .zip(links.iter())
            .collect();
        let routes = known
            .targets
            .iter()
            .map(|target| {
                let relays = subsets.relays_of(&target.target);
                let links = relays
                    .iter()
                    .filter_map(|node| by_node.get(node).map(|link| Arc::clone(link)))
                    .collect();
                (target.target.clone(), links)
            })
            .collect();
        self.routes.store(Arc::new(routes));
    }
}
