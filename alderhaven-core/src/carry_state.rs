//! What became of an object that the store lost.

use serde::{Deserialize, Serialize};

/// Whether a version is the store's own, or a decision of nodes about an object that it lost.
///
/// The variants are in the order in which they replace each other at one revision.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CarryState {
    /// The store's own version.
    #[default]
    Stored,
    /// The object was carried over from an earlier era.
    Carried,
    /// The object was carried over and then removed, because nobody wrote it again.
    Dropped,
}

impl CarryState {
    /// Returns the number of the state in messages.
    #[must_use]
    pub const fn as_number(self) -> u32 {
        match self {
            Self::Stored => 0,
            Self::Carried => 1,
            Self::Dropped => 2,
        }
    }

    /// Returns the state with a number, or `None` if there is none.
    #[must_use]
    pub const fn from_number(number: u32) -> Option<Self> {
        match number {
            0 => Some(Self::Stored),
            1 => Some(Self::Carried),
            2 => Some(Self::Dropped),
            _ => None,
        }
    }
}
