//! Identity of one claim of a key.

use serde::{Deserialize, Serialize};

/// Identifies one claim of a key; it never recurs, not even after a restart.
///
/// The key alone is not enough: an entry may claim it, release it and claim it again, and a late
/// release of the first claim must not remove the second.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The random number of the process start that made the claim.
    pub origin: u64,
    /// The sequence number of the claim within that process start.
    pub sequence: u64,
}
