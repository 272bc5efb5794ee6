//! The indexes that a target holds: the current one, and older ones for a while.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::{IndexVersion, ShardId};
use tokio::time::Instant;

/// A `HeldIndexes` is the set of indexes of a target.
#[derive(Debug)]
pub struct HeldIndexes {
    state: Mutex<HeldState>,
}

#[derive(Debug)]
struct HeldState {
    current: HeldIndex,
    /// The former indexes and when each was or will be given up.
    former: Vec<(HeldIndex, Instant)>,
}

/// A `HeldIndex` is one version of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldIndex {
    /// The shard.
    pub shard: ShardId,
    /// The version.
    pub version: IndexVersion,
}

/// An `IndexState` says what a target knows of an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexState {
    /// The target can answer from it.
    Held,
    /// The target holds or held the shard, and not this version any more.
    Gone,
    /// The shard is not the target's.
    OtherShard,
}

impl HeldIndexes {
    /// Returns a set with one index.
    #[must_use]
    pub const fn new(current: HeldIndex) -> Self {
        Self {
            state: Mutex::new(HeldState {
                current,
                former: Vec::new(),
            }),
        }
    }

    /// Gets the current index.
    #[must_use]
    pub fn current(&self) -> HeldIndex {
        self.lock_state().current
    }

    /// Makes another index the current one; the former is kept for `grace`.
    pub fn replace(&self, next: HeldIndex, grace: Duration) {
        let mut state = self.lock_state();
        let former = std::mem::replace(&mut state.current, next);
        state.former.push((former, Instant::now() + grace));
    }

    /// Says whether an index is held now.
    #[must_use]
    pub fn state_of(&self, requested: HeldIndex) -> IndexState {
        let state = self.lock_state();
        let now = Instant::now();
        let is_kept = |(former, until): &(HeldIndex, Instant)| *former == requested && now < *until;
        if state.current == requested || state.former.iter().any(is_kept) {
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
