//! One configured route: the requests that it matches, where they go, and their latency limits.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::route_destination::RouteDestination;

/// Settings of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Name that operators and logs refer to.
    pub name: String,
    /// Site name that callers address, without a port.
    pub site: String,
    /// Path prefix of matching requests; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once, which allows hedges and retries after a send.
    pub is_idempotent: bool,
    /// Longest time until a caller is answered.
    pub timeout: TimeSpan,
    /// Latency up to which an answer has its full value to the caller.
    pub latency_target: TimeSpan,
    /// Most targets that a request may be sent to, for each shard.
    pub max_targets: usize,
    /// Admission priority among routes; 0 is the highest.
    pub rank: u32,
    /// Whether callers need no key.
    #[serde(default)]
    #[builder(default)]
    pub is_open: bool,
    /// Service or services that answer.
    pub destination: RouteDestination,
}
