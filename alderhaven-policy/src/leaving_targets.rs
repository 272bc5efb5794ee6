//! Targets that get no new work because they are about to stop.
//!
//! There are three sources: drains that operators publish, the host list, which lags by some
//! seconds, and replies in which a target says that it is draining. A target counts as leaving as
//! soon as one source says so. A published drain holds until it is withdrawn, and an entry of the
//! host list until a later reading shows the target as live. A reply holds for at least
//! [`LeavingOptions::reply_hold`], and then until the next reading of the list. A platform that comes
//! back from an older copy may list leaving targets as live, so earlier readings hold a while longer.

use std::collections::{BTreeSet, HashMap};

use alderhaven_core::ids::TargetId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::restored_store::RESTORE_GRACE;

/// Settings of [`LeavingTargets`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingOptions {
    /// The minimum time for which a target's reply holds. It must exceed the lag of the host list,
    /// which still shows the target as live for some seconds. A target that is restarted in place
    /// gets no work for about that long.
    pub reply_hold: TimeSpan,
}

impl Default for LeavingOptions {
    fn default() -> Self {
        Self {
            reply_hold: TimeSpan::from_secs(30),
        }
    }
}

/// The leaving targets by source.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    options: LeavingOptions,
    drained: BTreeSet<String>,
    listed_leaving: BTreeSet<String>,
    list_version: StoreVersion,
    /// The targets that were listed as leaving in an earlier era, with the time of the new era's
    /// first reading.
    carried_since: HashMap<String, TimePoint>,
    replied_at: HashMap<String, TimePoint>,
}

impl LeavingTargets {
    /// Creates an empty collection.
    #[must_use]
    pub fn new(options: LeavingOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Replaces the published drains.
    pub fn set_drained(&mut self, targets: BTreeSet<String>) {
        self.drained = targets;
    }

    /// Applies a reading of the host list: its version and the targets that are leaving.
    ///
    /// A reading with an older version than a previous one is ignored, so that a lagging copy of
    /// the list does not bring a leaving target back.
    pub fn set_listed(&mut self, version: StoreVersion, leaving: BTreeSet<String>, now: TimePoint) {
        if version < self.list_version {
            return;
        }
        if version.era > self.list_version.era {
            let earlier = std::mem::take(&mut self.listed_leaving);
            let carried = earlier.into_iter().map(|target| (target, now));
            self.carried_since.extend(carried);
        }
        self.list_version = version;
        self.listed_leaving = leaving;
        self.carried_since
            .retain(|_, since| now.since(*since) < RESTORE_GRACE);
        let hold = self.options.reply_hold;
        self.replied_at.retain(|_, since| now.since(*since) < hold);
    }

    /// Records a reply in which a target says that it is draining.
    pub fn record_reply(&mut self, target: &TargetId, now: TimePoint) {
        self.replied_at.insert(target.to_string(), now);
    }

    /// Returns `true` if the target itself has reported that it is draining.
    #[must_use]
    pub fn has_reported_drain(&self, target: &TargetId) -> bool {
        self.replied_at.contains_key(target.as_str())
    }

    /// Returns the names of all targets that get no new work.
    #[must_use]
    pub fn names(&self) -> BTreeSet<String> {
        self.drained
            .iter()
            .chain(&self.listed_leaving)
            .chain(self.carried_since.keys())
            .chain(self.replied_at.keys())
            .cloned()
            .collect()
    }
}
