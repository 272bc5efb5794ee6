//! Snapshot manifests: the shards of a service with their index versions and replicas.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::errors::{Error, Result};
use crate::ids::{FailureDomain, IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use crate::parameters::ParameterSet;
use crate::template::{ShardSelection, key_text};

/// Maximum number of shards in a manifest.
pub const MAX_SHARDS: usize = 4096;
/// Maximum number of slots of a target; a relay may open as many connections to it.
pub const MAX_SLOTS: u32 = 1024;

/// Consistent view of a service: its shards, their index versions and their replicas.
///
/// A query is pinned to one manifest. Every reply must echo the manifest's snapshot and the shard's
/// index version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotManifest {
    /// The service, which is also the name of the manifest's object.
    pub service: ServiceName,
    /// The snapshot's number, higher in newer manifests.
    pub snapshot: SnapshotId,
    /// The shards in ascending order of their numbers and first keys.
    pub shards: Vec<ShardEntry>,
}

/// Shard of a manifest with its index version and key range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// The number of the shard within its service.
    pub shard: ShardId,
    /// The index version that belongs to the snapshot.
    pub version: IndexVersion,
    /// The first key of the shard's range, inclusive. The range ends at the next shard's first key.
    #[serde(default)]
    pub first_key: String,
    /// The targets that hold this index version.
    pub replicas: SmallVec<[ReplicaEntry; 4]>,
}

/// Target that holds a replica of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaEntry {
    /// The id by which nodes and the host list name the target.
    pub target: TargetId,
    /// The IP address and port at which the target takes queries.
    pub address: SocketAddr,
    /// The failure domain that the target runs in.
    pub domain: FailureDomain,
    /// The number of attempts that the target runs concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
}

impl SnapshotManifest {
    /// Validates the manifest and returns all errors.
    #[must_use]
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        if self.shards.is_empty() || self.shards.len() > MAX_SHARDS {
            errors.push(Error::invalid(
                "shards",
                format!("1 to {MAX_SHARDS} shards are allowed"),
            ));
        }
        for pair in self.shards.windows(2) {
            if pair[0].shard >= pair[1].shard {
                errors.push(Error::invalid(
                    "shards",
                    format!(
                        "shard {} is listed after shard {}, but the numbers must ascend",
                        pair[1].shard, pair[0].shard
                    ),
                ));
            }
            if pair[0].first_key > pair[1].first_key {
                errors.push(Error::invalid(
                    "shards.first_key",
                    format!(
                        "the first key of shard {} is below that of the shard before it",
                        pair[1].shard
                    ),
                ));
            }
        }
        for entry in &self.shards {
            errors.extend(entry.check());
        }
        errors
    }

    /// Returns the index in `shards` of the shard to which the BLAKE3 hash of `key` maps.
    ///
    /// Nodes and targets must compute the same mapping.
    #[must_use]
    pub fn shard_of_key(&self, key: &str) -> usize {
        let hash = blake3::hash(key.as_bytes());
        let mut hash_prefix = [0_u8; 8];
        hash_prefix.copy_from_slice(&hash.as_bytes()[..8]);
        let count = self.shards.len().max(1) as u64;
        usize::try_from(u64::from_le_bytes(hash_prefix) % count).unwrap_or(0)
    }

    /// Returns the indices in `shards` that a query with these parameters requests.
    ///
    /// # Errors
    /// `Error::Invalid` if a parameter is missing, a listed shard is not in the manifest, or the key
    /// range is empty. Without this check an answer could be reported as complete although shards
    /// were skipped.
    pub fn select(&self, selection: &ShardSelection, values: &ParameterSet) -> Result<Vec<usize>> {
        let parameter_text = |name: &str| {
            values
                .get(name)
                .map(key_text)
                .ok_or_else(|| Error::invalid(format!("parameters.{name}"), "is required"))
        };
        match selection {
            ShardSelection::All => Ok((0..self.shards.len()).collect()),
            ShardSelection::ByKeyHash { parameter } => {
                Ok(vec![self.shard_of_key(&parameter_text(parameter)?)])
            }
            ShardSelection::ByKeyRange { from, to } => {
                let first = parameter_text(from)?;
                let last = to
                    .as_deref()
                    .map_or_else(|| Ok(first.clone()), parameter_text)?;
                self.select_range(&first, &last)
            }
            ShardSelection::Listed { shards } => shards
                .iter()
                .map(|shard| self.position_of(*shard))
                .collect(),
        }
    }

    /// Returns the index of a shard in `shards`.
    ///
    /// # Errors
    /// `Error::Invalid` if the manifest has no such shard.
    pub fn position_of(&self, shard: ShardId) -> Result<usize> {
        self.shards
            .binary_search_by_key(&shard, |entry| entry.shard)
            .map_err(|_| {
                Error::invalid(
                    "shards",
                    format!("snapshot {} has no shard {shard}", self.snapshot),
                )
            })
    }

    fn select_range(&self, first: &str, last: &str) -> Result<Vec<usize>> {
        if first > last {
            return Err(Error::invalid(
                "shards",
                format!("the range from `{first}` to `{last}` is empty"),
            ));
        }
        let begin = self
            .shards
            .partition_point(|entry| entry.first_key.as_str() <= first)
            .saturating_sub(1);
        let end = self
            .shards
            .partition_point(|entry| entry.first_key.as_str() <= last)
            .max(begin + 1);
        Ok((begin..end).collect())
    }
}

impl ShardEntry {
    fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        if self.replicas.is_empty() {
            errors.push(Error::invalid(
                "shards.replicas",
                format!("shard {} has no replica", self.shard),
            ));
        }
        for replica in &self.replicas {
            if !(1..=MAX_SLOTS).contains(&replica.slots) || replica.connections == 0 {
                errors.push(Error::invalid(
                    "shards.replicas",
                    format!(
                        "target {}: allowed are 1 to {MAX_SLOTS} slots and 1 or more connections",
                        replica.target
                    ),
                ));
            }
        }
        errors
    }
}
