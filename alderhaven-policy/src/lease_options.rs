//! Settings of the lease on the configuration.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Settings of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseOptions {
    /// The time within which a removed key must stop working on every front. Without it, a front
    /// accepts the keys that it knows for as long as it runs.
    pub revocation_bound: Option<TimeSpan>,
}
