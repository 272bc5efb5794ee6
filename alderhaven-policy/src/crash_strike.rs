//! Crashes of targets, and the requests that were in flight at the time.

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::Serialize;
use smallvec::SmallVec;

/// The crash of a target's process, as the node that lost the connection saw it.
#[derive(Clone, Debug)]
pub struct TargetCrash {
    /// A random number that identifies the crash across processes.
    pub id: u64,
    /// The target that crashed.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The requests with an attempt at the target, each with its shard.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
}

/// One crash with one request in flight.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CrashStrike {
    /// The number that identifies the crash across processes.
    #[serde(rename = "crash")]
    pub crash_id: u64,
    /// The target that crashed.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The shard that the request was sent to.
    pub shard: ShardId,
    /// The number of different requests in flight at the target.
    pub in_flight: u32,
    /// When the crash was detected.
    pub at: TimePoint,
    /// Whether a replica of the shard has answered the request since.
    pub cleared: bool,
}

/// A strike on its way to another process, with an age instead of a local time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StrikeUpdate {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The strike; its `at` is meaningful only in the process that created it.
    pub strike: CrashStrike,
    /// The time since the crash.
    pub age: TimeSpan,
}

impl CrashStrike {
    /// Returns `true` if no other request was in flight at the target.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.in_flight <= 1
    }

    /// Merges another process's copy of the same strike: the earlier time wins, and it is cleared if
    /// either copy is. Returns `true` if anything changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let before = (self.at, self.cleared);
        self.at = self.at.min(other.at);
        self.cleared |= other.cleared;
        before != (self.at, self.cleared)
    }
}
