//! What is known of a target's crash and of the requests that were in flight there.

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::Serialize;
use smallvec::SmallVec;

/// A `TargetCrash` is the death of a target's process, as the relay that lost it saw it.
#[derive(Clone, Debug)]
pub struct TargetCrash {
    /// A random number that names the crash wherever it is heard of.
    pub id: u64,
    /// The target.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The requests whose attempts were at the target, each with its shard.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
}

/// A `CrashStrike` is one crash with one request in flight.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CrashStrike {
    /// The number of the crash.
    #[serde(rename = "crash")]
    pub crash_id: u64,
    /// The target.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The shard that the request asked there.
    pub shard: ShardId,
    /// The number of different requests in flight at the target.
    pub in_flight: u32,
    /// When the crash was seen.
    pub at: TimePoint,
    /// Whether a replica of the shard answered the request afterwards.
    pub cleared: bool,
}

/// A `StrikeNews` is a strike on its way to another process, where times are ages.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StrikeUpdate {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The strike; its time counts only in the process that made it.
    pub strike: CrashStrike,
    /// The time since the crash.
    pub age: TimeSpan,
}

impl CrashStrike {
    /// Returns true where no other request was in flight at the target.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.in_flight <= 1
    }

    /// Takes over what another process knows of the same strike: the earlier time, and cleared
    /// where either knows it as cleared. Returns true where that changed anything.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let before = (self.at, self.cleared);
        self.at = self.at.min(other.at);
        self.cleared |= other.cleared;
        before != (self.at, self.cleared)
    }
}
