//! A caller's request, as the front received it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, OnceLock};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::work_estimate::{WorkKind, WorkKinds};
use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, header};

use crate::caller_identity::CallerIdentity;
use crate::wire_dialect::ForwardedHead;

/// A received request with its body read in full.
#[derive(Debug)]
pub struct QueryCall {
    /// Who sent the request.
    pub identity: CallerIdentity,
    /// Method, URI and headers as received, without the key if the caller was identified.
    pub head: Parts,
    /// Head that is sent to targets.
    pub forwarded_head: ForwardedHead,
    /// Complete request body.
    pub body: Bytes,
    /// Request id as the caller sent it.
    pub request_id: Arc<str>,
    /// Arrival time at this front.
    pub arrived_at: TimePoint,
    /// How long the caller waits, counted from `arrived_at`.
    pub time_left: TimeSpan,
    /// The fingerprint, once it is known.
    pub known_fingerprint: OnceLock<RequestFingerprint>,
}

impl QueryCall {
    /// Returns the headers that a front of another failure domain receives to send the request on.
    ///
    /// If the caller was identified here, they are those that targets receive: the team header must
    /// pass the other front unchanged, even if the caller named it in a hop-by-hop header.
    #[must_use]
    pub fn relayed_headers(&self) -> &HeaderMap {
        match self.identity {
            CallerIdentity::Undetermined => &self.head.headers,
            CallerIdentity::Anyone | CallerIdentity::Team(_) => &self.forwarded_head.headers,
        }
    }

    /// Returns the fingerprint of method, site, path, query and body, which equal requests of all
    /// callers share.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self
            .known_fingerprint
            .get_or_init(|| self.compute_fingerprint())
    }

    /// Returns the kinds of work: the method with the first and with the last segment of the path after
    /// the route's prefix, either of which may name an operation.
    #[must_use]
    pub fn work_kinds(&self, path_prefix: &str) -> WorkKinds {
        let path = self.head.uri.path();
        let rest = path.strip_prefix(path_prefix).unwrap_or(path);
        let mut segments = rest.split('/').filter(|segment| !segment.is_empty());
        let ends = [segments.next(), segments.next_back()];
        let ends = ends.into_iter().enumerate();
        ends.filter_map(|(position, segment)| Some(self.work_kind(position, segment?)))
            .collect()
    }

    fn work_kind(&self, position: usize, segment: &str) -> WorkKind {
        let mut hasher = DefaultHasher::new();
        self.head.method.hash(&mut hasher);
        position.hash(&mut hasher);
        segment.hash(&mut hasher);
        WorkKind::from_hash(hasher.finish())
    }

    fn compute_fingerprint(&self) -> RequestFingerprint {
        let site = self.head.headers.get(header::HOST);
        let site = site.and_then(|site| site.to_str().ok()).unwrap_or_default();
        // A front that sends attempts for another one receives path and query alone.
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", PathAndQuery::as_str);
        let name = format!("{} {site}{path}", self.head.method);
        RequestFingerprint::of_canonical(&name, &self.body)
    }
}
