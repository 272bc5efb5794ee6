//! A sample query, with its HTTP request and the values that the oracle needs.

use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::parameters::ParameterSet;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Serialize;
use uuid::Uuid;

/// The request header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One query of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SampleQuery {
    /// The number of the query in the run, starting at 0.
    pub number: usize,
    /// The name of the template that the query runs.
    pub template: TemplateName,
    /// The team that sends the query.
    pub team: TeamId,
    /// The team's bearer token; `None` if the team needs none.
    pub token: Option<&'static str>,
    /// The values that the caller sets; the template has defaults for others.
    pub parameters: ParameterSet,
    /// The idempotency key, for queries that must run at most once.
    pub idempotency_key: Option<Uuid>,
}

#[derive(Serialize)]
struct QueryBody<'a> {
    team: &'a TeamId,
    parameters: &'a ParameterSet,
}

impl SampleQuery {
    /// Gets the URL path that runs the template.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/query/{}", self.template)
    }

    /// Gets the JSON text of the request body.
    #[must_use]
    pub fn body(&self) -> String {
        let body = QueryBody {
            team: &self.team,
            parameters: &self.parameters,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Builds the HTTP request with all headers that the query needs.
    ///
    /// # Errors
    /// If the path or the token has characters that are not allowed there.
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
