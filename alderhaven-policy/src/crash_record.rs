//! What is known of one crash, and of one request with strikes.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::TimePoint;

use crate::crash_strike::CrashStrike;

/// A crash of a target, whether or not requests were in flight.
#[derive(Clone, Debug)]
pub(crate) struct RecentCrash {
    pub(crate) target: TargetId,
    pub(crate) domain: FailureDomain,
    pub(crate) at: TimePoint,
}

/// The strikes against a request by crash, and the refusals that follow from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestRecord {
    pub(crate) strikes: BTreeMap<u64, CrashStrike>,
    pub(crate) refusals: u32,
    pub(crate) refused_until: TimePoint,
}

impl RequestRecord {
    /// Returns the strikes that no answer has cleared.
    pub(crate) fn uncleared(&self) -> impl Iterator<Item = &CrashStrike> {
        self.strikes.values().filter(|strike| !strike.cleared)
    }

    /// Returns the order in which records are kept when there are too many: refused requests first,
    /// then those that crashed targets on trial, then the latest.
    pub(crate) fn priority(&self) -> (bool, usize, Option<TimePoint>) {
        let trials = self.uncleared().filter(|strike| strike.is_trial).count();
        let latest = self.strikes.values().map(|strike| strike.at).max();
        (self.refusals > 0, trials, latest)
    }

    /// Returns the shards of which several targets crashed; an answer of another shard says nothing
    /// about those.
    pub(crate) fn repeated_shards(&self) -> BTreeSet<ShardId> {
        let mut targets: BTreeMap<ShardId, BTreeSet<&TargetId>> = BTreeMap::new();
        for strike in self.uncleared() {
            targets
                .entry(strike.shard)
                .or_default()
                .insert(&strike.target);
        }
        let repeated = targets.into_iter().filter(|(_, targets)| targets.len() > 1);
        repeated.map(|(shard, _)| shard).collect()
    }
}
