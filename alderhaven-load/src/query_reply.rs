//! What a caller received for a query.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

/// A `QueryReply` is what a caller received, with the times since the run began.
#[derive(Clone, Debug)]
pub struct QueryReply {
    /// When the request was sent.
    pub sent_at: TimeSpan,
    /// When the whole reply was there, or was given up.
    pub ended_at: TimeSpan,
    /// What was received.
    pub content: ReplyContent,
}

/// A `ReplyContent` is the body of a reply, or why there is none.
#[derive(Clone, Debug)]
pub enum ReplyContent {
    /// A whole body.
    Body(Bytes),
    /// The connection was cut after the request was sent.
    Aborted,
    /// No entry could be reached: nothing was sent.
    Unsent,
    /// Nothing came long after the deadline.
    TimedOut,
}

/// A `ReadReply` is a reply's body as it was understood.
#[derive(Clone, Debug)]
pub enum ParsedReply {
    /// An answer with rows.
    Answer(AnswerBody),
    /// Everything else.
    Error(ErrorBody),
    /// The body is neither.
    Unreadable,
}

/// An `AnswerBody` is the body of an answered query.
#[derive(Clone, Debug, Deserialize)]
pub struct AnswerBody {
    /// Complete or partial.
    pub outcome: QueryOutcome,
    /// The merged rows.
    pub rows: Value,
    /// The coverage.
    pub coverage: CoverageReport,
    /// The snapshot.
    pub snapshot: SnapshotId,
}

/// An `ErrorBody` is the body of an error.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorContent,
}

/// An `ErrorContent` says what went wrong.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorContent {
    /// The code.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// Whether the entry states that nothing ran.
    pub not_run: bool,
}

impl QueryReply {
    /// Reads the body.
    #[must_use]
    pub fn parse(&self) -> ParsedReply {
        let ReplyContent::Body(body) = &self.content else {
            return ParsedReply::Unreadable;
        };
        if let Ok(answer) = serde_json::from_slice(body) {
            return ParsedReply::Answer(answer);
        }
        serde_json::from_slice(body).map_or(ParsedReply::Unreadable, ParsedReply::Error)
    }
}
