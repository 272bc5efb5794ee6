//! Proof that a configuration was the newest at a moment.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};

/// Proof that no version above `version` was acknowledged before a moment of the own clock.
///
/// The moment is kept as a send time and the age that the proof had then: it may precede the start
/// of the own clock, and a time point can't.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigProof {
    /// When the call or query that brought the proof was sent.
    pub sent_at: TimePoint,
    /// The age that the proof is taken to have had when the call or query was sent.
    pub prior_age: TimeSpan,
    /// The version that was the newest.
    pub version: StoreVersion,
}

impl ConfigProof {
    /// Returns the age of the proof.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> TimeSpan {
        now.since(self.sent_at) + self.prior_age
    }

    /// Returns true if the proof is of a later moment than another one of the same clock.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        let now = self.sent_at.max(other.sent_at);
        self.age(now) < other.age(now)
    }

    /// Returns true if the proof counts for a front that holds the version `held`.
    ///
    /// A configuration that was carried over into the era of the proof counts as held: it replaces
    /// the version that the store came back with.
    #[must_use]
    pub fn is_covered_by(&self, held: StoreVersion) -> bool {
        held.stored() >= self.version.stored()
    }
}
