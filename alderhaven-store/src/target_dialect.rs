//! The targets' HTTP dialect, all of it: header names, what a request carries, how a reply is read.
//!
//! `POST /query` runs an attempt. The body is the canonical parameters. The reply is 200 with the
//! rows as a JSON array and the echoed headers. 503 with `x-not-run: true` says that the target
//! shed the attempt before it ran, with `x-draining: true` because it drains. 410 with
//! `x-not-run: true` says that the version is gone. Any other status may have run.
//! `POST /cancel` with `x-attempt-id` asks the target to drop an attempt.

use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId};
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;

/// The path that runs an attempt.
pub const QUERY_PATH: &str = "/query";
/// The path that drops an attempt.
pub const CANCEL_PATH: &str = "/cancel";
/// The header with the attempt's id, echoed.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The header with the service.
pub const SERVICE_HEADER: &str = "x-service";
/// The header with the template.
pub const TEMPLATE_HEADER: &str = "x-template";
/// The header with the snapshot, echoed.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// The header with the shard, echoed.
pub const SHARD_HEADER: &str = "x-shard";
/// The header with the index version, echoed.
pub const VERSION_HEADER: &str = "x-version";
/// The header with the remaining milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The reply header that marks an attempt as not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// The reply header that says that the target drains; it may come with any reply.
pub const DRAINING_HEADER: &str = "x-draining";
/// The reply header with the target's free slots, which may lag or mislead.
pub const FREE_SLOTS_HEADER: &str = "x-free-slots";

/// A `TargetRequest` is what an attempt says to its target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The service.
    pub service: String,
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
    /// The canonical parameters.
    pub parameters: Bytes,
}

impl TargetRequest {
    /// Builds the HTTP request for a target at `authority`.
    ///
    /// # Errors
    /// An error where a name can't stand in a header.
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

    /// Judges a reply by its status and headers; the body counts only where it is `Answered`.
    ///
    /// A 200 that does not echo this attempt, snapshot, shard and version belongs to something
    /// else (a crossed or late reply), and the attempt's own fate is then unknown.
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

/// Returns true where a reply says that its target drains.
#[must_use]
pub fn is_draining(headers: &HeaderMap) -> bool {
    header_equals(headers, DRAINING_HEADER, "true")
}

/// Gets the free slots that a reply reports.
#[must_use]
pub fn free_slots(headers: &HeaderMap) -> Option<u32> {
    headers.get(FREE_SLOTS_HEADER)?.to_str().ok()?.parse().ok()
}

fn header_equals(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|header| header.as_bytes() == value.as_bytes())
}
