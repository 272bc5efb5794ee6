//! Computes the rows that an answer must have. It shares no code with the entries, so that their
//! bugs are found.

use alderhaven_core::template::MergeRule;
use serde_json::{Value, json};

/// Merges the shards' rows, given in the order of the shards.
#[must_use]
pub fn merge_rows(rule: &MergeRule, mut rows: Vec<Value>) -> Vec<Value> {
    match rule {
        MergeRule::Concatenate => rows,
        MergeRule::TopN {
            field,
            limit,
            ascending,
        } => {
            // Both sorts are stable: rows with equal numbers stay in the order of shards.
            if *ascending {
                rows.sort_by_key(|row| numeric_field(row, field));
            } else {
                rows.sort_by_key(|row| std::cmp::Reverse(numeric_field(row, field)));
            }
            rows.truncate(*limit);
            rows
        }
        MergeRule::Sum { field } => {
            let sum: u64 = rows.iter().map(|row| numeric_field(row, field)).sum();
            vec![json!({ field.as_str(): sum })]
        }
        MergeRule::DistinctBy { field } => {
            let mut distinct: Vec<Value> = Vec::new();
            for row in rows {
                if distinct.iter().all(|kept| kept[field] != row[field]) {
                    distinct.push(row);
                }
            }
            distinct
        }
    }
}

fn numeric_field(row: &Value, field: &str) -> u64 {
    row[field].as_u64().unwrap_or(0)
}
