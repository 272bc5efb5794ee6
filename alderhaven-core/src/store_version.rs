//! The version of an object, and the revision of the store that assigned it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::carry_state::CarryState;
use crate::errors::{Error, Result};
use crate::ids::StoreEra;

/// Revision of the object store; as an object's version, the revision at its last write.
///
/// A store that comes back from an older copy gives out revisions again, so they are ordered within
/// an era only. An object that such a store lost stays in force; it is carried over into the new
/// era, right after the revision that the store then had of it.
///
/// The text and serialized forms are the revision alone, as in the store's own interface, which
/// tells the era in a header.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct StoreVersion {
    /// The store's era, which precedes the revision in the order.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: u64,
    /// Whether the version is the store's own.
    pub carry: CarryState,
}

impl StoreVersion {
    /// Creates the version of a revision in the first era.
    #[must_use]
    pub const fn of_revision(revision: u64) -> Self {
        Self {
            era: StoreEra(0),
            revision,
            carry: CarryState::Stored,
        }
    }

    /// Returns the version of the same revision in another era.
    #[must_use]
    pub const fn in_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Returns the version of an object that is carried over into the era of this version.
    #[must_use]
    pub const fn carried(self) -> Self {
        Self {
            carry: CarryState::Carried,
            ..self
        }
    }

    /// Returns the version of the removal of an object that was carried over.
    #[must_use]
    pub const fn dropped(self) -> Self {
        Self {
            carry: CarryState::Dropped,
            ..self
        }
    }

    /// Returns true if the object was carried over from an earlier era.
    #[must_use]
    pub const fn is_carried(self) -> bool {
        matches!(self.carry, CarryState::Carried)
    }

    /// Returns the store's own version of an object that may have been carried over.
    #[must_use]
    pub const fn stored(self) -> Self {
        Self {
            carry: CarryState::Stored,
            ..self
        }
    }
}

impl From<u64> for StoreVersion {
    fn from(revision: u64) -> Self {
        Self::of_revision(revision)
    }
}

impl From<StoreVersion> for u64 {
    fn from(version: StoreVersion) -> Self {
        version.revision
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.revision.fmt(formatter)
    }
}

impl FromStr for StoreVersion {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self::of_revision)
            .map_err(|_| Error::parse("store version", text, "a whole number, 0 or more"))
    }
}
