//! One try to claim a key, and one claim to be taken back, as a lane holds them.

use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimePoint;

use crate::claim_fingerprint::ClaimFingerprint;
use crate::claim_verdict::ClaimTicket;

/// A `LaneClaim` is one try to claim a key.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub ticket: ClaimTicket,
    pub fingerprint: ClaimFingerprint,
    /// The time at which the try is given up on.
    pub deadline: TimePoint,
    /// The number of the lane's last call before the try came.
    pub offered_after_call: u64,
    /// The version that a lost write of this claim expected; that write may still take effect as
    /// long as the bucket has this version.
    pub lost_write_version: Option<StoreVersion>,
    /// Whether the try was refused while a write with it was under way.
    pub is_abandoned: bool,
}

/// A `LaneRelease` is a claim that is to be taken out of the bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRelease {
    pub ticket: ClaimTicket,
    /// The version past which no lost write can bring the claim in any more.
    pub lost_write_version: Option<StoreVersion>,
}

impl PendingClaim {
    /// Returns a try that no call has carried yet.
    pub(crate) const fn new(
        ticket: ClaimTicket,
        fingerprint: ClaimFingerprint,
        claim_by: TimePoint,
    ) -> Self {
        Self {
            ticket,
            fingerprint,
            deadline: claim_by,
            offered_after_call: 0,
            lost_write_version: None,
            is_abandoned: false,
        }
    }

    /// Gets what takes the claim out of the bucket again.
    pub(crate) const fn to_release(&self) -> PendingRelease {
        PendingRelease {
            ticket: self.ticket,
            lost_write_version: self.lost_write_version,
        }
    }
}
