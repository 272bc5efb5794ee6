//! HTTP server for operators.
//!
//! | Call | Response |
//! |---|---|
//! | `GET /metrics` | metrics in the `OpenMetrics` text format |
//! | `GET /debug/dump` | complete state of the process as JSON |
//! | `GET /debug/status` | summary as JSON: node, role, incarnation, configuration in force |
//! | `POST /drain` | 202; starts a graceful shutdown |

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
pub const DUMP_PATH: &str = "/debug/dump";
/// Path of the status summary.
pub const STATUS_PATH: &str = "/debug/status";
/// Path that starts a graceful shutdown.
pub const DRAIN_PATH: &str = "/drain";
/// Content type of the `OpenMetrics` text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 32;
/// Timeout for reading a request's headers.
const HEADER_READ_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);
/// Size of a connection's buffer, which is the largest request head.
const BUFFER_BYTES: usize = 16 << 10;

/// Data and actions that a process offers to operators.
pub trait OperatorSource: Send + Sync + 'static {
    /// Returns the metrics in the `OpenMetrics` text format.
    fn metrics(&self) -> String;

    /// Returns the complete state of the process.
    fn dump(&self) -> Value;

    /// Returns a summary of the state.
    fn status(&self) -> Value;

    /// Starts a graceful shutdown. Further calls have no effect.
    fn drain(&self);
}

/// Serves connections from operators for the lifetime of the process.
pub async fn serve<S: OperatorSource>(listener: TcpListener, source: Arc<S>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Usually out of file descriptors, which may become free.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let source = Arc::clone(&source);
        tokio::spawn(async move {
            serve_connection(stream, source).await;
            drop(permit);
        });
    }
}

async fn serve_connection<S: OperatorSource>(stream: TcpStream, source: Arc<S>) {
    let handler = service::service_fn(move |request: Request<Incoming>| {
        let response = handle_request(&*source, request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let _ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

fn handle_request<S: OperatorSource>(
    source: &S,
    method: &Method,
    path: &str,
) -> Response<Full<Bytes>> {
    match (method, path) {
        (&Method::GET, METRICS_PATH) => response_with_body(
            StatusCode::OK,
            METRICS_CONTENT_TYPE,
            source.metrics().into_bytes(),
        ),
        (&Method::GET, DUMP_PATH) => json_response(StatusCode::OK, &source.dump()),
        (&Method::GET, STATUS_PATH) => json_response(StatusCode::OK, &source.status()),
        (&Method::POST, DRAIN_PATH) => {
            source.drain();
            json_response(
                StatusCode::ACCEPTED,
                &serde_json::json!({ "draining": true }),
            )
        }
        _ => json_response(
            StatusCode::NOT_FOUND,
            &serde_json::json!({ "error": { "code": "not_found", "message": format!("no endpoint for {method} {path}") } }),
        ),
    }
}

fn json_response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    response_with_body(status, "application/json", body.to_string().into_bytes())
}

fn response_with_body(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
