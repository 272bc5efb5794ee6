//! Rows of a target's answer, computed from the attempt alone so that an oracle can verify any
//! answer.

use alderhaven_core::ids::{IndexVersion, ServiceName, ShardId};
use serde::{Deserialize, Serialize};

/// How many rows each shard returns.
pub const ROWS_PER_SHARD: u32 = 2;
/// Exclusive upper bound of a row's score.
pub const SCORE_BOUND: u64 = 1_000;
/// Longer keys are truncated; `id` still covers all parameters.
const MAX_KEY_CHARS: usize = 64;

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DerivedRow {
    /// Shard that produced the row.
    pub shard: ShardId,
    /// Index version that produced the row.
    pub version: IndexVersion,
    /// Values of the parameters, joined by `/`.
    pub key: String,
    /// Number to sort and to add up by, below [`SCORE_BOUND`].
    pub score: u64,
    /// Hash of service, shard, version, parameters and the row's position.
    pub id: String,
}

/// Computes the rows of one shard for `parameters` in canonical JSON.
#[must_use]
pub fn derive_rows(
    service: &ServiceName,
    shard: ShardId,
    version: IndexVersion,
    parameters: &str,
) -> Vec<DerivedRow> {
    let key = row_key(parameters);
    (0..ROWS_PER_SHARD)
        .map(|number| {
            let hash = row_hash(service, shard, version, parameters, number);
            let mut score_bytes = [0_u8; 8];
            score_bytes.copy_from_slice(&hash.as_bytes()[..8]);
            DerivedRow {
                shard,
                version,
                key: key.clone(),
                score: u64::from_le_bytes(score_bytes) % SCORE_BOUND,
                id: hash.to_hex()[..16].to_owned(),
            }
        })
        .collect()
}

fn row_hash(
    service: &ServiceName,
    shard: ShardId,
    version: IndexVersion,
    parameters: &str,
    number: u32,
) -> blake3::Hash {
    let text = format!("{service}\n{shard}\n{version}\n{number}\n{parameters}");
    blake3::hash(text.as_bytes())
}

/// Joins the parameters' values in the order of their names; empty for invalid JSON.
#[must_use]
pub fn row_key(parameters: &str) -> String {
    let values: alderhaven_core::parameters::ParameterSet =
        serde_json::from_str(parameters).unwrap_or_default();
    let texts: Vec<String> = values.0.values().map(ToString::to_string).collect();
    texts.join("/").chars().take(MAX_KEY_CHARS).collect()
}
