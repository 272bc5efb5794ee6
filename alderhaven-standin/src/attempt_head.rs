//! The targets' side of their HTTP dialect.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::ids::{AttemptId, IndexVersion, ServiceName, ShardId, SnapshotId};
use alderhaven_core::time::TimeSpan;
use alderhaven_store::target_dialect;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::http_server::{HttpReply, text_reply};

/// An `AttemptHead` is what the headers of an attempt say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead {
    /// The attempt.
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceName,
    /// The template.
    pub template: String,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// The shard.
    pub shard: ShardId,
    /// The pinned index version.
    pub version: IndexVersion,
    /// The remaining time.
    pub remaining: TimeSpan,
}

impl AttemptHead {
    /// Reads the headers of an attempt.
    ///
    /// # Errors
    /// The name of the header that is missing or unreadable.
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

    /// Adds the headers that a reply echoes.
    pub fn echo_headers(&self, reply: &mut HttpReply) {
        set_header(reply, target_dialect::ATTEMPT_HEADER, self.attempt);
        set_header(reply, target_dialect::SNAPSHOT_HEADER, self.snapshot);
        set_header(reply, target_dialect::SHARD_HEADER, self.shard);
        set_header(reply, target_dialect::VERSION_HEADER, self.version);
    }
}

/// Gets the attempt id of a request.
///
/// # Errors
/// The name of the header where it is missing or unreadable.
pub fn parse_attempt_id(headers: &HeaderMap) -> Result<AttemptId, &'static str> {
    parse_header(headers, target_dialect::ATTEMPT_HEADER)
}

/// Returns a reply that says that the attempt did not run.
#[must_use]
pub fn not_run_reply(status: StatusCode, reason: &str) -> HttpReply {
    let mut reply = text_reply(status, reason);
    set_header(&mut reply, target_dialect::NOT_RUN_HEADER, "true");
    reply
}

/// Sets a header of a reply.
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
