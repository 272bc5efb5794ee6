//! The decision of the quarantine on a request, with its reason.

use alderhaven_core::time::TimeSpan;
use serde::Serialize;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineVerdict {
    /// It may run: no strike counts against it.
    Clear,
    /// It may run although strikes count against it.
    Suspect(SuspectReason),
    /// It is refused for this long.
    Refused(TimeSpan),
}

/// Why the strikes against a request do not suffice for a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectReason {
    /// Too few independent crashes.
    FewCrashes,
    /// Other requests were in flight at each of the crashed targets.
    SharedCrashes,
    /// The crashes belong to the failure of a whole domain.
    DomainFailure,
    /// The last refusal has expired.
    RefusalOver,
}
