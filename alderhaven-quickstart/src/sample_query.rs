//! A sample query: what is sent and what an oracle needs to know of it.

use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::parameters::ParameterSet;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Serialize;
use uuid::Uuid;

/// The header with the key of a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A `SampleQuery` is one query of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleQuery {
    /// The query's number in the run, from 0.
    pub number: usize,
    /// The template.
    pub template: TemplateName,
    /// The team on whose behalf it runs.
    pub team: TeamId,
    /// The team's bearer token, where it has one.
    pub token: Option<&'static str>,
    /// The values that the caller gives.
    pub parameters: ParameterSet,
    /// The key of a request that must run at most once.
    pub idempotency_key: Option<Uuid>,
}

#[derive(Serialize)]
struct QueryBody<'a> {
    team: &'a TeamId,
    parameters: &'a ParameterSet,
}

impl SampleQuery {
    /// Gets the path of the query.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/query/{}", self.template)
    }

    /// Gets the body as JSON text.
    #[must_use]
    pub fn body(&self) -> String {
        let body = QueryBody {
            team: &self.team,
            parameters: &self.parameters,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Gets the request as a caller sends it.
    ///
    /// # Errors
    /// Where a part can't stand in a head; names and tokens of the examples can.
    pub fn request(&self) -> http::Result<Request<Full<Bytes>>> {
        let mut request =
            Request::post(self.path()).header(http::header::CONTENT_TYPE, "application/json");
        if let Some(token) = self.token {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(key) = self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key.to_string());
        }
        request.body(Full::from(self.body()))
    }
}
