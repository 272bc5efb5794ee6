//! What a target says of itself.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A `TargetEntry` is the registration of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// The id; a target may start again under the id that it had.
    pub id: String,
    /// The start of its process, as it says itself; another start is another process.
    pub started: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain, if that has a usable name.
    pub domain: Option<FailureDomain>,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start, when it said so.
    pub warmup_left: TimeSpan,
}
