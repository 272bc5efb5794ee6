//! Which relay an attempt goes through.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use alderhaven_core::ids::TargetId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_policy::subset::{RelayCandidate, RelaySubsets, SubsetOptions, SubsetTarget};
use arc_swap::ArcSwap;
use smallvec::SmallVec;

use crate::relay_link::{LinkParts, RelayLink};

/// A `KnownRelay` is a relay that takes work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRelay {
    /// The relay and its failure domain.
    pub candidate: RelayCandidate,
    /// Where it takes attempts.
    pub address: SocketAddr,
}

type TargetLinks = SmallVec<[Arc<RelayLink>; 4]>;

/// A `RelayRoutes` holds the links to relays, and for each target the relays that reach it.
///
/// All entries choose alike, so that one relay sees all the work for a target and its few slots are
/// shared out in one place. While entries disagree for a moment, a target is reached through two.
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
    /// Returns routes without relays.
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

    /// Takes over the relays that take work; links to those that stay are kept.
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

    /// Takes over the targets of manifests.
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

    /// Gets the links.
    #[must_use]
    pub fn links(&self) -> Arc<Vec<Arc<RelayLink>>> {
        self.links.load_full()
    }

    /// Gets the first usable relay of a target.
    ///
    /// A target that no manifest of this entry names any more has no relay.
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
