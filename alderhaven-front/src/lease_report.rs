//! The state of the lease that a front reports to operators.

use alderhaven_policy::config_lease::LeaseStatus;
use serde::Serialize;

/// The lease on the configuration at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseReport {
    /// What the front may decide by its configuration.
    pub status: LeaseStatus,
    /// The age of the latest proof in milliseconds; `None` without one.
    pub proof_age_ms: Option<u64>,
}
