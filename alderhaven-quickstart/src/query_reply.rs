//! What a caller reads from an entry's reply.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::Value;

/// A `QueryReply` is the reply to one query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryReply {
    /// Rows with their coverage.
    Answer(AnswerBody),
    /// An error in the one form of errors.
    Error(ErrorBody),
    /// No reply, or one that has neither form.
    Unreadable(String),
}

/// An `AnswerBody` is the body of an answered query.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBody {
    /// Complete or partial.
    pub outcome: QueryOutcome,
    /// The merged rows.
    pub rows: Vec<Value>,
    /// Which shards are covered.
    pub coverage: CoverageReport,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Where the time went.
    pub timing: TimingBody,
}

/// A `TimingBody` says where the time of a query went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TimingBody {
    /// The whole time at the entry, in microseconds.
    pub total_us: u64,
    /// The longest time of an attempt at its target, in microseconds.
    pub slowest_target_us: u64,
    /// The number of attempts.
    pub attempts: usize,
}

/// An `ErrorBody` is the body of everything that is not an answer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorPart,
    /// The coverage, where the query was scattered.
    #[serde(default)]
    pub coverage: Option<CoverageReport>,
}

/// An `ErrorPart` says what went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ErrorPart {
    /// The code.
    pub code: String,
    /// One sentence for people.
    pub message: String,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// The milliseconds after which asking again makes sense.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl QueryReply {
    /// Reads a reply; a call without one is unreadable.
    #[must_use]
    pub fn from_result(result: eyre::Result<Response<Bytes>>) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(error) => return Self::Unreadable(error.to_string()),
        };
        let status = response.status();
        let reply = if status.is_success() {
            serde_json::from_slice(response.body()).map(Self::Answer)
        } else {
            serde_json::from_slice(response.body()).map(Self::Error)
        };
        reply.unwrap_or_else(|error| Self::Unreadable(format!("status {status}: {error}")))
    }

    /// Gets the query's outcome, none where the reply is unreadable.
    #[must_use]
    pub fn outcome(&self) -> Option<QueryOutcome> {
        match self {
            Self::Answer(answer) => Some(answer.outcome),
            Self::Error(body) => Some(match body.error.code.as_str() {
                "failed" => QueryOutcome::Failed,
                "unknown" => QueryOutcome::Unknown,
                _ => QueryOutcome::Refused,
            }),
            Self::Unreadable(_) => None,
        }
    }
}
