//! The identity of one try to claim a key.

use serde::{Deserialize, Serialize};

/// A `ClaimId` identifies one try to claim a key; it never recurs, not even over restarts.
///
/// A key alone does not say whose claim it is: the same entry may have claimed it, released it and
/// claimed it again, and only the id tells a late release of the first from one of the second.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The random number of the process start that made the claim.
    pub origin: u64,
    /// The count of claims within that start.
    pub sequence: u64,
}
