//! One bucket of the claim ledger: the claimed keys of a time slice, and who claimed them.
//!
//! The bucket is the record that the entries share, so that a request sent to several of them runs
//! at most once. Only the store's conditional update protects it; no clock is involved. A bucket
//! stores its slice, and keys of earlier slices are behind its horizon and refused. A claim of a
//! newer slice drops the older claims in the same conditional update that moves the horizon, so
//! there is no moment at which an old claim is gone and its key is still accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::claim_fingerprint::ClaimFingerprint;
use crate::claim_id::ClaimId;
use crate::claim_key::ClaimKey;
use crate::claim_slot;

/// The maximum number of claims in a bucket; it keeps the text below half of the platform's 1 MB limit.
pub const MAX_BUCKET_CLAIMS: usize = 6_000;
/// The maximum number of writers in a bucket; each process start of an entry is one writer.
pub const MAX_BUCKET_WRITERS: usize = 1_000;

/// The claims of one time slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBucket {
    /// The time slice; keys of earlier slices are behind the horizon.
    slice: u64,
    /// The writers of the claims.
    writers: Vec<ClaimWriter>,
    /// The claims by key.
    claims: BTreeMap<ClaimKey, ClaimEntry>,
}

/// One process start of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimWriter {
    /// The entry's node.
    pub node: NodeId,
    /// The address at which other entries reach this one.
    pub address: SocketAddr,
    /// A random number that identifies the process start.
    pub origin: u64,
}

/// One claim: fingerprint, index of its writer, and the writer's sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry(ClaimFingerprint, usize, u64);

/// What a bucket says about a claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BucketVerdict {
    /// The key is not claimed.
    Free,
    /// The key is held by this claim.
    Own,
    /// The key is held by another claim of the same request.
    Taken(ClaimWriter),
    /// The key is held by a claim of a different request.
    Conflict,
    /// The key is behind the horizon.
    TooOld,
    /// The bucket accepts no more claims.
    Full,
}

impl ClaimBucket {
    /// Parses a bucket from its JSON text.
    ///
    /// # Errors
    /// `Error::Invalid` if the text is not a bucket. The stored text must then not be overwritten.
    pub fn read(body: &str) -> Result<Self> {
        let bucket: Self = serde_json::from_str(body)
            .map_err(|error| Error::invalid("claim bucket", error.to_string()))?;
        let writers = bucket.writers.len();
        if bucket.claims.values().any(|entry| entry.1 >= writers) {
            return Err(Error::invalid(
                "claim bucket",
                "a claim refers to a writer that is not listed",
            ));
        }
        Ok(bucket)
    }

    /// Returns the JSON text.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns `true` if there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Compares a claim with the bucket, without changing it.
    #[must_use]
    pub fn check(
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

    /// Returns `true` if the key is held by this claim.
    #[must_use]
    pub fn holds(&self, key: &ClaimKey, id: ClaimId) -> bool {
        self.claims
            .get(key)
            .is_some_and(|entry| self.id_of(entry) == id)
    }

    /// Adds a claim if the key is free. Returns the state of the key before.
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
        let verdict = self.check(&key, fingerprint, id);
        if verdict == BucketVerdict::Free {
            self.advance(claim_slot::slice_of(&key));
            let index = self.writer_index(writer);
            self.claims
                .insert(key, ClaimEntry(fingerprint, index, sequence));
        }
        verdict
    }

    /// Removes a claim; another claim of the same key stays.
    pub fn release(&mut self, key: &ClaimKey, id: ClaimId) {
        if self.holds(key, id) {
            self.claims.remove(key);
        }
    }

    /// Moves the bucket to a newer slice, which drops its claims and moves the horizon in one step.
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

    fn writer_index(&mut self, writer: &ClaimWriter) -> usize {
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
