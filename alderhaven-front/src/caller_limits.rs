//! Limits on what callers send.

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The size and time limits of a caller's connection and requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest request head.
    pub max_head: ByteSize,
    /// The largest request body.
    pub max_body: ByteSize,
    /// The longest time for a request head to arrive.
    pub head_timeout: TimeSpan,
    /// The longest time for which a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    /// The limits that apply until a configuration sets others.
    fn default() -> Self {
        Self {
            max_head: ByteSize::from_kib(16),
            max_body: ByteSize::from_kib(256),
            head_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}
