//! How long a target whose registration was removed stays usable as a last resort.
//!
//! Registrations of live targets expire while the store is away, and return shortly after it does. A
//! target that is removed while the store answers has left, and must get no more requests within
//! the bound for leaving targets. The node may have learned of its removal late by as much as a
//! silent watch takes, so that only the rest of the bound remains. A store that comes back from an older
//! copy has lost registrations that their targets write again.

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::watch_timing::WatchTiming;

/// The time in which registrations return that expired while the store was away.
pub const RETURN_TIME: TimeSpan = TimeSpan::from_millis(1_700);

/// How long removals may result from an outage of the store after it was last noticed. Nodes learn of them
/// by the first answer of the store, wherever it arrives.
const OUTAGE_MEMORY: TimeSpan = TimeSpan::from_secs(4);

/// What one node knows of outages of the store.
#[derive(Clone, Copy, Debug)]
pub struct RemovalGrace {
    timing: WatchTiming,
    outage_seen_at: Option<TimePoint>,
}

impl RemovalGrace {
    /// Creates the state of a process that knows of no outage. `timing` is that of the calls that follow
    /// the targets.
    #[must_use]
    pub const fn new(timing: WatchTiming) -> Self {
        Self {
            timing,
            outage_seen_at: None,
        }
    }

    /// Records the age of the store's latest known answer to any node.
    pub fn record_answer_age(&mut self, age: TimeSpan, now: TimePoint) {
        if age >= self.timing.outage_after() {
            self.outage_seen_at = Some(now);
        }
    }

    /// Returns how long a target stays usable whose removal is learned now. `is_era_new` tells that it was
    /// known in an earlier era of the store.
    #[must_use]
    pub fn grace(&self, is_era_new: bool, now: TimePoint) -> TimeSpan {
        let is_after_outage = self
            .outage_seen_at
            .is_some_and(|seen_at| now.since(seen_at) < OUTAGE_MEMORY);
        if is_after_outage || is_era_new {
            RETURN_TIME
        } else {
            RETURN_TIME.min(self.timing.removal_grace())
        }
    }
}
