//! Merges the rows of a query's shards into one answer.

use std::collections::HashSet;

use alderhaven_core::template::MergeRule;
use bytes::Bytes;
use serde_json::Value;
use serde_json::value::RawValue;

/// Returns true if the bytes are a JSON array.
#[must_use]
pub fn is_row_array(rows: &[u8]) -> bool {
    serde_json::from_slice::<Vec<&RawValue>>(rows).is_ok()
}

/// Merges JSON arrays of rows by a template's rule into the text of one JSON array.
///
/// Pass the shards in the order of their numbers, so that equal answers have equal texts.
#[must_use]
pub fn merge<'a>(rule: &MergeRule, shards: impl Iterator<Item = &'a Bytes>) -> String {
    match rule {
        MergeRule::Concatenate => concatenate(shards),
        MergeRule::TopN {
            field,
            limit,
            ascending,
        } => top_rows(field, *limit, *ascending, shards),
        MergeRule::Sum { field } => sum_rows(field, shards),
        MergeRule::DistinctBy { field } => distinct_rows(field, shards),
    }
}

fn concatenate<'a>(shards: impl Iterator<Item = &'a Bytes>) -> String {
    let mut merged = String::from("[");
    for rows in shards {
        let text = String::from_utf8_lossy(rows);
        let trimmed = text.trim();
        let inner = trimmed
            .strip_prefix('[')
            .and_then(|open| open.strip_suffix(']'))
            .unwrap_or_default();
        if inner.trim().is_empty() {
            continue;
        }
        if merged.len() > 1 {
            merged.push(',');
        }
        merged.push_str(inner);
    }
    merged.push(']');
    merged
}

fn parse_rows<'a>(shards: impl Iterator<Item = &'a Bytes>) -> impl Iterator<Item = Value> {
    shards.flat_map(|rows| serde_json::from_slice::<Vec<Value>>(rows).unwrap_or_default())
}

fn numeric_field(row: &Value, field: &str) -> f64 {
    row.get(field).and_then(Value::as_f64).unwrap_or(0.0)
}

fn top_rows<'a>(
    field: &str,
    limit: usize,
    ascending: bool,
    shards: impl Iterator<Item = &'a Bytes>,
) -> String {
    let mut rows: Vec<Value> = parse_rows(shards).collect();
    // The sort is stable: rows with equal numbers stay in the order of shards.
    rows.sort_by(|left, right| {
        let order = numeric_field(left, field).total_cmp(&numeric_field(right, field));
        if ascending { order } else { order.reverse() }
    });
    rows.truncate(limit);
    Value::Array(rows).to_string()
}

fn sum_rows<'a>(field: &str, shards: impl Iterator<Item = &'a Bytes>) -> String {
    let mut integer_sum: i128 = 0;
    let mut fraction_sum = 0.0;
    for row in parse_rows(shards) {
        match row.get(field).and_then(Value::as_i64) {
            Some(number) => integer_sum += i128::from(number),
            None => fraction_sum += numeric_field(&row, field),
        }
    }
    // Integers are added exactly; only fractions use floating point.
    let total = if fraction_sum == 0.0 {
        i64::try_from(integer_sum).map_or_else(|_| Value::from(integer_sum as f64), Value::from)
    } else {
        Value::from(integer_sum as f64 + fraction_sum)
    };
    serde_json::json!([{ field: total }]).to_string()
}

fn distinct_rows<'a>(field: &str, shards: impl Iterator<Item = &'a Bytes>) -> String {
    let mut seen = HashSet::new();
    let rows: Vec<Value> = parse_rows(shards)
        .filter(|row| seen.insert(row.get(field).map(Value::to_string)))
        .collect();
    Value::Array(rows).to_string()
}
