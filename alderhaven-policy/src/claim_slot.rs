//! Mapping of idempotency keys to buckets of the claim ledger.
//!
//! The key's timestamp selects the bucket: new keys carry nearly the same time, so a batch of claims
//! falls into one or two buckets and costs as many writes. The buckets form a ring, and each is
//! reused for a later time slice. The sizes are constants because entries with different values
//! would look for a key in different buckets, and several would run it. To change them, use a new
//! name prefix and grant no claims for [`KEY_WINDOW`].

use std::fmt;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::time::TimeSpan;
use serde::Serialize;

use crate::claim_key::ClaimKey;

/// The time slice of a bucket, in milliseconds of key timestamps. At 500 claims per second a bucket
/// holds 1,000 claims.
pub const SLICE_MILLIS: u64 = 2_000;
/// The number of buckets in the ring, which covers 34 minutes.
pub const SLOT_COUNT: u64 = 1_024;
/// The maximum age of a key that is served. With [`KEY_SKEW`] it stays below the length of the ring, so
/// that no bucket is reused while its keys are still served.
pub const KEY_WINDOW: TimeSpan = TimeSpan::from_secs(30 * 60);
/// How far a key's timestamp may be ahead of the entry's clock.
pub const KEY_SKEW: TimeSpan = TimeSpan::from_secs(60);

/// The number of a bucket in the ring.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(transparent)]
pub struct ClaimSlot(u64);

/// Whether an entry serves a key, by the key's timestamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The timestamp is within the window.
    Served,
    /// The key is older than [`KEY_WINDOW`].
    TooOld,
    /// The timestamp is too far ahead: a claim would drop claims from a bucket that is still in use.
    TooNew,
}

impl KeyAge {
    /// Compares a key with the entry's wall clock, in milliseconds since the Unix epoch.
    ///
    /// A wrong clock can only cause a refusal, never a second run: the bucket alone prevents that.
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
    /// Returns the slot of a key.
    #[must_use]
    pub fn of(key: &ClaimKey) -> Self {
        Self(slice_of(key) % SLOT_COUNT)
    }

    /// Returns the key of the object that holds the slot's bucket.
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

/// Returns the number of the time slice that a key belongs to.
#[must_use]
pub fn slice_of(key: &ClaimKey) -> u64 {
    key.millis() / SLICE_MILLIS
}
