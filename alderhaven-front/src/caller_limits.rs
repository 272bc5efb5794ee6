//! The bounds on what callers send.

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// `CallerLimits` bound what a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub max_head: ByteSize,
    /// The largest body of a request.
    pub max_body: ByteSize,
    /// The longest that a head may take to arrive.
    pub head_timeout: TimeSpan,
    /// The longest that a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    /// Returns bounds for callers that come before any configuration: those that are usual for
    /// HTTP servers.
    fn default() -> Self {
        Self {
            max_head: ByteSize::from_kib(16),
            max_body: ByteSize::from_kib(256),
            head_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}
