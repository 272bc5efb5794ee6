//! The mutable state of the catalog, and the construction of views from it.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{FailureDomain, NodeId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::group_share::GroupShare;
use alderhaven_policy::removal_grace::RemovalGrace;
use alderhaven_policy::repeat_budget::{RepeatBudget, RepeatOptions};
use alderhaven_policy::store_watch_plan::StoreContact;
use alderhaven_policy::warmup_limit;
use alderhaven_policy::watch_timing::WatchTiming;

use crate::catalog::CatalogOptions;
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::route_state::RouteState;
use crate::routing_config::RoutingConfig;
use crate::service_rule::ServiceRule;
use crate::service_targets::ServiceTargets;
use crate::target_entry::TargetEntry;
use crate::target_handle::{SharedSilence, TargetHandle, TargetStatus};
use crate::team_directory::TeamDirectory;

/// The divisor of a target's connection cap. A node that lost power and restarted may open its
/// share again while the target still counts the old connections, so only half of the cap is used.
const CONNECTION_CAP_DIVISOR: f64 = 2.0;

/// How long targets that left are remembered. A store that comes back from an older copy may list
/// them as ready; its copy is some seconds old.
const LEFT_TARGET_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Gets the object kinds that the store keeps; node reports are exchanged between nodes only.
pub(crate) const fn store_kinds(has_evacuations: bool) -> &'static [ObjectKind] {
    const WITH_EVACUATIONS: [ObjectKind; 3] = [
        ObjectKind::Routing,
        ObjectKind::Target,
        ObjectKind::Evacuation,
    ];
    const WITHOUT_EVACUATIONS: [ObjectKind; 2] = [ObjectKind::Routing, ObjectKind::Target];
    if has_evacuations {
        &WITH_EVACUATIONS
    } else {
        &WITHOUT_EVACUATIONS
    }
}

/// The state behind the catalog's lock.
pub(crate) struct CatalogState {
    pub(crate) objects: BTreeMap<ObjectKey, StoredObject>,
    /// Whether a peer with a complete object set has sent all of it.
    pub(crate) is_listed_by_peer: bool,
    /// The kinds that the store has listed, with the revision of the latest list.
    pub(crate) listed_kinds: BTreeMap<ObjectKind, StoreVersion>,
    /// The kinds that must be listed before the object set is complete.
    pub(crate) store_kinds: &'static [ObjectKind],
    pub(crate) routing: Option<Arc<RoutingConfig>>,
    /// The store's version up to which the configuration in force is known to be the last valid one.
    pub(crate) routing_version: Option<StoreVersion>,
    /// The teams of the configuration, if it has any.
    pub(crate) teams: Option<Arc<TeamDirectory>>,
    pub(crate) route_states: HashMap<String, Arc<RouteState>>,
    pub(crate) targets: BTreeMap<String, Arc<TargetHandle>>,
    /// The last registrations of targets that left as announced, with the time of their removal.
    pub(crate) left_targets: BTreeMap<String, (Arc<TargetEntry>, TimePoint)>,
    /// Decides how long removed targets stay usable.
    pub(crate) removal_grace: RemovalGrace,
    /// The evacuated failure domains, with the time at which this node learnt of each.
    pub(crate) evacuated_domains: BTreeMap<FailureDomain, TimePoint>,
    /// The silence detectors of failure domains, shared by their targets.
    pub(crate) domain_silences: BTreeMap<FailureDomain, SharedSilence>,
    /// The live nodes on large hosts, this node included if it is one; they share warm-up limits.
    pub(crate) large_nodes: Vec<NodeId>,
    pub(crate) budgets: HashMap<String, Arc<Mutex<RepeatBudget>>>,
    pub(crate) store_contacts: BTreeMap<NodeId, StoreContact>,
    pub(crate) share: GroupShare,
    /// The budget for hedges and retries, if it was changed after the start.
    pub(crate) repeats: Option<RepeatOptions>,
}

impl CatalogState {
    /// Creates a state without objects.
    /// Creates the state without objects; `timing` is that of the calls that follow the targets.
    pub(crate) fn new(
        share: GroupShare,
        store_kinds: &'static [ObjectKind],
        timing: WatchTiming,
    ) -> Self {
        Self {
            objects: BTreeMap::new(),
            is_listed_by_peer: false,
            listed_kinds: BTreeMap::new(),
            store_kinds,
            routing: None,
            routing_version: None,
            teams: None,
            route_states: HashMap::new(),
            targets: BTreeMap::new(),
            left_targets: BTreeMap::new(),
            removal_grace: RemovalGrace::new(timing),
            evacuated_domains: BTreeMap::new(),
            domain_silences: BTreeMap::new(),
            large_nodes: Vec::new(),
            budgets: HashMap::new(),
            store_contacts: BTreeMap::new(),
            share,
            repeats: None,
        }
    }

    /// Returns true if the object set is complete.
    pub fn is_fully_listed(&self) -> bool {
        let is_listed = |kind| self.listed_kinds.contains_key(kind);
        self.is_listed_by_peer || self.store_kinds.iter().all(is_listed)
    }

    /// Builds a view of the current state, after removing expired targets.
    pub fn build_view(&mut self, options: &CatalogOptions, now: TimePoint) -> CatalogView {
        self.remove_expired_targets(now);
        CatalogView {
            routing: self.routing.clone(),
            teams: self.teams.clone(),
            routes: self.build_routes(),
            services: self.build_services(options),
            targets: self.targets.clone().into_iter().collect(),
            share: self.share,
        }
    }

    /// Gets the silence detector of a failure domain; a target without a domain gets its own.
    pub fn domain_silence(&mut self, domain: Option<&FailureDomain>) -> SharedSilence {
        let Some(domain) = domain else {
            return SharedSilence::default();
        };
        let silence = self.domain_silences.entry(domain.clone()).or_default();
        Arc::clone(silence)
    }

    /// Gets how long targets of a service are cold after their start; `None` if they tolerate any
    /// load.
    pub fn warmup_duration(&self, service: &str) -> Option<TimeSpan> {
        let routing = self.routing.as_ref()?;
        Some(routing.services.get(service)?.warmup?.span)
    }

    fn remove_expired_targets(&mut self, now: TimePoint) {
        let left_targets = &mut self.left_targets;
        left_targets.retain(|_, (_, left_at)| now.since(*left_at) < LEFT_TARGET_RETENTION);
        let objects = &self.objects;
        self.targets.retain(|id, target| {
            let is_expired =
                matches!(target.status(), TargetStatus::Expired(until) if until <= now);
            let key = ObjectKey {
                kind: ObjectKind::Target,
                name: id.clone(),
            };
            let is_removed = objects
                .get(&key)
                .is_some_and(|object| object.body.is_none());
            let has_left = is_removed && target.status() == TargetStatus::Leaving;
            if has_left {
                left_targets.insert(id.clone(), (target.entry(), now));
            }
            !is_expired && !has_left
        });
    }

    fn build_services(&mut self, options: &CatalogOptions) -> HashMap<String, Arc<ServiceTargets>> {
        let mut by_service: HashMap<String, Vec<Arc<TargetHandle>>> = HashMap::new();
        for target in self.targets.values() {
            let service = target.entry().service.clone();
            by_service
                .entry(service)
                .or_default()
                .push(Arc::clone(target));
        }
        let repeats = self.repeats.unwrap_or(options.repeats);
        let mut services = HashMap::new();
        for (name, targets) in by_service {
            let rule = self
                .routing
                .as_ref()
                .and_then(|routing| routing.services.get(&name));
            if let Some(rule) = rule {
                let limit = self
                    .share
                    .connection_limit(rule.max_connections, CONNECTION_CAP_DIVISOR);
                for target in &targets {
                    target.pool.set_limit(limit);
                    let allowance = self.warmup_allowance(rule, &target.entry().id, options);
                    target.warmup().set_allowance(allowance);
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

    /// Gets the requests a second that this node may send to a cold target; `None` if unlimited.
    fn warmup_allowance(
        &self,
        rule: &ServiceRule,
        target: &str,
        options: &CatalogOptions,
    ) -> Option<usize> {
        let rate = rule.warmup?.rate;
        Some(warmup_limit::allowance(
            &options.node,
            &self.large_nodes,
            target,
            rate,
            options.warmup,
        ))
    }

    fn build_routes(&mut self) -> HashMap<String, Vec<Arc<LiveRoute>>> {
        let Some(routing) = self.routing.clone() else {
            return HashMap::new();
        };
        let mut routes: HashMap<String, Vec<Arc<LiveRoute>>> = HashMap::new();
        for rule in &routing.routes {
            let state = self.route_states.entry(rule.name.clone()).or_default();
            let route = LiveRoute {
                rule: rule.clone(),
                version: routing.version,
                state: Arc::clone(state),
                shards: rule.destination.shard_set_id(),
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
