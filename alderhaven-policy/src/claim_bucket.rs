//! One bucket of the claim ledger: which keys of a time slice are claimed, and by whom.
//!
//! Load pattern: the same request comes to several entries, at once or minutes apart, while
//! entries restart with nothing kept. Without a common record each entry would run it. The bucket
//! is that record; the store's conditional update of it is the only fence.
//!
//! The ring of buckets forgets without a clock. A bucket stores its slice; all keys of earlier
//! slices are behind its horizon. A newer slice takes the bucket over in the same conditional
//! update that drops the older claims, so there is no moment at which an old key's claim is gone
//! and the key is still taken.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::claim_fingerprint::ClaimFingerprint;
use crate::claim_id::ClaimId;
use crate::claim_key::ClaimKey;
use crate::claim_slot;

/// The most claims in a bucket: at most 80 bytes each, they stay below half of the platform's 1 MB.
pub const MAX_BUCKET_CLAIMS: usize = 6_000;
/// The most writers in a bucket: each entry start that claims in two seconds is one.
pub const MAX_BUCKET_WRITERS: usize = 1_000;

/// A `ClaimBucket` holds the claims of one time slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBucket {
    /// The time slice; keys of earlier slices are behind the horizon.
    slice: u64,
    /// Who made the claims.
    writers: Vec<ClaimWriter>,
    /// The claims by key.
    claims: BTreeMap<ClaimKey, ClaimEntry>,
}

/// A `ClaimWriter` is one start of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimWriter {
    /// The entry.
    pub node: NodeId,
    /// The address at which other entries ask it.
    pub address: SocketAddr,
    /// The random number of the process start.
    pub origin: u64,
}

/// A `ClaimEntry` is one claim: fingerprint, position of the writer, and the writer's count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry(ClaimFingerprint, usize, u64);

/// A `BucketVerdict` says what a bucket knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BucketVerdict {
    /// Nobody has claimed the key.
    Free,
    /// This very claim stands.
    Own,
    /// Another claim of the same request stands.
    Taken(ClaimWriter),
    /// A claim of another request stands.
    Conflict,
    /// The key is behind the horizon.
    TooOld,
    /// The bucket takes no more claims.
    Full,
}

impl ClaimBucket {
    /// Reads a bucket from its JSON text.
    ///
    /// # Errors
    /// `Error::Invalid` for a text that is no bucket; it must not be overwritten then.
    pub fn read(body: &str) -> Result<Self> {
        let bucket: Self = serde_json::from_str(body)
            .map_err(|error| Error::invalid("claim bucket", error.to_string()))?;
        let writers = bucket.writers.len();
        if bucket.claims.values().any(|entry| entry.1 >= writers) {
            return Err(Error::invalid("claim bucket", "a claim without its writer"));
        }
        Ok(bucket)
    }

    /// Gets the JSON text.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Gets the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true where there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Judges a claim against the bucket.
    #[must_use]
    pub fn judge(
        &self,
        key: &ClaimKey,
        fingerprint: ClaimFingerprint,
        id: ClaimId,
    ) -> BucketVerdict {
        let slice = claim_slot::slice_of(key);
        if slice < self.slice {
            return BucketVerdict::TooOld;
        }
        if slice > self.slice {
            return BucketVerdict::Free;
        }
        match self.claims.get(key) {
            Some(entry) if self.id_of(entry) == id => BucketVerdict::Own,
            Some(entry) if entry.0 != fingerprint => BucketVerdict::Conflict,
            Some(entry) => BucketVerdict::Taken(self.writers[entry.1].clone()),
            None if self.is_full() => BucketVerdict::Full,
            None => BucketVerdict::Free,
        }
    }

    /// Returns true where this very claim stands.
    #[must_use]
    pub fn holds(&self, key: &ClaimKey, id: ClaimId) -> bool {
        self.claims
            .get(key)
            .is_some_and(|entry| self.id_of(entry) == id)
    }

    /// Adds a claim where the key is free; returns what the bucket said of it.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        writer: &ClaimWriter,
        sequence: u64,
    ) -> BucketVerdict {
        let id = ClaimId {
            origin: writer.origin,
            sequence,
        };
        let verdict = self.judge(&key, fingerprint, id);
        if verdict == BucketVerdict::Free {
            self.advance(claim_slot::slice_of(&key));
            let position = self.writer_position(writer);
            self.claims
                .insert(key, ClaimEntry(fingerprint, position, sequence));
        }
        verdict
    }

    /// Takes a claim back; the claim of anyone else on the same key stays.
    pub fn release(&mut self, key: &ClaimKey, id: ClaimId) {
        if self.holds(key, id) {
            self.claims.remove(key);
        }
    }

    /// Takes the bucket over for a newer slice: drops the claims and moves the horizon, as one.
    fn advance(&mut self, slice: u64) {
        if slice > self.slice {
            *self = Self {
                slice,
                ..Self::default()
            };
        }
    }

    fn is_full(&self) -> bool {
        self.claims.len() >= MAX_BUCKET_CLAIMS || self.writers.len() >= MAX_BUCKET_WRITERS
    }

    fn id_of(&self, entry: &ClaimEntry) -> ClaimId {
        ClaimId {
            origin: self.writers[entry.1].origin,
            sequence: entry.2,
        }
    }

    fn writer_position(&mut self, writer: &ClaimWriter) -> usize {
        let found = self
            .writers
            .iter()
            .position(|known| known.origin == writer.origin);
        found.unwrap_or_else(|| {
            self.writers.push(writer.clone());
            self.writers.len() - 1
        })
    }
}
