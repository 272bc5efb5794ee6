//! Calls to the store that the claim ledger needs, and their replies.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;

use crate::claim_slot::ClaimSlot;

/// One call to make; its reply is handed back with the slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCall {
    /// The slot whose bucket is read or written.
    pub slot: ClaimSlot,
    /// The operation on the bucket.
    pub action: ClaimAction,
}

/// The operation of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the bucket.
    Read,
    /// Write the bucket if it still has the expected version.
    Write {
        /// The version that the bucket must have, or 0 if it must not exist.
        expected: StoreVersion,
        /// The bucket's JSON text.
        body: String,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The bucket that was read, or `None` if it was never written.
    Bucket(Option<StoredObject>),
    /// The write took effect and created this version.
    Written(StoreVersion),
    /// The bucket had another version, given here, and nothing was written.
    Conflict(Option<StoredObject>),
    /// The call certainly had no effect.
    NotDone {
        /// How long the store, or the process's own budget, asks to wait.
        retry_after: Option<TimeSpan>,
    },
    /// The call was sent and its reply is lost; a write may still take effect later.
    Lost,
}

impl ClaimReply {
    /// Returns the version of the bucket in the store, if the reply tells it.
    #[must_use]
    pub fn version(&self) -> Option<StoreVersion> {
        match self {
            Self::Bucket(object) | Self::Conflict(object) => {
                object.as_ref().map(|object| object.version)
            }
            Self::Written(version) => Some(*version),
            Self::NotDone { .. } | Self::Lost => None,
        }
    }
}
