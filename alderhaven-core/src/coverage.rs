//! The report of which shards an answer covers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ShardId;

/// A `CoverageReport` states which of the asked shards an answer covers.
///
/// It is counted from verified replies alone: a shard is answered or it is missing with a reason.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CoverageReport {
    /// The number of shards that the query selects in the pinned manifest.
    #[serde(rename = "asked")]
    pub requested: usize,
    /// The number of those shards whose verified reply is part of the answer.
    pub answered: usize,
    /// The shards that are not part of the answer.
    pub missing: Vec<MissingShard>,
}

/// A `MissingShard` names a shard that an answer does not cover and why.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why the answer does not cover it.
    pub reason: MissingReason,
}

/// A `MissingReason` says why a shard is not covered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply came in time.
    Late,
    /// Every attempt was shed, queued too long or refused before it ran.
    Overloaded,
    /// No replica of the shard could be reached.
    Unreachable,
    /// The replicas failed or sent replies that could not be verified.
    Failed,
    /// No replica holds the pinned version any more.
    VersionGone,
    /// The request is quarantined.
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
    /// Returns true where every asked shard is covered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.answered == self.requested && self.missing.is_empty()
    }

    /// Gets the covered share of the asked shards, 1 where none was asked.
    #[must_use]
    pub fn covered_share(&self) -> f64 {
        if self.requested == 0 {
            1.0
        } else {
            self.answered as f64 / self.requested as f64
        }
    }
}
