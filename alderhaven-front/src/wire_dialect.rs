//! The interface between the front and a deployment's protocol with callers and targets.
//!
//! The front decides in terms of its own types. An implementation only translates them to and from
//! names, headers and bodies of the protocol.

use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, TeamId};
use alderhaven_core::time::TimeSpan;
use alderhaven_core::token_hash::TokenHash;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use crate::front_answer::FrontAnswer;
use crate::key_fault::KeyFault;
use crate::routing_config::RoutingConfig;
use crate::target_entry::TargetEntry;

/// The body of requests and responses; all are short and buffered.
pub type WholeBody = Full<Bytes>;

/// The fields of a caller's request head that the front uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt, empty if the request has none.
    pub request_id: String,
    /// How long the caller waits, if the request says so.
    pub time_left: Option<TimeSpan>,
}

/// A caller's query for the addresses of fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's failure domain, if it names a valid one.
    pub domain: Option<FailureDomain>,
}

/// The head of a caller's request as it is forwarded to targets, without the headers that differ
/// between attempts. Built once per query.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
}

/// What targets learn of the caller's team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeamHeader<'a> {
    /// The key and the team header are forwarded as received.
    AsReceived,
    /// Neither a key nor a team header is forwarded.
    Absent,
    /// This team is forwarded, whatever team header was received, and no key.
    Named(&'a TeamId),
}

/// The content of one attempt at a target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// The head to forward.
    pub head: &'a ForwardedHead,
    /// The body of the caller's request.
    pub body: &'a Bytes,
    /// The id of the intended target; another target at its address must refuse the request.
    pub target: &'a str,
    /// The remaining deadline of the attempt.
    pub time_left: TimeSpan,
}

/// The meaning of a target's reply head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The target ran the request and succeeded.
    Success,
    /// The target ran the request, or may have run it, and failed.
    Failure,
    /// The target gave the request up when its time was over. What it runs of it may go on.
    TimedOut,
    /// The target didn't run the request.
    NotRun,
    /// Another target has this address; the request didn't run.
    WrongTarget,
    /// The reply carries the id of another request.
    RequestIdMismatch,
}

/// Translates between the front's types and a deployment's protocol.
pub trait WireDialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn caller_head(&self, head: &Parts) -> CallerHead;

    /// Parses a directory query; `None` if the request is something else.
    fn directory_query(&self, head: &Parts) -> Option<DirectoryQuery>;

    /// Returns true if the request is a readiness probe.
    fn is_readiness_probe(&self, head: &Parts) -> bool;

    /// Builds the response to a directory query; callers may cache it for `ttl`.
    fn directory_response(&self, fronts: &[SocketAddr], ttl: TimeSpan) -> Response<WholeBody>;

    /// Builds the response to a caller.
    fn caller_response(&self, answer: FrontAnswer) -> Response<WholeBody>;

    /// Hashes the key of a caller's request and removes it from the head.
    ///
    /// # Errors
    /// What is wrong with the key; it is removed in this case as well.
    fn take_caller_key(&self, head: &mut Parts) -> Result<TokenHash, KeyFault>;

    /// Builds the head that all attempts of a request share.
    ///
    /// # Errors
    /// The path or the name of the team can't be forwarded.
    fn forwarded_head(
        &self,
        head: &Parts,
        team: TeamHeader<'_>,
    ) -> Result<ForwardedHead, http::Error>;

    /// Builds the request of one attempt.
    ///
    /// # Errors
    /// A value can't be represented in the protocol.
    fn target_request(&self, call: &TargetCall<'_>) -> Result<Request<WholeBody>, http::Error>;

    /// Classifies the head of a target's reply to the request `request_id`.
    fn reply_kind(&self, request_id: &str, status: StatusCode, headers: &HeaderMap) -> ReplyKind;

    /// Returns true if callers take this status for a request that failed and may have run. A failed
    /// reply with another status is not forwarded: it would pass for a success, for the promise that
    /// nothing ran, or for no answer at all.
    fn is_failure_status(&self, status: StatusCode) -> bool;

    /// Gets the proof in a target's reply, unchanged. Callers use it to verify the reply's origin.
    fn reply_proof(&self, headers: &HeaderMap) -> Option<http::HeaderValue>;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Describes what is invalid.
    fn read_routing(&self, body: &str) -> Result<RoutingConfig, String>;

    /// Parses the registration of the target `id`.
    ///
    /// # Errors
    /// Describes what is invalid; the entry is not a usable target.
    fn read_target(&self, id: &str, body: &str) -> Result<TargetEntry, String>;
}
