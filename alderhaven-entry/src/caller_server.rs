//! The HTTP server for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use alderhaven_platform::config_handle::ConfigHandle;
use alderhaven_platform::http_store::HttpStore;
use alderhaven_policy::admit_decision::{Refusal, RefusalReason};
use alderhaven_policy::claim_key::ClaimKey;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::admission_desk::AdmissionDesk;
use crate::answer::{ErrorAnswer, ErrorCode, QueryAnswer};
use crate::claimed_runner::ClaimedRunner;
use crate::metrics::EntryMetrics;
use crate::query_plan::{QueryPlan, QueryRequest};
use crate::query_runner::QueryRunner;
use crate::settings::EntryLimits;

/// The path below which templates are queried.
const QUERY_PREFIX: &str = "/v1/query/";
/// The path that says whether the entry serves.
const HEALTH_PATH: &str = "/v1/health";
/// The header with the key of a non-idempotent request, a `UUIDv7`.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A `CallerService` answers callers.
#[derive(Debug)]
pub struct CallerService {
    /// The limits on what callers send.
    pub limits: EntryLimits,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// What admits the queries.
    pub desk: Arc<AdmissionDesk>,
    /// What runs the queries.
    pub runner: Arc<QueryRunner>,
    /// What runs the non-idempotent ones.
    pub claims: Arc<ClaimedRunner<HttpStore>>,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
}

/// Accepts connections from callers until the process ends.
pub async fn serve(listener: TcpListener, caller_service: Arc<CallerService>) {
    let permits = Arc::new(Semaphore::new(caller_service.limits.caller_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let caller_service = Arc::clone(&caller_service);
        tokio::spawn(async move {
            serve_connection(stream, caller_service).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, caller_service: Arc<CallerService>) {
    let _without_nagle = stream.set_nodelay(true);
    let limits = caller_service.limits.clone();
    let answering = service::service_fn(move |request| {
        let caller_service = Arc::clone(&caller_service);
        async move { Ok::<_, Infallible>(caller_service.answer(request).await) }
    });
    // A malformed request is answered by hyper and ends this connection only.
    let _ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout.as_duration())
        .max_buf_size(limits.head.as_bytes().max(8 << 10))
        .serve_connection(TokioIo::new(stream), answering)
        .await;
}

impl CallerService {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if let Some(template) = path.strip_prefix(QUERY_PREFIX) {
            if request.method() != Method::POST {
                return error_response(&ErrorAnswer::not_run(
                    ErrorCode::MethodNotAllowed,
                    "queries are sent with POST",
                ));
            }
            return match self.query(template, request).await {
                Ok(body) => body,
                Err(error) => error_response(&error),
            };
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, HEALTH_PATH) => {
                json_response(StatusCode::OK, &serde_json::json!({ "status": "serving" }))
            }
            _ => error_response(&ErrorAnswer::not_run(
                ErrorCode::NotFound,
                format!("there is no {path}"),
            )),
        }
    }

    async fn query(
        &self,
        template: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ErrorAnswer> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let body = self.read_body(body).await?;
        let query: QueryRequest = serde_json::from_slice(&body).map_err(|error| {
            ErrorAnswer::not_run(
                ErrorCode::BadRequest,
                format!("the body is refused: {error}"),
            )
        })?;
        let view = self.config.view();
        let token = bearer_token(&head.headers);
        let plan = QueryPlan::make(&view, template, query, token, arrived)?;
        let class = plan.template.class;
        let key = if plan.template.idempotent {
            None
        } else {
            Some(idempotency_key(&head.headers)?)
        };
        self.metrics.in_flight.inc();
        let answer = match key {
            None => self.admit_and_run(&plan).await,
            Some(key) => self.claims.answer(key, plan).await,
        };
        self.metrics.in_flight.dec();
        let outcome = answer
            .as_ref()
            .map_or_else(|error| error.error.code.outcome(), |answer| answer.outcome);
        let seconds = arrived.elapsed().as_secs_f64();
        self.metrics.observe_query(class, outcome, seconds);
        Ok(json_response(StatusCode::OK, &answer?))
    }

    async fn admit_and_run(&self, plan: &QueryPlan) -> Result<QueryAnswer, ErrorAnswer> {
        self.runner.check_quarantine(plan)?;
        let mut pass = self.desk.admit(plan).await.map_err(refused)?;
        self.runner.run(plan, &mut pass).await
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ErrorAnswer> {
        let limit = self.limits.body;
        let reading = Limited::new(body, limit.as_bytes()).collect();
        let read = tokio::time::timeout(self.limits.read_timeout.as_duration(), reading).await;
        match read {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(
                ErrorAnswer::not_run(ErrorCode::TooLarge, format!("a body has at most {limit}")),
            ),
            Ok(Err(error)) => Err(ErrorAnswer::not_run(
                ErrorCode::BadRequest,
                format!("the body can't be read: {error}"),
            )),
            Err(_) => Err(ErrorAnswer::not_run(
                ErrorCode::BadRequest,
                format!("the body did not come within {}", self.limits.read_timeout),
            )),
        }
    }
}

pub(crate) fn refused(refusal: Refusal) -> ErrorAnswer {
    let message = match refusal.reason {
        RefusalReason::TeamRate => "the team's rate is used up",
        RefusalReason::TeamInFlight => "the team has as many queries in flight as it may",
        RefusalReason::Overloaded => "the service is full",
        RefusalReason::Deadline => "the answer would come after the deadline",
    };
    ErrorAnswer::not_run(ErrorCode::Overloaded, message).with_retry_after(refusal.retry_after)
}

fn idempotency_key(headers: &HeaderMap) -> Result<ClaimKey, ErrorAnswer> {
    let bad = |message: String| ErrorAnswer::not_run(ErrorCode::BadRequest, message);
    let key = headers.get(IDEMPOTENCY_KEY_HEADER).ok_or_else(|| {
        bad("the template is not idempotent and needs an Idempotency-Key header".to_owned())
    })?;
    key.to_str()
        .unwrap_or_default()
        .parse()
        .map_err(|error: alderhaven_core::errors::Error| bad(error.to_string()))
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn error_response(answer: &ErrorAnswer) -> Response<Full<Bytes>> {
    json_response(answer.error.code.status(), answer)
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
