//! The closed sets of outcomes: of a query, of one attempt, and the reasons for not running.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A `QueryOutcome` is what a caller is told of its query as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryOutcome {
    /// Every asked shard answered for the pinned snapshot.
    Complete,
    /// Some asked shards answered; the coverage names the missing ones.
    Partial,
    /// The query was refused before anything ran: `not_run` is true.
    Refused,
    /// The query ran without a usable answer, and repeating it does no harm.
    Failed,
    /// A non-idempotent query may or may not have run.
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

/// An `AttemptOutcome` is what became of one attempt at one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The target answered and its reply was verified.
    Answered,
    /// The attempt certainly did not run at the target.
    NotRun(NotRunReason),
    /// The target answered with an error after it ran the attempt.
    Failed,
    /// The target no longer holds the index version that was asked for.
    VersionGone,
    /// The attempt may or may not have run.
    Unknown,
}

/// A `NotRunReason` names the evidence that an attempt did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No byte of the attempt was sent to the target.
    NotSent,
    /// The target marked the attempt as shed before it ran.
    Shed,
    /// The target marked the attempt as refused because it drains.
    Draining,
    /// The attempt's time was up while it was queued.
    Expired,
    /// The queue before the target was full.
    QueueFull,
    /// The attempt was cancelled while it was queued.
    Cancelled,
    /// The relay does not serve the target, is leaving, or has heard that the target leaves.
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
