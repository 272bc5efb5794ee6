//! Result of a claim of an idempotency key.

use alderhaven_core::time::TimeSpan;
use serde::Serialize;

use crate::claim_bucket::ClaimWriter;
use crate::claim_id::ClaimId;
use crate::claim_key::ClaimKey;

/// The final result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The claim was made: only the holder of this ticket may ever dispatch the request.
    Granted(ClaimTicket),
    /// Another claim holds the key; only its writer knows whether the request ran.
    Taken(ClaimWriter),
    /// The key was claimed for a different request.
    Conflict,
    /// The key is behind the horizon; whether its request ran is no longer recorded.
    TooOld,
    /// No claim was made, and the request will not be dispatched because of it.
    Refused {
        /// Why the claim was refused.
        reason: ClaimRefusal,
        /// When to try again.
        retry_after: TimeSpan,
    },
}

/// Why a claim was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRefusal {
    /// The store is out of service.
    StoreDown,
    /// The store did not answer before the claim's deadline.
    StoreSlow,
    /// The bucket accepts no more claims.
    BucketFull,
    /// The bucket can't be read, or the store returned an older version than before.
    LedgerBroken,
    /// The entry has the maximum number of claims without a verdict.
    Busy,
}

/// The right to dispatch one request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct ClaimTicket {
    /// The claimed key.
    pub key: ClaimKey,
    /// The identity of the claim.
    pub id: ClaimId,
}
