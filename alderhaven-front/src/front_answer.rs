//! What a caller is answered.

use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use prometheus_client::encoding::EncodeLabelValue;

/// A `FrontAnswer` is an answer to a caller, before it is written in a protocol.
#[derive(Clone, Debug)]
pub enum FrontAnswer {
    /// The records of many shards, merged.
    Gathered {
        /// The proofs of the parts that are in the answer.
        proofs: Vec<HeaderValue>,
        /// The number of shards that are left out.
        missing: usize,
        /// The greatest records of the parts.
        records: Bytes,
    },
    /// A target's reply, as it is.
    Forwarded(ForwardedReply),
    /// The request has not run and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When the caller should come back.
        retry_after: TimeSpan,
    },
    /// The request may have run, and there is no answer.
    Unknown {
        /// Whether the time was up.
        is_timed_out: bool,
    },
    /// The request itself is at fault.
    BadRequest(BadRequest),
}

/// A `PassedReply` is a target's whole reply.
#[derive(Clone, Debug)]
pub struct ForwardedReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A `RefusalReason` is why a request was not run.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, serde::Serialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No target of the service could be reached.
    NoTarget,
    /// All targets that were asked refused.
    Refused,
    /// It has crashed the targets that ran it.
    Crashes,
    /// Its shards have no room, and the wait for it would be too long.
    NoRoom,
    /// A query of a better rank took its place in line.
    Outranked,
    /// It waited for room for as long as is worth it.
    WaitOver,
}

/// A `BadRequest` is what is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BadRequest {
    /// No route takes it.
    NoRoute,
    /// Its body is larger than allowed.
    BodyTooLarge,
    /// Its body broke off or can't be read.
    Unreadable,
}
