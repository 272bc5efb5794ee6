//! A measure of how new the objects of a node are, as part of its digest.

use alderhaven_core::store_version::StoreVersion;
use serde::{Deserialize, Serialize};

/// Sums over the versions of all objects that a node holds.
///
/// Versions of an object never decrease, so of two values of one process the greater one is newer.
/// The fields are in the order of their significance, like those of a version.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct DigestProgress {
    /// Wrapping sum of the eras.
    pub era_sum: u64,
    /// Wrapping sum of the revisions.
    pub version_sum: u64,
    /// Wrapping sum of the numbers of the carry states.
    pub carry_sum: u64,
}

impl DigestProgress {
    /// Replaces the version of one object.
    pub const fn replace(&mut self, known: StoreVersion, version: StoreVersion) {
        self.era_sum = replaced_sum(self.era_sum, known.era.0, version.era.0);
        self.version_sum = replaced_sum(self.version_sum, known.revision, version.revision);
        let known_carry = known.carry.as_number() as u64;
        let carry = version.carry.as_number() as u64;
        self.carry_sum = replaced_sum(self.carry_sum, known_carry, carry);
    }
}

const fn replaced_sum(sum: u64, known: u64, new: u64) -> u64 {
    sum.wrapping_sub(known).wrapping_add(new)
}
