//! HTTP dialect of the targets: header names, requests, and the meaning of replies.
//!
//! `POST /query` runs an attempt; its body is the canonical JSON of the parameters. The reply is 200
//! with the rows as a JSON array and the echoed headers. 503 with `x-not-run: true` means that the
//! target shed the attempt before it ran; `x-draining: true` is added if it did so because it is
//! draining. 410 with `x-not-run: true` means that the index version is gone. After any other status,
//! the attempt may have run. `POST /cancel` with `x-attempt-id` asks the target to drop an attempt.

use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId};
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;

/// Path that runs an attempt.
pub const QUERY_PATH: &str = "/query";
/// Path that cancels an attempt.
pub const CANCEL_PATH: &str = "/cancel";
/// Header with the attempt's id; the target echoes it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Request header with the name of the service.
pub const SERVICE_HEADER: &str = "x-service";
/// Request header with the name of the template.
pub const TEMPLATE_HEADER: &str = "x-template";
/// Header with the number of the snapshot; the target echoes it.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Header with the number of the shard; the target echoes it.
pub const SHARD_HEADER: &str = "x-shard";
/// Header with the index version; the target echoes it.
pub const VERSION_HEADER: &str = "x-version";
/// Request header with the milliseconds until the deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Reply header that marks an attempt as not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Reply header by which a target reports that it is draining; any reply may carry it.
pub const DRAINING_HEADER: &str = "x-draining";
/// Reply header with the target's number of free slots, which may be outdated or wrong.
pub const FREE_SLOTS_HEADER: &str = "x-free-slots";

/// Request of one attempt to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The id of the attempt, by which it can be cancelled.
    pub attempt: AttemptId,
    /// The name of the service.
    pub service: String,
    /// The name of the template.
    pub template: String,
    /// The snapshot that the query is pinned to.
    pub snapshot: SnapshotId,
    /// The number of the requested shard.
    pub shard: ShardId,
    /// The shard's index version in that snapshot.
    pub version: IndexVersion,
    /// The time left until the query's deadline.
    pub remaining: TimeSpan,
    /// The canonical JSON of the parameters.
    pub parameters: Bytes,
}

impl TargetRequest {
    /// Builds the HTTP request for a target at `authority`.
    ///
    /// # Errors
    /// A name contains a character that is not allowed in a header.
    pub fn to_http(&self, authority: &str) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::post(QUERY_PATH)
            .header(http::header::HOST, authority)
            .header(ATTEMPT_HEADER, self.attempt.to_string())
            .header(SERVICE_HEADER, self.service.as_str())
            .header(TEMPLATE_HEADER, self.template.as_str())
            .header(SNAPSHOT_HEADER, self.snapshot.0)
            .header(SHARD_HEADER, self.shard.0)
            .header(VERSION_HEADER, self.version.0)
            .header(DEADLINE_HEADER, self.remaining.as_millis())
            .body(Full::new(self.parameters.clone()))
    }

    /// Derives the attempt's outcome from the status and headers of a reply. The body is valid only if
    /// the outcome is `Answered`.
    ///
    /// A 200 that does not echo this attempt, snapshot, shard and version belongs to another request,
    /// so the outcome of this attempt is unknown.
    #[must_use]
    pub fn classify_reply(&self, status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
        let not_run = header_equals(headers, NOT_RUN_HEADER, "true");
        match status {
            StatusCode::OK if self.echoes_request(headers) => AttemptOutcome::Answered,
            StatusCode::OK => AttemptOutcome::Unknown,
            StatusCode::SERVICE_UNAVAILABLE if not_run && is_draining(headers) => {
                AttemptOutcome::NotRun(NotRunReason::Draining)
            }
            StatusCode::SERVICE_UNAVAILABLE if not_run => {
                AttemptOutcome::NotRun(NotRunReason::Shed)
            }
            StatusCode::GONE if not_run => AttemptOutcome::VersionGone,
            _ => AttemptOutcome::Failed,
        }
    }

    fn echoes_request(&self, headers: &HeaderMap) -> bool {
        header_equals(headers, ATTEMPT_HEADER, &self.attempt.to_string())
            && header_equals(headers, SNAPSHOT_HEADER, &self.snapshot.to_string())
            && header_equals(headers, SHARD_HEADER, &self.shard.to_string())
            && header_equals(headers, VERSION_HEADER, &self.version.to_string())
    }
}

/// Returns true if a reply reports that its target is draining.
#[must_use]
pub fn is_draining(headers: &HeaderMap) -> bool {
    header_equals(headers, DRAINING_HEADER, "true")
}

/// Returns the number of free slots that a reply reports, if any.
#[must_use]
pub fn free_slots(headers: &HeaderMap) -> Option<u32> {
    headers.get(FREE_SLOTS_HEADER)?.to_str().ok()?.parse().ok()
}

fn header_equals(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|header| header.as_bytes() == value.as_bytes())
}
