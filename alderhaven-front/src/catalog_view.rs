//! What is in force at one moment: a request pins one view and keeps it to its end.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_policy::group_share::GroupShare;

use crate::route_rule::RouteRule;
use crate::route_state::RouteState;
use crate::routing_config::RoutingConfig;
use crate::service_targets::ServiceTargets;
use crate::shard_set_id::ShardSetId;
use crate::target_handle::TargetHandle;

/// A `CatalogView` is the configuration with the targets as they are known.
#[derive(Clone, Debug)]
pub struct CatalogView {
    /// The configuration, where one is known.
    pub routing: Option<Arc<RoutingConfig>>,
    /// The routes of each site, the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<LiveRoute>>>,
    /// The services by name.
    pub services: HashMap<String, Arc<ServiceTargets>>,
    /// The targets by id.
    pub targets: HashMap<String, Arc<TargetHandle>>,
    /// How this node stands in its group.
    pub share: GroupShare,
}

/// A `LiveRoute` is a route with what was learnt of it.
#[derive(Clone, Debug)]
pub struct LiveRoute {
    /// The rule.
    pub rule: RouteRule,
    /// The version of the configuration that it is from.
    pub version: u64,
    /// What was learnt.
    pub state: Arc<RouteState>,
    /// Its shards; none where it goes to one service.
    pub shards: Option<ShardSetId>,
}

impl CatalogView {
    /// Returns a view without any configuration.
    #[must_use]
    pub fn new(share: GroupShare) -> Self {
        Self {
            routing: None,
            routes: HashMap::new(),
            services: HashMap::new(),
            targets: HashMap::new(),
            share,
        }
    }

    /// Finds the route of a request: the longest prefix that begins its path.
    #[must_use]
    pub fn find_route(&self, site: &str, path: &str) -> Option<&Arc<LiveRoute>> {
        self.routes
            .get(site)?
            .iter()
            .find(|route| path.starts_with(&route.rule.path_prefix))
    }
}
