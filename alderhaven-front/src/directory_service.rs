//! Responses to directory queries, readiness probes, metrics and status requests.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::front_context::FrontContext;
use crate::front_directory::FrontDirectory;
use crate::front_status::FrontStatus;
use crate::wire_dialect::WholeBody;

/// Responds to a directory query or a readiness probe; other paths are not found.
#[must_use]
pub fn directory_response(
    context: &FrontContext,
    directory: &FrontDirectory,
    request: &Request<Incoming>,
) -> Response<WholeBody> {
    let head = request_head(request);
    if let Some(query) = context.dialect.directory_query(&head) {
        let fronts = directory.choose_fronts(&query);
        if fronts.is_empty() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        return context.dialect.directory_response(&fronts, directory.ttl());
    }
    if context.dialect.is_readiness_probe(&head) {
        let is_ready = directory.is_ready();
        return empty_response(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    empty_response(StatusCode::NOT_FOUND)
}

/// The path at which metrics are scraped.
const METRICS_PATH: &str = "/metrics";

/// The path of the JSON status.
const STATUS_PATH: &str = "/status";

/// Responds to a request for metrics or status.
#[must_use]
pub fn metrics_response(
    context: &FrontContext,
    request: &Request<Incoming>,
) -> Response<WholeBody> {
    match request.uri().path() {
        METRICS_PATH => Response::new(WholeBody::from(context.encode_metrics())),
        STATUS_PATH => status_response(&FrontStatus::of(context)),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn status_response(status: &FrontStatus) -> Response<WholeBody> {
    match serde_json::to_vec(status) {
        Ok(body) => Response::new(WholeBody::from(body)),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn request_head(request: &Request<Incoming>) -> http::request::Parts {
    let mut head = Request::new(());
    *head.uri_mut() = request.uri().clone();
    *head.method_mut() = request.method().clone();
    head.into_parts().0
}

fn empty_response(status: StatusCode) -> Response<WholeBody> {
    let mut response = Response::new(WholeBody::default());
    *response.status_mut() = status;
    response
}
