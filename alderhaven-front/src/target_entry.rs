//! Registration data of a target.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Registration of one target, as the target published it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// Target id. A restarted target may register under the same id.
    pub id: String,
    /// Start of its process, as the target reports it. A different value means another process.
    pub started: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain, or `None` if the registered name is not valid.
    pub domain: Option<FailureDomain>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Remaining warm-up time as the target reported it; zero if it reported none.
    pub warmup_left: TimeSpan,
}
