//! Which bucket of the ledger remembers a key.
//!
//! Load pattern: hundreds of claims a second that must be found again for half an hour, while the
//! store counts writes, not bytes. With buckets by hash alone a batch of 20 new keys would fall on
//! 20 buckets and cost 20 writes, and each bucket would hold half an hour of claims, most of which
//! nobody asks for again. New keys carry nearly the same time, so buckets by time put a batch into
//! one or two buckets, and a bucket that is over is never written again until it is reused.
//!
//! The figures are constants and no settings: two entries that disagree on them would look for the
//! same key in two buckets, and both would run it. A change of them needs another name prefix and a
//! pause of [`KEY_WINDOW`] in which no claim is granted.

use std::fmt;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::time::TimeSpan;
use serde::Serialize;

use crate::claim_key::ClaimKey;

/// The milliseconds of key time that a bucket covers: 500 claims/s fill it with 1,000 claims.
pub const SLICE_MILLIS: u64 = 2_000;
/// The number of buckets; with the slice it makes a ring of 34 minutes.
pub const SLOT_COUNT: u64 = 1_024;
/// The greatest age of a key that is served; with [`KEY_SKEW`] it stays below the ring's length, so
/// that the ring never reuses a bucket whose keys are still served.
pub const KEY_WINDOW: TimeSpan = TimeSpan::from_secs(30 * 60);
/// How far a key's time may be ahead of the entry's clock.
pub const KEY_SKEW: TimeSpan = TimeSpan::from_secs(60);

/// A `ClaimSlot` numbers a bucket of the ring.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(transparent)]
pub struct ClaimSlot(u64);

/// A `KeyAge` says whether a key's time is one that an entry serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The time is within the window.
    Served,
    /// The ledger need not remember the key any more.
    TooOld,
    /// The time is too far ahead: it would end the memory of buckets that are in use.
    TooNew,
}

impl KeyAge {
    /// Judges a key by the entry's wall clock, in milliseconds since the Unix epoch.
    ///
    /// A wrong clock costs a refusal and never a second run: that is up to the bucket alone.
    #[must_use]
    pub fn of(key: &ClaimKey, wall_millis: u64) -> Self {
        if key.millis() > wall_millis.saturating_add(KEY_SKEW.as_millis()) {
            Self::TooNew
        } else if key.millis().saturating_add(KEY_WINDOW.as_millis()) < wall_millis {
            Self::TooOld
        } else {
            Self::Served
        }
    }
}

impl ClaimSlot {
    /// Gets the slot that a key falls into.
    #[must_use]
    pub fn of(key: &ClaimKey) -> Self {
        Self(slice_of(key) % SLOT_COUNT)
    }

    /// Gets the object that holds the slot's bucket.
    #[must_use]
    pub fn object_key(self) -> ObjectKey {
        ObjectKey {
            kind: ObjectKind::Claims,
            name: self.to_string(),
        }
    }
}

impl fmt::Display for ClaimSlot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "v1-{:04}", self.0)
    }
}

/// Gets the number of the time slice that a key belongs to.
#[must_use]
pub fn slice_of(key: &ClaimKey) -> u64 {
    key.millis() / SLICE_MILLIS
}
