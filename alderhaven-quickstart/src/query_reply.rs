//! The replies of entries as a caller parses them.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::Value;

/// The parsed reply to one query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryReply {
    /// A reply with a success status.
    Answer(AnswerBody),
    /// A reply with an error status and an error body.
    Error(ErrorBody),
    /// No reply or an invalid one, with the reason.
    Unreadable(String),
}

/// The body of a successful reply.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerBody {
    /// Complete or partial, as the coverage shows.
    pub outcome: QueryOutcome,
    /// The rows after the merge of the template.
    pub rows: Vec<Value>,
    /// The shards that were requested, answered and missing.
    pub coverage: CoverageReport,
    /// The snapshot that the query ran on.
    pub snapshot: SnapshotId,
    /// The times that the entry measured.
    pub timing: TimingBody,
}

/// The times and attempts of a query, as the entry measured them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TimingBody {
    /// The total time at the entry, in microseconds.
    pub total_us: u64,
    /// The longest service time of an attempt at its target, in microseconds.
    pub slowest_target_us: u64,
    /// The attempts that were sent, repeats and hedges included.
    pub attempts: usize,
}

/// The body of a reply with an error status.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ErrorBody {
    /// The reason and what the caller can do.
    pub error: ErrorPart,
    /// The coverage, if the query was sent to shards.
    #[serde(default)]
    pub coverage: Option<CoverageReport>,
}

/// The error of a query.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ErrorPart {
    /// The machine-readable error code.
    pub code: String,
    /// One sentence for humans.
    pub message: String,
    /// Whether it is certain that nothing ran at a target.
    pub not_run: bool,
    /// The milliseconds to wait before a retry.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl QueryReply {
    /// Parses the result of a call; a failed call is unreadable.
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

    /// Gets the query's outcome; `None` if the reply is unreadable.
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
