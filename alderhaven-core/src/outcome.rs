//! Outcomes of queries and of single attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a whole query, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryOutcome {
    /// Every requested shard answered for the pinned snapshot.
    Complete,
    /// Some requested shards answered; the coverage report lists the missing ones.
    Partial,
    /// The query was refused before any attempt ran.
    Refused,
    /// The query has no usable answer and can safely be repeated.
    Failed,
    /// A non-idempotent query may or may not have run, so a repetition could run it twice.
    Unknown,
}

impl fmt::Display for QueryOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Complete => "complete",
            Self::Partial => "partial",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

/// Outcome of one attempt at one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The target answered, and its reply was verified.
    Answered,
    /// The attempt provably did not run at the target.
    NotRun(NotRunReason),
    /// The target answered with an error and may have run the attempt.
    Failed,
    /// The target no longer holds the requested index version.
    VersionGone,
    /// No usable reply arrived, and the attempt may or may not have run.
    Unknown,
}

/// Evidence that an attempt did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No byte of the attempt was sent to the target.
    NotSent,
    /// The target shed the attempt before it ran.
    Shed,
    /// The target refused the attempt because it is draining.
    Draining,
    /// The attempt's deadline passed while it was queued.
    Expired,
    /// The relay's queue for the target was full.
    QueueFull,
    /// The attempt was cancelled while it was queued.
    Cancelled,
    /// The relay does not serve the target, is leaving, or knows that the target is leaving.
    NoRoute,
    /// The request is quarantined because it crashed targets.
    Quarantined,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotSent => "not_sent",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Expired => "expired",
            Self::QueueFull => "queue_full",
            Self::Cancelled => "cancelled",
            Self::NoRoute => "no_route",
            Self::Quarantined => "quarantined",
        })
    }
}
