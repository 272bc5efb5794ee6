//! A whole configuration of a front: one version of it is in force at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::caller_limits::CallerLimits;
use crate::route_rule::RouteRule;
use crate::service_rule::ServiceRule;

/// A `RoutingConfig` is one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingConfig {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// What is known of each service, by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// What a caller may send and how long it may take.
    pub limits: CallerLimits,
}
