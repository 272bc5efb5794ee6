//! What callers are answered: an answer with its coverage, or an error in one form.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use http::StatusCode;
use prometheus_client::encoding::EncodeLabelValue;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A `QueryAnswer` is the body of an answered query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Complete or partial.
    pub outcome: QueryOutcome,
    /// The merged rows, a JSON array.
    pub rows: Box<RawValue>,
    /// The shards that the answer covers.
    pub coverage: CoverageReport,
    /// The snapshot that the whole answer reflects.
    pub snapshot: SnapshotId,
    /// Where the time went.
    pub timing: AnswerTiming,
    /// Whether this is the answer to an earlier send of the same request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replayed: bool,
}

/// An `AnswerTiming` says where the time of a query went.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AnswerTiming {
    /// From the request's arrival to its answer, in microseconds.
    pub total_us: u64,
    /// The longest time of an attempt at its target, in microseconds.
    pub slowest_target_us: u64,
    /// The number of attempts that were begun.
    pub attempts: usize,
}

/// An `ErrorCode` is the closed set of errors that callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request can't be read, or a parameter is out of its bounds.
    BadRequest,
    /// The team's bearer token is missing or wrong.
    Unauthorized,
    /// The team may not use the template.
    Forbidden,
    /// There is no such path, template or team.
    NotFound,
    /// The method is not allowed on the path.
    MethodNotAllowed,
    /// The head or the body is too large.
    TooLarge,
    /// The request is refused for now because of load; nothing ran.
    Overloaded,
    /// The request can't be served now, for another reason than load; nothing ran.
    Unavailable,
    /// The request ran without a usable answer; repeating it does no harm.
    Failed,
    /// A non-idempotent request may or may not have run.
    Unknown,
    /// The idempotency key was used before with other content.
    KeyConflict,
    /// The request crashed targets and is refused for a while; nothing ran.
    Quarantined,
}

impl ErrorCode {
    /// Gets the HTTP status that goes with the code.
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
    /// Gets the query's outcome that the code stands for.
    #[must_use]
    pub const fn outcome(self) -> QueryOutcome {
        match self {
            Self::Failed => QueryOutcome::Failed,
            Self::Unknown => QueryOutcome::Unknown,
            _ => QueryOutcome::Refused,
        }
    }
}

/// An `ErrorAnswer` is the body of everything that is not an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The error.
    pub error: ErrorDetail,
    /// The coverage, where the query was scattered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageReport>,
    /// Whether this is the answer to an earlier send of the same request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replayed: bool,
}

/// An `ErrorDetail` says what went wrong and what the caller may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The code.
    pub code: ErrorCode,
    /// One sentence for people.
    pub message: String,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// The milliseconds after which asking again makes sense; none where it never does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorAnswer {
    /// Returns an error of a request that was refused before anything ran.
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

    /// Returns an error of a request that ran, or may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        let mut answer = Self::not_run(code, message);
        answer.error.not_run = false;
        answer
    }

    /// Adds when asking again makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, span: TimeSpan) -> Self {
        self.error.retry_after_ms = Some(span.as_millis().max(1));
        self
    }

    /// Adds the coverage.
    #[must_use]
    pub fn with_coverage(mut self, coverage: CoverageReport) -> Self {
        self.coverage = Some(coverage);
        self
    }
}
