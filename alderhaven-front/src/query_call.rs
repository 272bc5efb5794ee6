//! A caller's request as the front took it.

use std::sync::Arc;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::time::{TimePoint, TimeSpan};
use bytes::Bytes;
use http::header;
use http::request::Parts;

use crate::wire_dialect::ForwardedHead;

/// A `QueryCall` is a caller's request as the front took it.
#[derive(Debug)]
pub struct QueryCall {
    /// The head.
    pub head: Parts,
    /// The head as targets get it.
    pub forwarded_head: ForwardedHead,
    /// The body.
    pub body: Bytes,
    /// The caller's id of this attempt.
    pub request_id: Arc<str>,
    /// When it arrived.
    pub arrived_at: TimePoint,
    /// How long the caller waits, counted from its arrival.
    pub time_left: TimeSpan,
}

impl QueryCall {
    /// Gets what makes this request the same as another one: its method, site, path and body.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        let site = self.head.headers.get(header::HOST);
        let site = site.and_then(|site| site.to_str().ok()).unwrap_or_default();
        let name = format!("{} {site}{}", self.head.method, self.head.uri);
        RequestFingerprint::of_canonical(&name, &self.body)
    }
}
