//! Decides what stays in force when the store comes back from an older copy.
//!
//! Such a store lacks acknowledged writes. Their writers repeat them within seconds, but until then
//! its content is older than what the nodes hold. A lost object therefore stays in force and is
//! carried over into the new era, with a version right after the store's own, so that nodes that
//! restart learn it from their peers and any later write replaces it.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};

/// How long a lost object stays in force without being written again.
pub const RESTORE_GRACE: TimeSpan = TimeSpan::from_secs(4);

/// What happens to a known object that a complete list lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsentObject {
    /// It was deleted, as of this version.
    Remove(StoreVersion),
    /// The store may have lost it: it is carried over at this version.
    CarryOver(StoreVersion),
    /// It was carried over, and its writer still has time to repeat the write.
    Keep,
}

/// Decides on an object, known at `known`, that a list at revision `listed` lacks.
/// `is_grace_over` tells that the writers have had their time.
#[must_use]
pub fn decide_absent(
    known: StoreVersion,
    listed: StoreVersion,
    is_grace_over: bool,
) -> AbsentObject {
    if known.era < listed.era {
        AbsentObject::CarryOver(listed.carried())
    } else if known.is_carried() && !is_grace_over {
        AbsentObject::Keep
    } else if known.is_carried() {
        AbsentObject::Remove(listed.dropped())
    } else {
        AbsentObject::Remove(listed)
    }
}

/// Returns `known` as carried over, if `stored` is its content of before a write that the store
/// lost. `precedes` tells whether the writers' own order puts the content of `stored` first.
pub fn carry_over(
    known: &StoredObject,
    stored: &StoredObject,
    precedes: impl FnOnce() -> bool,
) -> Option<StoredObject> {
    let is_era_new = known.version.era < stored.version.era;
    (is_era_new && precedes()).then(|| StoredObject {
        version: stored.version.carried(),
        ..known.clone()
    })
}

/// The time in which the writers of lost objects may repeat their writes. It begins with the first list
/// of an era, since the store answers its writers by then.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGrace {
    era: Option<StoreEra>,
    ends_at: TimePoint,
}

impl RestoreGrace {
    /// Records a list of the store in an era.
    pub fn record_list(&mut self, era: StoreEra, now: TimePoint) {
        if self.era.replace(era) != Some(era) {
            self.ends_at = now + RESTORE_GRACE;
        }
    }

    /// Returns `true` if the time is over, so that the store's next list decides.
    #[must_use]
    pub fn is_over(&self, now: TimePoint) -> bool {
        now >= self.ends_at
    }

    /// Bounds the wait of a call, so that it ends with the time.
    #[must_use]
    pub fn bound_wait(&self, wait: TimeSpan, now: TimePoint) -> TimeSpan {
        if self.is_over(now) {
            wait
        } else {
            wait.min(self.ends_at.since(now))
        }
    }
}
