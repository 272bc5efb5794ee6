//! Regression seeds: runs that once broke a promise, each with its cause.

use alderhaven_core::errors::{Error, Result};
use serde::{Deserialize, Serialize};

/// The cases, embedded at build time.
const CASES_YAML: &str = include_str!("../cases.yaml");

/// A run that once broke a promise.
#[expect(clippy::struct_excessive_bools, reason = "independent parts of a run")]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeedCase {
    /// The seed from which faults and requests are drawn.
    pub seed: u64,
    /// The length of the run in seconds.
    pub seconds: u64,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of callers.
    pub callers: usize,
    /// Whether the run has teams.
    #[serde(default)]
    pub teams: bool,
    /// Whether callers send requests that crash targets.
    #[serde(default)]
    pub crashes: bool,
    /// Whether some requests need seconds, and targets spoil answers.
    #[serde(default)]
    pub long_work: bool,
    /// Whether fronts that watch the store lose it just after a change.
    #[serde(default)]
    pub watcher_cuts: bool,
    /// Whether callers hold requests open that stop short of their end.
    #[serde(default)]
    pub stalled: bool,
    /// The broken promise and the defect behind it.
    pub cause: String,
}

/// Parses the embedded cases.
///
/// # Errors
/// `cases.yaml` is not a valid list of cases.
pub fn read() -> Result<Vec<SeedCase>> {
    serde_saphyr::from_str(CASES_YAML).map_err(|error| Error::invalid("cases", error.to_string()))
}
