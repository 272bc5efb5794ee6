//! One route: which requests it takes, where they go and what is promised to their callers.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::route_destination::RouteDestination;

/// A `RouteRule` is one route of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The name by which operators know it.
    pub name: String,
    /// The name of the site that callers address, without a port.
    pub site: String,
    /// The beginning of the paths that it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// The longest that a caller is kept waiting.
    pub timeout: TimeSpan,
    /// The time within which an answer is worth most to its caller.
    pub latency_target: TimeSpan,
    /// The most servers that a request may be sent to, for each shard.
    pub max_targets: usize,
    /// The rank among routes; 0 goes first.
    pub rank: u32,
    /// Where its requests go.
    pub destination: RouteDestination,
}
