//! Coverage report of an answer: which shards it includes, and why others are missing.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ShardId;

/// Coverage of the shards that a query requested.
///
/// Only verified replies count as answered. Every other requested shard is listed as missing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CoverageReport {
    /// The number of shards that the query selected in the pinned manifest.
    #[serde(rename = "asked")]
    pub requested: usize,
    /// The number of requested shards whose verified reply is part of the answer.
    pub answered: usize,
    /// The requested shards that are not part of the answer.
    pub missing: Vec<MissingShard>,
}

/// Requested shard that an answer does not include.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The number of the shard within its service.
    pub shard: ShardId,
    /// Why the answer does not include it.
    pub reason: MissingReason,
}

/// Why a requested shard is missing from an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply arrived in time.
    Late,
    /// Every attempt was shed, queued too long or refused before it ran.
    Overloaded,
    /// No replica of the shard could be reached.
    Unreachable,
    /// The replicas failed, or their replies could not be verified.
    Failed,
    /// No replica holds the pinned index version any more.
    VersionGone,
    /// The request is quarantined because it crashed targets.
    Quarantined,
}

impl fmt::Display for MissingReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Late => "late",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
            Self::Failed => "failed",
            Self::VersionGone => "version_gone",
            Self::Quarantined => "quarantined",
        })
    }
}

impl CoverageReport {
    /// Returns true if every requested shard answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.answered == self.requested && self.missing.is_empty()
    }

    /// Returns the answered share of the requested shards, from 0 to 1; 1 if none was requested.
    #[must_use]
    pub fn covered_share(&self) -> f64 {
        if self.requested == 0 {
            1.0
        } else {
            self.answered as f64 / self.requested as f64
        }
    }
}
