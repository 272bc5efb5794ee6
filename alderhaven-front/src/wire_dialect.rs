//! The edge towards everything that speaks a published protocol: callers and targets.
//!
//! The front decides in its own types; an implementation translates between these and the names,
//! headers and bodies of a deployment's protocol, and decides nothing.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use crate::front_answer::FrontAnswer;
use crate::routing_config::RoutingConfig;
use crate::target_entry::TargetEntry;

/// The body of every message: all of them are short and known whole.
pub type WholeBody = Full<Bytes>;

/// A `CallerHead` is what the front needs of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The id of this attempt of the caller, empty where it gave none.
    pub request_id: String,
    /// How long the caller will wait, where it says so.
    pub time_left: Option<TimeSpan>,
}

/// A `DirectoryQuestion` is a caller's question for fronts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's failure domain, where it names a usable one.
    pub domain: Option<FailureDomain>,
}

/// A `ForwardedHead` is the head of a caller's request as targets get it, but for what differs between
/// attempts. It is built once a query.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
}

/// A `TargetCall` is one attempt at one target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// The head of the caller's request as targets get it.
    pub head: &'a ForwardedHead,
    /// The body of the caller's request.
    pub body: &'a Bytes,
    /// The id of the target that is meant; another one at its address must refuse.
    pub target: &'a str,
    /// The time that is left for the attempt.
    pub time_left: TimeSpan,
}

/// A `ReplyKind` says what the head of a target's reply amounts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The target ran the request and succeeded.
    Success,
    /// The target ran the request, or may have, and failed.
    Failure,
    /// The target did not run the request.
    NotRun,
    /// Another target has the address, which did not run the request.
    WrongTarget,
    /// The reply belongs to another request.
    RequestIdMismatch,
}

/// A `WireDialect` translates between the front's types and a deployment's protocol.
pub trait WireDialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn caller_head(&self, head: &Parts) -> CallerHead;

    /// Reads a question for fronts; none where the request is no such question.
    fn directory_query(&self, head: &Parts) -> Option<DirectoryQuery>;

    /// Returns true where a request asks whether the front is ready.
    fn is_readiness_probe(&self, head: &Parts) -> bool;

    /// Builds the answer to a question for fronts.
    fn directory_response(&self, fronts: &[SocketAddr], ttl: TimeSpan) -> Response<WholeBody>;

    /// Builds an answer to a caller.
    fn caller_response(&self, answer: FrontAnswer) -> Response<WholeBody>;

    /// Builds what all attempts of a request have in common.
    ///
    /// # Errors
    /// The path can't be forwarded.
    fn forwarded_head(&self, head: &Parts) -> Result<ForwardedHead, http::Error>;

    /// Builds an attempt at a target.
    ///
    /// # Errors
    /// The request can't be written in the protocol.
    fn target_request(&self, call: &TargetCall<'_>) -> Result<Request<WholeBody>, http::Error>;

    /// Reads the head of a target's reply to the request with this id.
    fn reply_kind(&self, request_id: &str, status: StatusCode, headers: &HeaderMap) -> ReplyKind;

    /// Gets the proof of a target's answer, which callers check, as it was sent.
    fn reply_proof(&self, headers: &HeaderMap) -> Option<http::HeaderValue>;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Says what can't be read.
    fn read_routing(&self, body: &str) -> Result<RoutingConfig, String>;

    /// Reads the registration of the target with this id.
    ///
    /// # Errors
    /// Says what can't be read; such an entry names no target.
    fn read_target(&self, id: &str, body: &str) -> Result<TargetEntry, String>;
}
