//! A caller's request as the front took it.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use bytes::Bytes;
use http::request::Parts;

/// A `QueryCall` is a caller's request as the front took it.
#[derive(Debug)]
pub struct QueryCall {
    /// The head.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// The caller's id of this attempt.
    pub request_id: Arc<str>,
    /// When it arrived.
    pub arrived: TimePoint,
    /// How long the caller waits, counted from its arrival.
    pub time_left: TimeSpan,
}
