//! Complete routing configuration of a front. One version is in force at a time.

use std::collections::BTreeMap;

use alderhaven_core::team::TeamPolicy;
use serde::{Deserialize, Serialize};

use crate::caller_limits::CallerLimits;
use crate::route_rule::RouteRule;
use crate::service_rule::ServiceRule;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingConfig {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Routes that match requests.
    pub routes: Vec<RouteRule>,
    /// Settings of each service, by service name.
    pub services: BTreeMap<String, ServiceRule>,
    /// Limits on the size and duration of requests.
    pub limits: CallerLimits,
    /// Teams of callers. Empty if the configuration has none: keys and the team header are then
    /// not looked at.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamPolicy>,
}

impl RoutingConfig {
    /// Returns true if requests are served on behalf of teams.
    #[must_use]
    pub const fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}
