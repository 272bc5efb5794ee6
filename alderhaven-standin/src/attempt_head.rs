//! The target's side of the HTTP protocol between relays and targets.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::ids::{AttemptId, IndexVersion, ServiceName, ShardId, SnapshotId};
use alderhaven_core::time::TimeSpan;
use alderhaven_store::target_dialect;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::http_server::{HttpReply, text_reply};

/// Metadata of an attempt, as carried by its request headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead {
    /// Identifies the attempt in cancellations and in the run log.
    pub attempt: AttemptId,
    /// Service that the attempt is addressed to.
    pub service: ServiceName,
    /// Name of the query template.
    pub template: String,
    /// Snapshot that the query is pinned to.
    pub snapshot: SnapshotId,
    /// Shard to read.
    pub shard: ShardId,
    /// Index version that the query is pinned to.
    pub version: IndexVersion,
    /// Time until the deadline, counted from the receipt of the request.
    pub remaining: TimeSpan,
}

impl AttemptHead {
    /// Parses the headers of a request.
    ///
    /// # Errors
    /// The name of the first header that is missing or malformed.
    pub fn parse(headers: &HeaderMap) -> Result<Self, &'static str> {
        Ok(Self {
            attempt: parse_attempt_id(headers)?,
            service: parse_header(headers, target_dialect::SERVICE_HEADER)?,
            template: parse_header(headers, target_dialect::TEMPLATE_HEADER)?,
            snapshot: parse_header(headers, target_dialect::SNAPSHOT_HEADER)?,
            shard: parse_header(headers, target_dialect::SHARD_HEADER)?,
            version: parse_header(headers, target_dialect::VERSION_HEADER)?,
            remaining: parse_header(headers, target_dialect::DEADLINE_HEADER)
                .map(TimeSpan::from_millis)?,
        })
    }

    /// Copies the identifying headers into a reply, by which the caller checks that it matches.
    pub fn echo_headers(&self, reply: &mut HttpReply) {
        set_header(reply, target_dialect::ATTEMPT_HEADER, self.attempt);
        set_header(reply, target_dialect::SNAPSHOT_HEADER, self.snapshot);
        set_header(reply, target_dialect::SHARD_HEADER, self.shard);
        set_header(reply, target_dialect::VERSION_HEADER, self.version);
    }
}

/// Parses the attempt id of a request.
///
/// # Errors
/// The name of the header if it is missing or malformed.
pub fn parse_attempt_id(headers: &HeaderMap) -> Result<AttemptId, &'static str> {
    parse_header(headers, target_dialect::ATTEMPT_HEADER)
}

/// Builds a reply that states that the attempt did not run, so that it may be retried.
#[must_use]
pub fn not_run_reply(status: StatusCode, reason: &str) -> HttpReply {
    let mut reply = text_reply(status, reason);
    set_header(&mut reply, target_dialect::NOT_RUN_HEADER, "true");
    reply
}

/// Replaces a header; a value that isn't valid in a header is skipped.
pub fn set_header(reply: &mut HttpReply, name: &'static str, value: impl fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        reply.headers_mut().insert(name, value);
    }
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, &'static str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or(name)
}
