//! Which targets get no new work because they leave.
//!
//! Load pattern: a target is about to stop. Operators publish a drain, the host list says
//! "leaving" some seconds late, and the target's own replies say that it drains.
//!
//! Without it: each query goes on to try the leaving target, costs a round trip and a retry, and
//! is cut when the target stops.
//!
//! The rules: the earliest word of any source wins. A published drain holds until it is taken
//! back. The host list's word holds until a later reading of the list says "live". A reply's word
//! holds until a reading of the list that was begun after it no longer knows the target as leaving
//! and [`LeavingOptions::reply_hold`] has passed: a list that lags still says "live" for a while.
//!
//! Grounds for the figure: the list is known to lag by seconds; 30 s is several times that, and a
//! target that was restarted in place is missed for no longer.

use std::collections::{BTreeSet, HashMap};

use alderhaven_core::ids::TargetId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// A `LeavingOptions` holds the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingOptions {
    /// How long a reply's word holds at least.
    pub reply_hold: TimeSpan,
}

impl Default for LeavingOptions {
    fn default() -> Self {
        Self {
            reply_hold: TimeSpan::from_secs(30),
        }
    }
}

/// A `LeavingTargets` collects the words of all sources.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    options: LeavingOptions,
    drained: BTreeSet<String>,
    listed_leaving: BTreeSet<String>,
    list_revision: u64,
    replied_at: HashMap<String, TimePoint>,
}

impl LeavingTargets {
    /// Returns an empty collection.
    #[must_use]
    pub fn new(options: LeavingOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Takes over the drains that are published.
    pub fn set_drained(&mut self, targets: BTreeSet<String>) {
        self.drained = targets;
    }

    /// Takes over a reading of the host list: its revision and the targets that leave.
    ///
    /// A reading of an older revision than one seen before is passed over, so that a lagging copy
    /// of the list does not bring a leaving target back.
    pub fn set_listed(&mut self, revision: u64, leaving: BTreeSet<String>, now: TimePoint) {
        if revision < self.list_revision {
            return;
        }
        self.list_revision = revision;
        self.listed_leaving = leaving;
        let hold = self.options.reply_hold;
        self.replied_at.retain(|_, since| now.since(*since) < hold);
    }

    /// Notes that a reply of a target says that it drains.
    pub fn record_reply(&mut self, target: &TargetId, now: TimePoint) {
        self.replied_at.insert(target.to_string(), now);
    }

    /// Returns true where the target itself has said that it drains.
    #[must_use]
    pub fn has_reported_drain(&self, target: &TargetId) -> bool {
        self.replied_at.contains_key(target.as_str())
    }

    /// Gets the names of all targets that get no new work.
    #[must_use]
    pub fn names(&self) -> BTreeSet<String> {
        self.drained
            .iter()
            .chain(&self.listed_leaving)
            .chain(self.replied_at.keys())
            .cloned()
            .collect()
    }
}
