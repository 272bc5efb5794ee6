//! The queries and replies of callers.

use std::net::SocketAddr;

use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::rows;
use alderhaven_standin::rows::DerivedRow;
use eyre::Result;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use uuid::Uuid;

/// The name of the only parameter of the templates.
pub const PARAMETER: &str = "key";
/// The team that sends the queries.
pub const TEAM: &str = "desk";

/// A reply that a caller received.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The JSON body: an answer or an error.
    pub body: Value,
}

/// A query of one of the templates.
#[derive(Clone, Debug, PartialEq, Eq, bon::Builder)]
#[builder(on(String, into))]
pub struct CallerQuery {
    /// The name of the template.
    pub template: String,
    /// The value of the parameter.
    pub key: String,
    /// The deadline in milliseconds; `None` for the template's.
    pub deadline_ms: Option<u64>,
    /// The idempotency key of a request that must run at most once.
    pub idempotency_key: Option<Uuid>,
}

impl CallerQuery {
    /// Sends the query to an entry over a new connection.
    ///
    /// # Errors
    /// No whole reply with a JSON body arrives.
    pub async fn send(&self, entry: SocketAddr) -> Result<CallerReply> {
        let mut connection = HttpConnection::connect(entry).await?;
        let mut body = json!({ "team": TEAM, "parameters": { PARAMETER: self.key } });
        if let Some(deadline_ms) = self.deadline_ms {
            body["deadline_ms"] = json!(deadline_ms);
        }
        let mut request = Request::post(format!("/v1/query/{}", self.template));
        if let Some(key) = self.idempotency_key {
            request = request.header("idempotency-key", key.to_string());
        }
        let response = connection
            .send(request.body(Full::from(body.to_string()))?)
            .await?;
        Ok(CallerReply {
            status: response.status(),
            body: serde_json::from_slice(response.body())?,
        })
    }

    /// Returns the rows that an answer of the manifest's snapshot over `shards` must contain.
    #[must_use]
    pub fn expected_rows(&self, manifest: &SnapshotManifest, shards: &[u32]) -> Value {
        let parameters = self.parameters();
        let rows: Vec<DerivedRow> = manifest
            .shards
            .iter()
            .filter(|entry| shards.contains(&entry.shard.0))
            .flat_map(|entry| {
                let service = &manifest.service;
                rows::derive_rows(service, entry.shard, entry.version, &parameters)
            })
            .collect();
        json!(rows)
    }

    /// Returns the canonical parameters, as run records contain them.
    #[must_use]
    pub fn parameters(&self) -> String {
        json!({ PARAMETER: self.key }).to_string()
    }
}

impl CallerReply {
    /// Returns the outcome of an answer or the code of an error.
    #[must_use]
    pub fn outcome_or_code(&self) -> &str {
        self.body["outcome"]
            .as_str()
            .or_else(|| self.body["error"]["code"].as_str())
            .unwrap_or("neither an answer nor an error")
    }

    /// Returns true if the reply states that nothing ran.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        self.body["error"]["not_run"] == Value::Bool(true)
    }

    /// Returns the numbers of the shards that the answer declares missing.
    #[must_use]
    pub fn missing_shards(&self) -> Vec<u64> {
        self.body["coverage"]["missing"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|shard| shard["shard"].as_u64())
            .collect()
    }
}
