//! Reply to a query, as its caller received it.

use alderhaven_core::coverage::CoverageReport;
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

/// Reply with its times, counted from the start of the run.
#[derive(Clone, Debug)]
pub struct QueryReply {
    /// Time at which the request was sent.
    pub sent_at: TimeSpan,
    /// Time at which the reply was complete, or the caller gave up.
    pub ended_at: TimeSpan,
    /// Body, or the reason why there is none.
    pub content: ReplyContent,
}

/// Body of a reply, or the reason why there is none.
#[derive(Clone, Debug)]
pub enum ReplyContent {
    /// Complete body, of any status.
    Body(Bytes),
    /// The connection broke after the request was sent.
    Aborted,
    /// The entry could not be reached, so nothing was sent.
    Unsent,
    /// No reply until some time after the deadline.
    TimedOut,
}

/// Parsed body of a reply.
#[derive(Clone, Debug)]
pub enum ParsedReply {
    /// The query was answered, completely or in part.
    Answer(AnswerBody),
    /// The entry reported an error.
    Error(ErrorBody),
    /// No body, or one of neither form.
    Unreadable,
}

/// JSON body of an answered query.
#[derive(Clone, Debug, Deserialize)]
pub struct AnswerBody {
    /// `Complete` or `Partial`.
    pub outcome: QueryOutcome,
    /// Rows of all covered shards, merged by the template's rule.
    pub rows: Value,
    /// Which shards the rows cover.
    pub coverage: CoverageReport,
    /// Snapshot that the rows come from.
    pub snapshot: SnapshotId,
}

/// JSON body of a failed query.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// Details of the failure.
    pub error: ErrorContent,
}

/// Code and message of an error.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorContent {
    /// Machine-readable code.
    pub code: String,
    /// Explanation for people.
    pub message: String,
    /// Whether the entry asserts that no target ran the query.
    pub not_run: bool,
}

impl QueryReply {
    /// Parses the body as an answer, or else as an error.
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
