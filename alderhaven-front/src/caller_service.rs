//! Handles a caller's request: reads it, finds its route, refuses what can't run and starts the
//! query.

use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_intake::body_error::BodyError;
use alderhaven_intake::held_buffer::HeldBuffer;
use alderhaven_intake::held_bytes::HeldBytes;
use alderhaven_policy::byte_budget::HoldDestination;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Incoming};
use log::Level;
use tokio::time;

use crate::caller_check;
use crate::caller_connection::CallerConnection;
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::credit_check;
use crate::front_answer::{BadRequest, FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::front_event::FrontEvent;
use crate::query_call::QueryCall;
use crate::query_run::QueryRun;
use crate::request_refusal;
use crate::request_refusal::RequestRefusal;
use crate::stop_check;
use crate::suspect_check;
use crate::wire_dialect::{CallerHead, WholeBody};

use alderhaven_policy::drain::DrainState;

/// The minimum `Retry-After` of a front without a configuration.
const NO_CONFIG_RETRY_MIN: TimeSpan = TimeSpan::from_millis(150);
/// The maximum random addition to [`NO_CONFIG_RETRY_MIN`].
const NO_CONFIG_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(250);

/// The minimum `Retry-After` of a request for whose body there is no memory. Another front may have some.
const NO_MEMORY_RETRY_MIN: TimeSpan = TimeSpan::from_millis(100);
/// The maximum random addition to [`NO_MEMORY_RETRY_MIN`].
const NO_MEMORY_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(300);

/// The longest wait of a request for the first configuration. Refusing at once would send callers
/// to other fronts that are starting as well.
const MAX_CONFIG_WAIT: TimeSpan = TimeSpan::from_millis(600);

/// The share of the caller's timeout that the wait for a configuration may use; the rest is left
/// for another front.
const MAX_CONFIG_WAIT_FRACTION: f64 = 0.4;

/// A request whose head has arrived.
struct ArrivedRequest {
    caller_head: CallerHead,
    head: Parts,
    body: Incoming,
    arrived_at: TimePoint,
}

/// Answers one request of a caller.
///
/// # Errors
/// Never.
pub async fn serve(
    context: FrontContext,
    connection: CallerConnection,
    request: Request<Incoming>,
) -> Result<Response<WholeBody>, Infallible> {
    let _in_flight = context.stop.begin_request();
    let arrived_at = context.clock.now();
    let (head, body) = request.into_parts();
    let answer = answer_before_close(&context, &connection, head, body, arrived_at).await;
    if let FrontAnswer::Forwarded(reply) = &answer {
        reply.body.set_leaving(connection.slot.closing());
    }
    let has_unread_body = connection.socket.is_kept();
    let mut response = context.dialect.caller_response(answer);
    if has_unread_body || context.stop.state() != DrainState::Serving {
        // Makes the caller ask the directory for another front before its next request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Answers a request at the latest when the process gives its last answers.
async fn answer_before_close(
    context: &FrontContext,
    connection: &CallerConnection,
    head: Parts,
    body: Incoming,
    arrived_at: TimePoint,
) -> FrontAnswer {
    let caller_head = context.dialect.caller_head(&head);
    let request_id = caller_head.request_id.clone();
    let has_started = AtomicBool::new(false);
    let request = ArrivedRequest {
        caller_head,
        head,
        body,
        arrived_at,
    };
    let answer = answer(context, connection, request, &has_started);
    let mut answer = std::pin::pin!(answer);
    tokio::select! {
        biased;
        answer = &mut answer => return answer,
        () = context.stop.closing() => {}
    }
    if has_started.load(Ordering::Relaxed) {
        // The run observes the end of the process itself, and knows what was sent.
        answer.await
    } else {
        stop_check::refuse_waiting(context, &request_id)
    }
}

async fn answer(
    context: &FrontContext,
    connection: &CallerConnection,
    request: ArrivedRequest,
    has_started: &AtomicBool,
) -> FrontAnswer {
    let ArrivedRequest {
        caller_head,
        mut head,
        body,
        arrived_at,
    } = request;
    let CallerHead {
        request_id,
        time_left,
    } = caller_head;
    connection.socket.set_kept(!body.is_end_stream());
    let caller_timeout = time_left.unwrap_or(context.options.default_deadline);
    let limit = caller_timeout
        .mul_f64(MAX_CONFIG_WAIT_FRACTION)
        .min(MAX_CONFIG_WAIT);
    context.catalog.wait_for_start(limit).await;
    // The proofs cover a configuration that is read after their status. It may be the first one with
    // teams, which is not proven to be the newest yet.
    let lease = context.lease.proof_status();
    let view = context.catalog.view();
    let Some(routing) = view.routing.clone() else {
        return refuse_without_config(context, &request_id);
    };
    let site = site_name(&head);
    let Some(route) = view.find_route(&site, head.uri.path()).cloned() else {
        return refuse_bad_request(request_id, BadRequest::NoRoute, routing.version);
    };
    let identity = match caller_check::identify_caller(
        context,
        &view,
        &route,
        lease,
        &mut head,
        &request_id,
    ) {
        Ok(identity) => identity,
        Err(answer) => return *answer,
    };
    let limit = caller_timeout.min(route.rule.timeout).as_duration();
    let destination = route_destination(&route);
    let reading = read_body(context, body, routing.limits.max_body, destination);
    let read = tokio::select! {
        read = time::timeout(limit, reading) => read,
        () = connection.slot.closed() => {
            return refuse_body(context, request_id, ByteSize::default());
        }
    };
    let body = match read {
        Ok(Ok(body)) => body.into_bytes(),
        Ok(Err(BodyError::NoMemory { received })) => {
            return refuse_body(context, request_id, received);
        }
        Ok(Err(BodyError::TooLarge)) => {
            return refuse_bad_request(request_id, BadRequest::BodyTooLarge, routing.version);
        }
        Ok(Err(BodyError::Incomplete)) | Err(_) => {
            return refuse_bad_request(request_id, BadRequest::Unreadable, routing.version);
        }
    };
    connection.socket.set_kept(false);
    let _running = connection.slot.begin_run();
    let forwarded_head = context
        .dialect
        .forwarded_head(&head, identity.team_header());
    let Ok(forwarded_head) = forwarded_head else {
        return refuse_bad_request(request_id, BadRequest::Unreadable, routing.version);
    };
    let call = Arc::new(QueryCall {
        identity,
        head,
        forwarded_head,
        body,
        request_id: Arc::from(request_id),
        arrived_at,
        time_left: caller_timeout,
        known_fingerprint: OnceLock::new(),
    });
    run_call(context, &view, &route, &call, has_started).await
}

/// Runs a request that was read in full, unless it is refused.
async fn run_call(
    context: &FrontContext,
    view: &CatalogView,
    route: &LiveRoute,
    call: &Arc<QueryCall>,
    has_started: &AtomicBool,
) -> FrontAnswer {
    if let Err(answer) = stop_check::refuse_unfinishable(context, route, call) {
        return *answer;
    }
    if let Err(answer) = suspect_check::refuse_quarantined(context, route, call).await {
        return *answer;
    }
    let permit = match credit_check::take_credit(context, route, call).await {
        Ok(permit) => permit,
        Err(answer) => return *answer,
    };
    let answer = QueryRun::answer(context, view, route, call, has_started).await;
    if let (FrontAnswer::NotRun { .. }, Some(permit)) = (&answer, permit) {
        permit.refund();
    }
    answer
}

fn refuse_without_config(context: &FrontContext, request_id: &str) -> FrontAnswer {
    let refusal = RequestRefusal {
        request: request_id,
        reason: RefusalReason::NoConfiguration,
        retry_after: request_refusal::spread_retry(NO_CONFIG_RETRY_MIN, NO_CONFIG_RETRY_JITTER),
        team: None,
        version: None,
        lease: None,
    };
    refusal.answer_not_run(&context.metrics, Level::Warn)
}

fn refuse_bad_request(request_id: String, reason: BadRequest, version: u64) -> FrontAnswer {
    FrontEvent::RequestInvalid {
        request: request_id,
        reason,
        version,
        key: None,
    }
    .emit(Level::Info);
    FrontAnswer::BadRequest(reason)
}

/// Gets the site from the URI or the `Host` header, in lower case and without the port.
fn site_name(head: &Parts) -> String {
    let from_header = || head.headers.get(header::HOST)?.to_str().ok();
    let host = head.uri.host().or_else(from_header).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

async fn read_body(
    context: &FrontContext,
    body: Incoming,
    max: ByteSize,
    destination: HoldDestination,
) -> Result<HeldBytes, BodyError> {
    if body.is_end_stream() {
        return Ok(HeldBytes::default());
    }
    let mut buffer = HeldBuffer::new(Arc::clone(&context.intake.requests), max);
    buffer.read(body).await?;
    buffer.finish(Some(destination))
}

/// Gets the destination to which the bodies of a route's requests count.
fn route_destination(route: &LiveRoute) -> HoldDestination {
    let mut hasher = DefaultHasher::new();
    route.rule.name.hash(&mut hasher);
    HoldDestination(hasher.finish())
}

fn refuse_body(context: &FrontContext, request_id: String, received: ByteSize) -> FrontAnswer {
    let reason = RefusalReason::NoMemory;
    let retry_after = request_refusal::spread_retry(NO_MEMORY_RETRY_MIN, NO_MEMORY_RETRY_JITTER);
    context.metrics.observe_refusal(reason);
    FrontEvent::BodyRefused {
        request: request_id,
        received_bytes: received.as_bytes(),
        budget_bytes: context.intake.requests.figures().budget.as_bytes(),
        retry_after,
    }
    .emit(Level::Warn);
    FrontAnswer::NotRun {
        reason,
        retry_after,
    }
}
