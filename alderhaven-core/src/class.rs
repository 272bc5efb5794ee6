//! Priority classes of queries, and whether a template prefers coverage or latency.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Priority of a query; the class with the lowest rank is served first.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum QueryClass {
    /// A caller can't continue without the answer, for example a duplicate check.
    Urgent,
    /// A caller waits for the answer but tolerates a delay.
    #[default]
    Ordinary,
    /// No caller waits for the answer, for example a monthly report.
    Bulk,
}

impl QueryClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Ordinary, Self::Bulk];

    /// Returns the rank, 0 for the most urgent class.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Urgent => 0,
            Self::Ordinary => 1,
            Self::Bulk => 2,
        }
    }

    /// Returns the class of a rank. Ranks above the last one are `Bulk`.
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

/// Whether a template favors a complete answer or an early one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerPreference {
    /// Waits for every shard until the deadline.
    #[default]
    Coverage,
    /// Answers from `answer_by` on as soon as `min_coverage` is reached.
    Latency,
}
