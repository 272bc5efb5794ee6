//! Crashes of targets, and the requests that were in flight at the time.

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::Serialize;
use smallvec::SmallVec;

/// The crash of a target's process, as the node that lost the connection saw it.
#[derive(Clone, Debug)]
pub struct TargetCrash {
    /// A number that identifies the crash; nodes that see the same crash give the same one where they
    /// can.
    pub id: u64,
    /// The target that crashed.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The requests with an attempt at the target, each with its shard.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
    /// Those of them that ran on trial: at one target at a time, because of earlier strikes.
    pub trials: SmallVec<[RequestFingerprint; 1]>,
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
    /// The number of different requests in flight at the target, as far as one node knows.
    pub in_flight: u32,
    /// Whether the request ran on trial.
    #[serde(rename = "trial")]
    pub is_trial: bool,
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
    /// Merges another process's copy of the same strike: the earlier time and the higher number of
    /// requests win, and it is cleared, or of a trial, if either copy is.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.at = self.at.min(other.at);
        self.in_flight = self.in_flight.max(other.in_flight);
        self.is_trial |= other.is_trial;
        self.cleared |= other.cleared;
    }

    /// Returns `true` if another process's copy tells something that decides.
    pub(crate) fn lacks(&self, other: &Self) -> bool {
        other.cleared && !self.cleared
            || other.is_trial && !self.is_trial
            || other.in_flight > self.in_flight
    }
}
