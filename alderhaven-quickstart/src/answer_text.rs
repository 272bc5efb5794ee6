//! The human-readable text of queries and replies.

use std::fmt::Write;

use serde_json::Value;

use crate::query_reply::{AnswerBody, ErrorBody, QueryReply};
use crate::sample_query::SampleQuery;

/// Further rows of an answer are only counted.
const MAX_SHOWN_ROWS: usize = 3;

/// Gets the text of a query and its reply, in several lines.
#[must_use]
pub fn reply_text(query: &SampleQuery, reply: &QueryReply) -> String {
    let mut text = format!(
        "{} for {}: {}\n",
        query.template,
        query.team,
        parameters_text(query)
    );
    if let Some(key) = query.idempotency_key {
        // Writing to a `String` can't fail.
        let _written = writeln!(text, "  Idempotency-Key {key}");
    }
    let rest = match reply {
        QueryReply::Answer(answer) => answer_text(answer),
        QueryReply::Error(body) => error_text(body),
        QueryReply::Unreadable(reason) => format!("  no readable reply: {reason}\n"),
    };
    text + &rest
}

fn parameters_text(query: &SampleQuery) -> String {
    let values: Vec<String> = query
        .parameters
        .0
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    values.join(", ")
}

fn answer_text(answer: &AnswerBody) -> String {
    let coverage = &answer.coverage;
    let mut text = format!(
        "  {}: shards {}/{}, snapshot {}, rows {}, {:.1} ms (slowest target {:.1} ms, attempts {})\n",
        answer.outcome,
        coverage.answered,
        coverage.requested,
        answer.snapshot,
        answer.rows.len(),
        micros_to_millis(answer.timing.total_us),
        micros_to_millis(answer.timing.slowest_target_us),
        answer.timing.attempts,
    );
    for missing in &coverage.missing {
        let _written = writeln!(
            text,
            "  missing: shard {}, {}",
            missing.shard, missing.reason
        );
    }
    for row in answer.rows.iter().take(MAX_SHOWN_ROWS) {
        let _written = writeln!(text, "    {}", row_text(row));
    }
    if answer.rows.len() > MAX_SHOWN_ROWS {
        let _written = writeln!(text, "    and {} more", answer.rows.len() - MAX_SHOWN_ROWS);
    }
    text
}

fn row_text(row: &Value) -> String {
    let Some(fields) = row.as_object() else {
        return row.to_string();
    };
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    fields.join(", ")
}

fn error_text(body: &ErrorBody) -> String {
    let error = &body.error;
    let run_text = if error.not_run {
        "nothing ran"
    } else {
        "it may have run"
    };
    let retry_text = error
        .retry_after_ms
        .map_or_else(String::new, |millis| format!("; retry after {millis} ms"));
    format!(
        "  {}: {} ({run_text}{retry_text})\n",
        error.code, error.message
    )
}

fn micros_to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
