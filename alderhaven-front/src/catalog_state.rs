//! What the catalog knows, and the views that are built from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::group_share::GroupShare;
use alderhaven_policy::repeat_budget::{RepeatBudget, RepeatOptions};
use alderhaven_policy::store_watch_plan::StoreContact;

use crate::catalog_view::{CatalogView, LiveRoute};
use crate::route_state::RouteState;
use crate::routing_config::RoutingConfig;
use crate::service_targets::ServiceTargets;
use crate::target_handle::{TargetHandle, TargetStanding};

/// The parts into which a target's cap of connections is divided: one for the nodes as they are, and
/// one for the connections that a target still counts of nodes which lost power and are back.
const CAP_PARTS: f64 = 2.0;

/// The kinds that the store keeps; words about contacts go among the nodes only.
pub(crate) const STORE_KINDS: [ObjectKind; 2] = [ObjectKind::Routing, ObjectKind::Target];

/// A `CatalogState` is all that is known, behind the catalog's lock.
pub(crate) struct CatalogState {
    pub(crate) objects: BTreeMap<ObjectKey, StoredObject>,
    /// Whether a peer which knew all objects has told them.
    pub(crate) is_told: bool,
    /// The kinds that the store has listed, empty or not.
    pub(crate) listed_kinds: BTreeSet<ObjectKind>,
    pub(crate) routing: Option<Arc<RoutingConfig>>,
    pub(crate) route_states: HashMap<String, Arc<RouteState>>,
    pub(crate) targets: BTreeMap<String, Arc<TargetHandle>>,
    pub(crate) budgets: HashMap<String, Arc<Mutex<RepeatBudget>>>,
    pub(crate) contacts: BTreeMap<NodeId, StoreContact>,
    pub(crate) share: GroupShare,
    /// The rule for repeats where it has changed since the start.
    pub(crate) repeats: Option<RepeatOptions>,
}

impl CatalogState {
    /// Returns a state in which nothing is known.
    pub(crate) fn new(share: GroupShare) -> Self {
        Self {
            objects: BTreeMap::new(),
            is_told: false,
            listed_kinds: BTreeSet::new(),
            routing: None,
            route_states: HashMap::new(),
            targets: BTreeMap::new(),
            budgets: HashMap::new(),
            contacts: BTreeMap::new(),
            share,
            repeats: None,
        }
    }

    /// Returns true where all objects are known.
    pub fn is_listed(&self) -> bool {
        let is_known = |kind| self.listed_kinds.contains(kind);
        self.is_told || STORE_KINDS.iter().all(is_known)
    }

    /// Builds the view of what is known; targets whose time as a last resort is over are dropped.
    pub fn view(&mut self, repeats: RepeatOptions, now: TimePoint) -> CatalogView {
        self.drop_gone(now);
        CatalogView {
            routing: self.routing.clone(),
            routes: self.routes(),
            services: self.services(repeats),
            targets: self.targets.clone().into_iter().collect(),
            share: self.share,
        }
    }

    fn drop_gone(&mut self, now: TimePoint) {
        let objects = &self.objects;
        self.targets.retain(|id, target| {
            let is_over =
                matches!(target.standing(), TargetStanding::Lapsed(until) if until <= now);
            let key = ObjectKey {
                kind: ObjectKind::Target,
                name: id.clone(),
            };
            let is_gone = objects
                .get(&key)
                .is_some_and(|object| object.body.is_none());
            let has_left = is_gone && target.standing() == TargetStanding::Leaving;
            !is_over && !has_left
        });
    }

    fn services(&mut self, repeats: RepeatOptions) -> HashMap<String, Arc<ServiceTargets>> {
        let mut by_service: HashMap<String, Vec<Arc<TargetHandle>>> = HashMap::new();
        for target in self.targets.values() {
            let service = target.entry().service.clone();
            by_service
                .entry(service)
                .or_default()
                .push(Arc::clone(target));
        }
        let repeats = self.repeats.unwrap_or(repeats);
        let mut services = HashMap::new();
        for (name, targets) in by_service {
            let rule = self
                .routing
                .as_ref()
                .and_then(|routing| routing.services.get(&name));
            if let Some(rule) = rule {
                let limit = self.share.connections(rule.max_connections, CAP_PARTS);
                for target in &targets {
                    target.pool.set_limit(limit);
                }
            }
            let budget = self
                .budgets
                .entry(name.clone())
                .or_insert_with(|| Arc::new(Mutex::new(RepeatBudget::new(repeats))));
            let service = ServiceTargets {
                name: name.clone(),
                targets,
                budget: Arc::clone(budget),
            };
            services.insert(name, Arc::new(service));
        }
        services
    }

    fn routes(&mut self) -> HashMap<String, Vec<Arc<LiveRoute>>> {
        let Some(routing) = self.routing.clone() else {
            return HashMap::new();
        };
        let mut routes: HashMap<String, Vec<Arc<LiveRoute>>> = HashMap::new();
        for rule in &routing.routes {
            let learnt = self.route_states.entry(rule.name.clone()).or_default();
            let route = LiveRoute {
                rule: rule.clone(),
                version: routing.version,
                state: Arc::clone(learnt),
                shards: rule.destination.shard_set(),
            };
            routes
                .entry(rule.site.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for site in routes.values_mut() {
            site.sort_by_key(|route| std::cmp::Reverse(route.rule.path_prefix.len()));
        }
        routes
    }
}
