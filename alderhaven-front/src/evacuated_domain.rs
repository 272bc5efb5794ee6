//! A failure domain that operators have evacuated.

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::Serialize;

/// An `EvacuatedDomain` is a failure domain whose targets get no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EvacuatedDomain {
    /// The failure domain.
    pub domain: FailureDomain,
    /// How long this node has known it.
    pub known_for: TimeSpan,
}
