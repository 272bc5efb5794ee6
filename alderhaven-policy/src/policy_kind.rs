//! Selects between this crate's policies and simple baselines to compare them with.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::Error;
use serde::{Deserialize, Serialize};

/// Set of policies that a process runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The policies that the modules of this crate describe.
    #[default]
    Current,
    /// Random replicas, first-in-first-out queues, limits fixed at the declared slots, no hedging
    /// and no early refusal.
    Baseline,
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Current => "current",
            Self::Baseline => "baseline",
        })
    }
}

impl FromStr for PolicyKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "current" => Ok(Self::Current),
            "baseline" => Ok(Self::Baseline),
            _ => Err(Error::parse("policy", text, "current or baseline")),
        }
    }
}
