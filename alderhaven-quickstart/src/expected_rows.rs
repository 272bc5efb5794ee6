//! Computes the rows of a correct answer from the rows that stand-in targets derive.
//!
//! The implementation is independent of the entry's merge, so that an error there is detected.

use std::collections::HashSet;

use alderhaven_core::ids::ShardId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::template::MergeRule;
use alderhaven_standin::rows;
use alderhaven_standin::rows::DerivedRow;
use serde_json::{Value, json};

/// Gets the merged rows of an answer that covers `shards`, for parameters in canonical JSON.
#[must_use]
pub fn expected_rows(
    rule: &MergeRule,
    manifest: &SnapshotManifest,
    shards: &[ShardId],
    parameters: &str,
) -> Vec<Value> {
    let derived: Vec<DerivedRow> = manifest
        .shards
        .iter()
        .filter(|entry| shards.contains(&entry.shard))
        .flat_map(|entry| {
            rows::derive_rows(&manifest.service, entry.shard, entry.version, parameters)
        })
        .collect();
    let row_values = derived.iter().map(|row| json!(row));
    match rule {
        MergeRule::Concatenate => row_values.collect(),
        MergeRule::TopN {
            field,
            limit,
            ascending,
        } => {
            let mut ordered: Vec<Value> = row_values.collect();
            ordered.sort_by_key(|row| {
                let number = numeric_field(row, field);
                if *ascending { number } else { -number }
            });
            ordered.truncate(*limit);
            ordered
        }
        MergeRule::Sum { field } => {
            let total: i64 = row_values.map(|row| numeric_field(&row, field)).sum();
            vec![json!({ field: total })]
        }
        MergeRule::DistinctBy { field } => {
            let mut seen = HashSet::new();
            row_values
                .filter(|row| seen.insert(row[field].to_string()))
                .collect()
        }
    }
}

fn numeric_field(row: &Value, field: &str) -> i64 {
    row[field].as_i64().unwrap_or_default()
}
