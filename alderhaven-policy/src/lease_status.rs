//! What a lease on the configuration permits.

use serde::Serialize;

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
