//! Complete routing configuration of a front. One version is in force at a time.

use std::collections::BTreeMap;

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
}
