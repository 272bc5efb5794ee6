//! The calls to the store that the claim ledger asks for, and their replies.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;

use crate::claim_slot::ClaimSlot;

/// A `ClaimCall` is one call that the ledger wants made; its reply names the slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCall {
    /// The slot whose bucket is read or written.
    pub slot: ClaimSlot,
    /// What is to be done.
    pub action: ClaimAction,
}

/// A `ClaimAction` is what a call does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Get the bucket.
    Read,
    /// Write the bucket if it still has the expected version.
    Write {
        /// The version that the bucket must have, 0 where it must not exist.
        expected: StoreVersion,
        /// The bucket's JSON text.
        body: String,
    },
}

/// A `ClaimReply` is what became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The bucket as read; none where it was never written.
    Bucket(Option<StoredObject>),
    /// The write took effect with this version.
    Written(StoreVersion),
    /// The bucket had another version and nothing was written.
    Conflict(Option<StoredObject>),
    /// The call certainly did nothing.
    NotDone {
        /// How long the store, or the process's budget, asks to wait.
        retry_after: Option<TimeSpan>,
    },
    /// The call was sent and its answer is lost; a write may take effect even later.
    Lost,
}
