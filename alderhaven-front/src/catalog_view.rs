//! Immutable snapshots of the catalog. A request uses the view of its arrival until it ends.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_policy::group_share::GroupShare;

use crate::route_rule::RouteRule;
use crate::route_state::RouteState;
use crate::routing_config::RoutingConfig;
use crate::service_targets::ServiceTargets;
use crate::shard_set_id::ShardSetId;
use crate::target_handle::TargetHandle;
use crate::team_directory::TeamDirectory;

/// The configuration and the targets at one moment.
#[derive(Clone, Debug)]
pub struct CatalogView {
    /// The configuration, if one is known.
    pub routing: Option<Arc<RoutingConfig>>,
    /// The teams of the configuration, if it has any.
    pub teams: Option<Arc<TeamDirectory>>,
    /// The routes of each site, longest path prefix first.
    pub routes: HashMap<String, Vec<Arc<LiveRoute>>>,
    /// The services by name.
    pub services: HashMap<String, Arc<ServiceTargets>>,
    /// The targets by id.
    pub targets: HashMap<String, Arc<TargetHandle>>,
    /// This node's share of limits that the group keeps together.
    pub share: GroupShare,
}

/// A route with the state that its requests share.
#[derive(Clone, Debug)]
pub struct LiveRoute {
    /// The configured rule.
    pub rule: RouteRule,
    /// The version of the configuration that defines the route.
    pub version: u64,
    /// Latencies and split positions of the route; kept across configurations.
    pub state: Arc<RouteState>,
    /// The set of shards to query; `None` if the route leads to one service.
    pub shards: Option<ShardSetId>,
}

impl CatalogView {
    /// Creates a view without configuration and targets.
    #[must_use]
    pub fn new(share: GroupShare) -> Self {
        Self {
            routing: None,
            teams: None,
            routes: HashMap::new(),
            services: HashMap::new(),
            targets: HashMap::new(),
            share,
        }
    }

    /// Finds the route with the longest path prefix that matches a request.
    #[must_use]
    pub fn find_route(&self, site: &str, path: &str) -> Option<&Arc<LiveRoute>> {
        self.routes
            .get(site)?
            .iter()
            .find(|route| path.starts_with(&route.rule.path_prefix))
    }
}
