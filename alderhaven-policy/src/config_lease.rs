//! Lease of a front on its configuration: until when the keys in it may be accepted.

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

/// What a front may decide by its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseStatus {
    /// The configuration was proven to be the newest a short time ago. A key that it lacks is unknown.
    Fresh,
    /// Keys in the configuration are valid, but a key that it lacks may have been added since.
    Held,
    /// A key in the configuration may have been removed.
    Ended,
}
