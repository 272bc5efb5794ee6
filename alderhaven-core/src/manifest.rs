//! Snapshot manifests: the shard map of a service with the index version of each shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::errors::{Error, Result};
use crate::ids::{FailureDomain, IndexVersion, ServiceName, ShardId, SnapshotId, TargetId};
use crate::parameters::ParameterSet;
use crate::template::{ShardSelection, key_text};

/// The most shards that one manifest may have.
pub const MAX_SHARDS: usize = 4096;
/// The most slots that a target may declare; a relay may open as many connections to it.
pub const MAX_SLOTS: u32 = 1024;

/// A `SnapshotManifest` fixes, for one service, its shards, their versions and their replicas.
///
/// A query is pinned to one manifest, and every reply must name its snapshot and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotManifest {
    /// The service.
    pub service: ServiceName,
    /// The snapshot's number; a newer manifest has a higher one.
    pub snapshot: SnapshotId,
    /// The shards in the order of their numbers.
    pub shards: Vec<ShardEntry>,
}

/// A `ShardEntry` is one shard of a manifest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// The shard.
    pub shard: ShardId,
    /// The index version that belongs to the snapshot.
    pub version: IndexVersion,
    /// The least key of the shard, included; the shard ends where the next one begins.
    #[serde(default)]
    pub first_key: String,
    /// The targets that hold the version.
    pub replicas: SmallVec<[ReplicaEntry; 4]>,
}

/// A `ReplicaEntry` is one target of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaEntry {
    /// The target.
    pub target: TargetId,
    /// Where the target is reached, by IP number.
    pub address: SocketAddr,
    /// The failure domain that the target runs in.
    pub domain: FailureDomain,
    /// How many attempts the target runs at a time.
    pub slots: u32,
    /// How many connections the target takes.
    pub connections: u32,
}

impl SnapshotManifest {
    /// Checks the manifest and collects everything that is wrong with it.
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
                    format!("shard {} must come after {}", pair[1].shard, pair[0].shard),
                ));
            }
            if pair[0].first_key > pair[1].first_key {
                errors.push(Error::invalid(
                    "shards.first_key",
                    format!("shard {} begins before the one ahead of it", pair[1].shard),
                ));
            }
        }
        for entry in &self.shards {
            errors.extend(entry.check());
        }
        errors
    }

    /// Gets the position of the shard that the hash of `key` falls on.
    ///
    /// The hash is BLAKE3, so that every node and target agrees on it.
    #[must_use]
    pub fn shard_of_key(&self, key: &str) -> usize {
        let hash = blake3::hash(key.as_bytes());
        let mut hash_prefix = [0_u8; 8];
        hash_prefix.copy_from_slice(&hash.as_bytes()[..8]);
        let count = self.shards.len().max(1) as u64;
        usize::try_from(u64::from_le_bytes(hash_prefix) % count).unwrap_or(0)
    }

    /// Gets the positions in `shards` that a query with these parameters asks.
    ///
    /// # Errors
    /// `Error::Invalid` where a listed shard is not in the manifest or the range is empty, so that
    /// an answer never claims to be complete over shards that nobody asked.
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

    /// Gets the position of a shard in `shards`.
    ///
    /// # Errors
    /// `Error::Invalid` where the manifest has no such shard.
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
