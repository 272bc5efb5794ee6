//! Evacuated failure domains as they appear in the status.

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::Serialize;

/// A failure domain whose targets get no new requests, by an operator's decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EvacuatedDomain {
    /// The name of the domain.
    pub domain: FailureDomain,
    /// How long this node has known of the evacuation.
    pub known_for: TimeSpan,
}
