//! The rows that a target answers with, derived from the attempt alone, so that an oracle can check
//! any answer.

use alderhaven_core::ids::{IndexVersion, ServiceName, ShardId};
use serde::{Deserialize, Serialize};

/// The number of rows that each shard answers with.
pub const ROWS_PER_SHARD: u32 = 2;
/// The greatest score of a row plus one.
pub const SCORE_BOUND: u64 = 1_000;
/// The longest `key` of a row in characters; the `id` covers the whole of the parameters.
const MAX_KEY_CHARS: usize = 64;

/// A `DerivedRow` is one row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DerivedRow {
    /// The shard that the row comes from.
    pub shard: ShardId,
    /// The index version that the row comes from.
    pub version: IndexVersion,
    /// The parameters' values as one text, joined by `/`.
    pub key: String,
    /// A number to order and to add up by.
    pub score: u64,
    /// The hash of service, shard, version, parameters and the row's number.
    pub id: String,
}

/// Derives the rows of one shard.
///
/// `parameters` is the canonical JSON text.
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

/// Gets the `key` of rows: the values of the parameters in name order.
#[must_use]
pub fn row_key(parameters: &str) -> String {
    let values: alderhaven_core::parameters::ParameterSet =
        serde_json::from_str(parameters).unwrap_or_default();
    let texts: Vec<String> = values.0.values().map(ToString::to_string).collect();
    texts.join("/").chars().take(MAX_KEY_CHARS).collect()
}
