//! Seeds that once broke a promise, each with its cause; they stay as they are.

use alderhaven_core::errors::{Error, Result};
use serde::{Deserialize, Serialize};

/// The cases, as they stand in the repository.
const CASES_YAML: &str = include_str!("../cases.yaml");

/// A `SeedCase` is a seed that once broke a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeedCase {
    /// The seed.
    pub seed: u64,
    /// The seconds of the run.
    pub seconds: u64,
    /// The fronts of the run.
    pub fronts: usize,
    /// The callers of the run.
    pub callers: usize,
    /// What was broken, and why.
    pub cause: String,
}

/// Reads the cases.
///
/// # Errors
/// The file does not hold a list of cases.
pub fn read() -> Result<Vec<SeedCase>> {
    serde_saphyr::from_str(CASES_YAML).map_err(|error| Error::invalid("cases", error.to_string()))
}
