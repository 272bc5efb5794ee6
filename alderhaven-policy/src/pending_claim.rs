//! Claims and releases that wait to be written to a bucket.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimePoint;

use crate::claim_fingerprint::ClaimFingerprint;
use crate::claim_verdict::ClaimTicket;

/// A claim without a verdict.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub ticket: ClaimTicket,
    pub fingerprint: ClaimFingerprint,
    /// The time at which the claim is refused.
    pub deadline: TimePoint,
    /// The number of the queue's last call before the claim was offered.
    pub offered_after_call: u64,
    /// The version that a lost write of this claim expected; that write may still take effect as
    /// long as the bucket has this version.
    pub lost_write_version: Option<StoreVersion>,
    /// Whether the claim was refused while a write with it was in flight.
    pub is_abandoned: bool,
}

/// A claim that must be removed from the bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRelease {
    pub ticket: ClaimTicket,
    /// The version that a lost write of the claim expected; above it that write can't take effect.
    pub lost_write_version: Option<StoreVersion>,
}

impl PendingClaim {
    /// Creates a claim that no call has carried yet.
    pub(crate) const fn new(
        ticket: ClaimTicket,
        fingerprint: ClaimFingerprint,
        deadline: TimePoint,
    ) -> Self {
        Self {
            ticket,
            fingerprint,
            deadline,
            offered_after_call: 0,
            lost_write_version: None,
            is_abandoned: false,
        }
    }

    /// Returns the release that removes the claim from the bucket.
    pub(crate) const fn to_release(&self) -> PendingRelease {
        PendingRelease {
            ticket: self.ticket,
            lost_write_version: self.lost_write_version,
        }
    }
}
