//! The classes of queries and what a template prefers when it can't have everything.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A `QueryClass` says how urgent a query is; a lower class is served first.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum QueryClass {
    /// A caller waits on the answer to act, for example a duplicate check.
    Urgent,
    /// A caller waits, but a later answer does little harm.
    #[default]
    Ordinary,
    /// No caller waits, for example a monthly report.
    Bulk,
}

impl QueryClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Ordinary, Self::Bulk];

    /// Gets the class's rank, 0 for the most urgent.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Urgent => 0,
            Self::Ordinary => 1,
            Self::Bulk => 2,
        }
    }

    /// Gets the class of a rank; a rank beyond the last one is bulk.
    #[must_use]
    pub const fn from_rank(rank: u8) -> Self {
        match rank {
            0 => Self::Urgent,
            1 => Self::Ordinary,
            _ => Self::Bulk,
        }
    }
}

impl fmt::Display for QueryClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Bulk => "bulk",
        })
    }
}

/// An `AnswerPreference` says what a template gives up last.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerPreference {
    /// Waits for every shard until the deadline (duplicate checks).
    #[default]
    Coverage,
    /// Answers at `answer_by` once `min_coverage` is reached (a patient waits).
    Latency,
}
