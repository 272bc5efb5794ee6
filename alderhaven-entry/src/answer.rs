//! Bodies of the replies to callers: a query's answer with its coverage, or an error.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use http::StatusCode;
use prometheus_client::encoding::EncodeLabelValue;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Body of the reply to a query that was answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// `Complete` or `Partial`.
    pub outcome: QueryOutcome,
    /// The merged rows as a JSON array.
    pub rows: Box<RawValue>,
    /// The shards that the rows cover.
    pub coverage: CoverageReport,
    /// The snapshot from which all rows are taken.
    pub snapshot: SnapshotId,
    /// How long the query and its attempts took.
    pub timing: AnswerTiming,
    /// Whether this repeats the answer to an earlier request with the same idempotency key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replayed: bool,
}

/// Duration and number of attempts of a query.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AnswerTiming {
    /// Time from the arrival of the request to its answer, in microseconds.
    pub total_us: u64,
    /// Longest service time of an attempt at its target, in microseconds.
    pub slowest_target_us: u64,
    /// Number of attempts started, including hedges and retries.
    pub attempts: usize,
}

/// The error codes that callers can receive. The set is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed, or a parameter is outside its bounds.
    BadRequest,
    /// The team's bearer token is missing or wrong.
    Unauthorized,
    /// The team may not use the template.
    Forbidden,
    /// No such path, template or team exists.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request head or body exceeds its limit.
    TooLarge,
    /// Refused because of load. Nothing ran.
    Overloaded,
    /// Refused for a reason other than load, for example an unreachable store. Nothing ran.
    Unavailable,
    /// The request ran without a usable answer. It is idempotent, so that a retry is safe.
    Failed,
    /// A non-idempotent request may or may not have run.
    Unknown,
    /// The idempotency key was used before for a different request.
    KeyConflict,
    /// The request crashed targets and is refused for some time.
    Quarantined,
}

impl ErrorCode {
    /// Returns the HTTP status of a reply with this code.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyConflict => StatusCode::CONFLICT,
            Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

impl ErrorCode {
    /// Returns the outcome under which a query with this code is counted and logged.
    #[must_use]
    pub const fn outcome(self) -> QueryOutcome {
        match self {
            Self::Failed => QueryOutcome::Failed,
            Self::Unknown => QueryOutcome::Unknown,
            _ => QueryOutcome::Refused,
        }
    }
}

/// Body of every error reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Code and message of the error.
    pub error: ErrorDetail,
    /// The coverage, if attempts were sent to shards.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageReport>,
    /// Whether this repeats the outcome of an earlier request with the same idempotency key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replayed: bool,
}

/// What went wrong, and whether a retry makes sense.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Machine-readable cause of the error.
    pub code: ErrorCode,
    /// One sentence that explains the error to a person.
    pub message: String,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// Time after which a retry makes sense, in milliseconds. Absent if it never does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorAnswer {
    /// Creates the error of a request that certainly did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                code,
                message: message.into(),
                not_run: true,
                retry_after_ms: None,
            },
            coverage: None,
            replayed: false,
        }
    }

    /// Creates the error of a request that ran or may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        let mut answer = Self::not_run(code, message);
        answer.error.not_run = false;
        answer
    }

    /// Sets the time after which a retry makes sense; at least 1 ms.
    #[must_use]
    pub fn with_retry_after(mut self, span: TimeSpan) -> Self {
        self.error.retry_after_ms = Some(span.as_millis().max(1));
        self
    }

    /// Adds the coverage of a query whose attempts were sent.
    #[must_use]
    pub fn with_coverage(mut self, coverage: CoverageReport) -> Self {
        self.coverage = Some(coverage);
        self
    }
}
