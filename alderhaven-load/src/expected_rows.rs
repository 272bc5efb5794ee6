//! The rows that an answer must have, worked out apart from the code of the entries, so that a
//! fault there does not hide itself.

use alderhaven_core::template::MergeRule;
use serde_json::{Value, json};

/// Gets the rows that `rows`, in the order of their shards, merge to.
#[must_use]
pub fn merge_rows(rule: &MergeRule, mut rows: Vec<Value>) -> Vec<Value> {
    match rule {
        MergeRule::Concatenate => rows,
        MergeRule::TopN {
            field,
            limit,
            ascending,
        } => {
            // Both sorts are stable: equal numbers stay in the order of shards.
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
