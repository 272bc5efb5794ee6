//! Answers to callers, independent of the protocol that carries them.

use alderhaven_core::time::TimeSpan;
use alderhaven_intake::held_bytes::HeldBytes;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use prometheus_client::encoding::EncodeLabelValue;

/// The answer to a caller's request.
#[derive(Clone, Debug)]
pub enum FrontAnswer {
    /// The merged records of a query over several shards.
    Gathered {
        /// The proofs of the shard replies that the answer contains.
        proofs: Vec<HeaderValue>,
        /// The number of shards without a reply in the answer.
        missing: usize,
        /// The greatest records of all replies, merged.
        records: Bytes,
    },
    /// A target's reply, forwarded unchanged.
    Forwarded(ForwardedReply),
    /// The request didn't run and won't.
    NotRun {
        /// The cause of the refusal.
        reason: RefusalReason,
        /// After how long the caller may retry.
        retry_after: TimeSpan,
    },
    /// The request didn't run and won't, because the caller's team is over its limit.
    OverLimit {
        /// After how long the team has credit again.
        retry_after: TimeSpan,
    },
    /// The outcome is unknown: the request may have run.
    Unknown {
        /// Whether the deadline passed.
        is_timed_out: bool,
    },
    /// The request is invalid.
    BadRequest(BadRequest),
}

/// A complete reply of a target.
#[derive(Clone, Debug)]
pub struct ForwardedReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: HeldBytes,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, serde::Serialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No attempt was sent: no target of the service is known or may be used.
    NoTarget,
    /// Every target that was tried refused the request or was unreachable.
    Refused,
    /// The request crashed targets that ran it.
    Crashes,
    /// An equal request that may have crashed targets is on trial.
    OnTrial,
    /// The services of the query are at their concurrency limit, and the wait would be too long.
    NoRoom,
    /// A query of higher rank took its place in the queue.
    Outranked,
    /// It waited in the queue for the longest time allowed.
    WaitOver,
    /// The front is stopping, and the request could not end before it.
    Stopping,
    /// No team has the key of the request.
    UnknownKey,
    /// The key isn't known here, but may be in a newer configuration.
    KeyUnconfirmed,
    /// The configuration may be too old for its keys to count.
    LeaseEnded,
    /// The caller's team is over its limit.
    OverLimit,
    /// The memory for the bodies of requests is used up, or others needed what this one occupied.
    NoMemory,
    /// The front can't obtain credit for the caller's team.
    NoCredit,
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BadRequest {
    /// No route matches.
    NoRoute,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The body is incomplete or the request can't be parsed.
    Unreadable,
    /// The key is unknown, missing, malformed or duplicated.
    UnknownKey,
}
