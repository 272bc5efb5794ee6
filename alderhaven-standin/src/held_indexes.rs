//! Index versions that a target serves: the current one, and former ones during their grace period.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::{IndexVersion, ShardId};
use tokio::time::Instant;

/// Current and former indexes of one target.
#[derive(Debug)]
pub struct HeldIndexes {
    state: Mutex<HeldState>,
}

#[derive(Debug)]
struct HeldState {
    current: HeldIndex,
    /// Former indexes with the ends of their grace periods.
    former: Vec<(HeldIndex, Instant)>,
}

/// One index version of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldIndex {
    /// Shard that the index covers.
    pub shard: ShardId,
    /// Version of the shard's index.
    pub version: IndexVersion,
}

/// Whether a target can serve an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexState {
    /// The target serves it.
    Held,
    /// The target has or had the shard, but no longer serves this version.
    Gone,
    /// The target never had the shard.
    OtherShard,
}

impl HeldIndexes {
    /// Creates a set with one index and no former ones.
    #[must_use]
    pub const fn new(current: HeldIndex) -> Self {
        Self {
            state: Mutex::new(HeldState {
                current,
                former: Vec::new(),
            }),
        }
    }

    /// Returns the index that was installed last.
    #[must_use]
    pub fn current(&self) -> HeldIndex {
        self.lock_state().current
    }

    /// Installs a new current index; the previous one is served for `grace`.
    pub fn replace(&self, next: HeldIndex, grace: Duration) {
        let mut state = self.lock_state();
        let former = std::mem::replace(&mut state.current, next);
        state.former.push((former, Instant::now() + grace));
    }

    /// Looks up an index at the current time.
    #[must_use]
    pub fn state_of(&self, requested: HeldIndex) -> IndexState {
        let state = self.lock_state();
        let now = Instant::now();
        let is_in_grace_period =
            |(former, until): &(HeldIndex, Instant)| *former == requested && now < *until;
        if state.current == requested || state.former.iter().any(is_in_grace_period) {
            return IndexState::Held;
        }
        let is_known = state.current.shard == requested.shard
            || state
                .former
                .iter()
                .any(|(former, _)| former.shard == requested.shard);
        if is_known {
            IndexState::Gone
        } else {
            IndexState::OtherShard
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, HeldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
