//! What becomes of a try to claim a key.

use alderhaven_core::time::TimeSpan;
use serde::Serialize;

use crate::claim_bucket::ClaimWriter;
use crate::claim_id::ClaimId;
use crate::claim_key::ClaimKey;

/// A `ClaimVerdict` is the one answer to a try to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The claim stands: the holder of this verdict, and nobody else ever, may dispatch.
    Granted(ClaimTicket),
    /// Another try holds the claim: whether the request ran is known to its maker alone.
    Taken(ClaimWriter),
    /// The key was claimed for another request.
    Conflict,
    /// The key is behind the horizon: whether its request ran is not remembered any more.
    TooOld,
    /// The try came to nothing, and nothing will ever be dispatched for it.
    Refused {
        /// Why.
        reason: ClaimRefusal,
        /// When to come back.
        retry_after: TimeSpan,
    },
}

/// A `ClaimRefusal` names why a try came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRefusal {
    /// The store is out of service.
    StoreDown,
    /// The store did not answer within the claim's time.
    StoreSlow,
    /// The bucket takes no more claims.
    BucketFull,
    /// The bucket can't be read, or the store went backwards.
    LedgerBroken,
    /// The entry has as many tries under way as it may.
    Busy,
}

/// A `ClaimTicket` is the right to dispatch one request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct ClaimTicket {
    /// The key.
    pub key: ClaimKey,
    /// The claim.
    pub id: ClaimId,
}
