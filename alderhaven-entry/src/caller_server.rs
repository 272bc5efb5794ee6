//! HTTP server for callers: queries, health and the list of entries.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use alderhaven_intake::body_error::BodyError;
use alderhaven_intake::connection_slot::ConnectionSlot;
use alderhaven_intake::head_account::HeadAccount;
use alderhaven_intake::held_buffer::HeldBuffer;
use alderhaven_intake::held_bytes::HeldBytes;
use alderhaven_intake::metered_stream::MeteredStream;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_policy::admit_decision::{Refusal, RefusalReason};
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_policy::drain::DrainState;
use alderhaven_policy::drain_admission;
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_store::HttpStore;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::admission_controller::AdmissionController;
use crate::answer::{ErrorAnswer, ErrorCode, QueryAnswer};
use crate::applied_config::AppliedConfig;
use crate::caller_intake::CallerIntake;
use crate::claimed_runner::ClaimedRunner;
use crate::entry_directory::EntryDirectory;
use crate::metrics::EntryMetrics;
use crate::query_plan::{QueryPlan, QueryRequest};
use crate::query_runner::QueryRunner;
use crate::request_record::{REQUEST_ID_HEADER, RequestId, RequestRecord};
use crate::settings::EntryLimits;
use crate::template_runs::TemplateRuns;

/// Ratio of hyper's buffer to the head limit. Heads up to it get an [`ErrorAnswer`]; larger ones
/// are rejected by hyper itself.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Number of connections above the limit that receive an error reply at the same time.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Time limit for sending that reply.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of request bytes that are read and discarded after the reply, so that it isn't lost.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// `retry_after_ms` of a refused connection. Callers should try another entry first.
const REFUSED_CONNECTION_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);
/// `retry_after_ms` of a request for whose body there is no memory. Callers should try another entry first.
const NO_MEMORY_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(200);
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Prefix of the query paths; the template's name follows.
const QUERY_PREFIX: &str = "/v1/query/";
/// Path that reports whether the entry serves or drains.
const HEALTH_PATH: &str = "/v1/health";
/// Path that lists the entries to use.
const ENTRIES_PATH: &str = "/v1/entries";
/// `retry_after_ms` of an entry without a complete configuration.
const NO_CONFIG_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);
/// `retry_after_ms` of a stopping entry. Callers should use another one.
const STOPPING_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(20);
/// Header with the key of a non-idempotent request, a `UUIDv7`.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// An open connection of a caller.
struct CallerConnection {
    slot: ConnectionSlot,
    heads: Arc<HeadAccount>,
}

/// Handles the requests of callers.
#[derive(Debug)]
pub struct CallerService {
    /// Limits on connections and on the size of requests.
    pub limits: EntryLimits,
    /// What is held of callers' requests and answers, and their connections.
    pub intake: Arc<CallerIntake>,
    /// The newest configuration from the store.
    pub config: ConfigHandle,
    /// The configuration on which queries are planned.
    pub applied: AppliedConfig,
    /// Admits or refuses queries.
    pub admission: Arc<AdmissionController>,
    /// Runs idempotent queries.
    pub runner: Arc<QueryRunner>,
    /// Runs non-idempotent requests, each at most once.
    pub claimed_runner: Arc<ClaimedRunner<HttpStore>>,
    /// Counters and histograms of this entry.
    pub metrics: Arc<EntryMetrics>,
    /// The group of entries and relays.
    pub group: NodeGroup,
    /// Phase of the entry's shutdown, and the requests in flight.
    pub stop: StopHandle,
    /// How long the queries of each template run; non-idempotent ones are not recorded.
    pub runs: TemplateRuns,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Tasks of the open connections.
    pub connections: TaskTracker,
    /// Answers which entries a caller should use.
    pub directory: EntryDirectory,
}

/// Accepts connections from callers until the entry no longer accepts requests.
///
/// A connection above the limit replaces the one that has waited the longest to send its first request. If
/// there is none, it receives an error and is closed, so that its caller can try another entry instead of
/// waiting. If too many are being refused already, it is closed without a reply.
pub async fn serve(listener: TcpListener, caller_service: Arc<CallerService>) {
    let refusals = Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = caller_service.stop.finishing() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Probably out of file descriptors. Some may be free after the delay.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(slot) = caller_service.intake.connections.admit() {
            let connections = caller_service.connections.clone();
            let (has_read, reading) = oneshot::channel();
            let caller_service = Arc::clone(&caller_service);
            connections.spawn(serve_connection(stream, slot, caller_service, has_read));
            // Lets it read what has arrived, so that a burst of connections takes memory one by one.
            let _has_read = reading.await;
            continue;
        }
        caller_service.metrics.refused_connections.inc();
        if let Ok(refusal) = Arc::clone(&refusals).try_acquire_owned() {
            tokio::spawn(async move {
                let _ended = time::timeout(REFUSAL_TIMEOUT, refuse_connection(stream)).await;
                drop(refusal);
            });
        }
    }
}

/// Sends the error reply for a connection above the limit.
async fn refuse_connection(mut stream: TcpStream) -> io::Result<()> {
    let answer = ErrorAnswer::not_run(ErrorCode::Overloaded, "too many connections are open")
        .with_retry_after(REFUSED_CONNECTION_RETRY_AFTER);
    let status = answer.error.code.status();
    let body = serde_json::to_string(&answer).unwrap_or_default();
    let reply = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing with unread data would reset the connection, and the caller could lose the reply.
    let mut unread = stream.take(MAX_DISCARDED_BYTES);
    tokio::io::copy(&mut unread, &mut tokio::io::sink()).await?;
    Ok(())
}

async fn serve_connection(
    stream: TcpStream,
    slot: ConnectionSlot,
    caller_service: Arc<CallerService>,
    has_read: oneshot::Sender<()>,
) {
    let closing = slot.closing().clone();
    let mut serving = std::pin::pin!(serve_requests(stream, slot, caller_service));
    let has_ended = futures::poll!(serving.as_mut()).is_ready();
    drop(has_read);
    if has_ended {
        return;
    }
    tokio::select! {
        () = serving => {}
        () = closing.cancelled() => {}
    }
}

async fn serve_requests(
    stream: TcpStream,
    slot: ConnectionSlot,
    caller_service: Arc<CallerService>,
) {
    let _without_nagle = stream.set_nodelay(true);
    let limits = caller_service.limits.clone();
    let stop = caller_service.stop.clone();
    let ledger = Arc::clone(&caller_service.intake.heads);
    let heads = Arc::new(HeadAccount::new(ledger, slot.closing().clone()));
    let stream = MeteredStream::new(stream, Arc::clone(&heads));
    let connection = Arc::new(CallerConnection { slot, heads });
    let answering = service::service_fn(move |request| {
        let caller_service = Arc::clone(&caller_service);
        let connection = Arc::clone(&connection);
        async move { Ok::<_, Infallible>(caller_service.answer(request, &connection).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout.as_duration())
        .max_buf_size((HEAD_BUFFER_FACTOR * limits.head.as_bytes()).max(8 << 10))
        .serve_connection(TokioIo::new(stream), answering);
    tokio::pin!(connection);
    // hyper answers malformed requests and closes only their connection.
    tokio::select! {
        _ended = &mut connection => {}
        () = stop.finishing() => {
            // The request in flight is answered before the connection is closed.
            connection.as_mut().graceful_shutdown();
            let _ended = connection.await;
        }
    }
}

impl CallerService {
    /// Answers one request. Every reply carries the request's id.
    async fn answer(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<Full<Bytes>> {
        let _in_flight = self.stop.begin_request();
        connection.heads.end_head();
        connection.slot.protect();
        let mut record = RequestRecord::new(RequestId::from_headers(request.headers()));
        let mut response = match self.route(request, connection, &mut record).await {
            Ok(response) => response,
            Err(error) => {
                self.metrics.observe_error(error.error.code);
                record.log(&error);
                error_response(&error)
            }
        };
        let headers = response.headers_mut();
        headers.insert(REQUEST_ID_HEADER, record.id.header_value());
        if self.stop.state() != DrainState::Serving {
            // Tells the caller to send no further request on this connection. A request sent while
            // the connection is being closed would have an unknown outcome.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        connection.heads.end_request();
        connection.heads.begin_head();
        self.hold_answer(response, connection).await
    }

    /// Accounts for an answer until its caller has taken it. If others need the memory, the connection is
    /// closed.
    async fn hold_answer(
        &self,
        response: Response<Full<Bytes>>,
        connection: &CallerConnection,
    ) -> Response<Full<Bytes>> {
        let (head, body) = response.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(never) => match never {},
        };
        let answer = HeldBytes::account(body, &self.intake.answers);
        answer.set_leaving(connection.slot.closing());
        Response::from_parts(head, Full::new(answer.into_bytes()))
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
        record: &mut RequestRecord,
    ) -> Result<Response<Full<Bytes>>, ErrorAnswer> {
        if head_bytes(&request) > self.limits.head.as_bytes() {
            return Err(ErrorAnswer::not_run(
                ErrorCode::TooLarge,
                format!("a head has at most {}", self.limits.head),
            ));
        }
        let path = request.uri().path().to_owned();
        if let Some(template) = path.strip_prefix(QUERY_PREFIX) {
            check_method(&request, &Method::POST)?;
            return self
                .answer_query(template, request, connection, record)
                .await;
        }
        if path == HEALTH_PATH {
            check_method(&request, &Method::GET)?;
            let health = serde_json::json!({ "status": self.stop.state() });
            return Ok(json_response(StatusCode::OK, &health));
        }
        if path == ENTRIES_PATH {
            check_method(&request, &Method::GET)?;
            let answer = self.directory.answer(&self.group, request.uri().query())?;
            return Ok(json_response(StatusCode::OK, &answer));
        }
        Err(ErrorAnswer::not_run(
            ErrorCode::NotFound,
            format!("there is no {path}"),
        ))
    }

    async fn answer_query(
        &self,
        template: &str,
        request: Request<Incoming>,
        connection: &CallerConnection,
        record: &mut RequestRecord,
    ) -> Result<Response<Full<Bytes>>, ErrorAnswer> {
        let arrived_at = Instant::now();
        let (head, body) = request.into_parts();
        let body = self.read_body(body).await?;
        connection.heads.end_request();
        let query = QueryRequest::parse(&body)?;
        let view = self.applied.view();
        let token = bearer_token(&head.headers);
        let plan = QueryPlan::build(&view, template, query, token, arrived_at)
            .map_err(|error| self.explain_missing_config(error, &view))?;
        record.record_plan(&plan);
        let class = plan.template.class;
        let key = if plan.template.idempotent {
            None
        } else {
            Some(idempotency_key(&head.headers)?)
        };
        self.check_remaining_time(&plan)?;
        self.metrics.in_flight.inc();
        let answer = self.answer_before_close(plan, key).await;
        self.metrics.in_flight.dec();
        let outcome = answer
            .as_ref()
            .map_or_else(|error| error.error.code.outcome(), |answer| answer.outcome);
        let seconds = arrived_at.elapsed().as_secs_f64();
        self.metrics.observe_query(class, outcome, seconds);
        Ok(json_response(StatusCode::OK, &answer?))
    }

    /// Replaces `NotFound` by `Unavailable` while the configuration may be incomplete.
    ///
    /// An entry that starts while the store is down learns its configuration from its peers. Until
    /// then, and until every part has applied it, a missing template doesn't mean that it does not
    /// exist. The error is kept only if the query was planned on the current view and the
    /// configuration was complete before.
    fn explain_missing_config(
        &self,
        error: ErrorAnswer,
        planned_on: &Arc<ConfigView>,
    ) -> ErrorAnswer {
        if error.error.code != ErrorCode::NotFound {
            return error;
        }
        let is_complete = self.config.complete_revision().is_some() || self.group.is_complete();
        if is_complete && Arc::ptr_eq(planned_on, &self.config.view()) {
            return error;
        }
        let message = "this entry does not know its configuration yet";
        ErrorAnswer::not_run(ErrorCode::Unavailable, message)
            .with_retry_after(NO_CONFIG_RETRY_AFTER)
    }

    /// Refuses a query that would probably still run when a stopping entry gives its final answers.
    fn check_remaining_time(&self, plan: &QueryPlan) -> Result<(), ErrorAnswer> {
        let Some(run_time) = self.stop.remaining_run_time() else {
            return Ok(());
        };
        let now = self.clock.now();
        let time_left = now.until(self.clock.time_point(plan.expires_at()));
        let longest = self.runs.longest_run(&plan.template.name);
        if drain_admission::can_finish(run_time, time_left, longest) {
            Ok(())
        } else {
            Err(stopping_answer())
        }
    }

    /// Answers a query at the latest when a stopping entry gives its final answers.
    async fn answer_before_close(
        &self,
        plan: QueryPlan,
        key: Option<ClaimKey>,
    ) -> Result<QueryAnswer, ErrorAnswer> {
        let is_idempotent = key.is_none();
        let has_started = AtomicBool::new(false);
        let answer = async {
            match key {
                None => self.admit_and_run(&plan, &has_started).await,
                Some(key) => {
                    // Its task goes on by itself, so that nobody knows whether it is sent yet.
                    has_started.store(true, Ordering::Relaxed);
                    self.claimed_runner.answer(key, plan).await
                }
            }
        };
        tokio::select! {
            biased;
            answer = answer => answer,
            () = self.stop.closing() => Err(match (has_started.load(Ordering::Relaxed), is_idempotent) {
                (false, _) => stopping_answer(),
                (true, true) => ErrorAnswer::may_have_run(
                    ErrorCode::Failed,
                    "the entry stopped before the query was answered",
                ),
                (true, false) => ErrorAnswer::may_have_run(
                    ErrorCode::Unknown,
                    "the entry stopped before the request was answered",
                ),
            }),
        }
    }

    /// Runs an idempotent query. Sets `has_started` before anything is sent.
    async fn admit_and_run(
        &self,
        plan: &QueryPlan,
        has_started: &AtomicBool,
    ) -> Result<QueryAnswer, ErrorAnswer> {
        self.runner.check_quarantine(plan)?;
        let mut permit = self.admission.admit(plan).await.map_err(refusal_answer)?;
        // The wait for admission may have used up the time that a stop leaves.
        self.check_remaining_time(plan)?;
        has_started.store(true, Ordering::Relaxed);
        let run = self.runs.begin(&plan.template.name);
        let answer = self.runner.run(plan, &mut permit).await;
        if let Some(run) = run {
            run.end(answer.is_ok());
        }
        answer
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ErrorAnswer> {
        let limits = &self.limits;
        let mut buffer = HeldBuffer::new(Arc::clone(&self.intake.bodies), limits.body);
        let read = time::timeout(limits.read_timeout.as_duration(), buffer.read(body)).await;
        let held = match read {
            Ok(read) => read.and_then(|()| buffer.finish(None)),
            Err(_) => {
                return Err(ErrorAnswer::not_run(
                    ErrorCode::BadRequest,
                    format!("the body did not come within {}", limits.read_timeout),
                ));
            }
        };
        held.map(HeldBytes::into_bytes)
            .map_err(|error| match error {
                BodyError::TooLarge => too_large_body(limits.body),
                BodyError::Incomplete => ErrorAnswer::not_run(
                    ErrorCode::BadRequest,
                    format!("the body can't be read: {error}"),
                ),
                BodyError::NoMemory { .. } => {
                    ErrorAnswer::not_run(ErrorCode::Overloaded, error.to_string())
                        .with_retry_after(NO_MEMORY_RETRY_AFTER)
                }
            })
    }
}

fn stopping_answer() -> ErrorAnswer {
    ErrorAnswer::not_run(ErrorCode::Unavailable, "the entry is stopping")
        .with_retry_after(STOPPING_RETRY_AFTER)
}

pub(crate) fn refusal_answer(refusal: Refusal) -> ErrorAnswer {
    let message = match refusal.reason {
        RefusalReason::TeamRate => "the team's request rate is exhausted",
        RefusalReason::TeamInFlight => "the team's limit of queries in flight is reached",
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

fn too_large_body(limit: ByteSize) -> ErrorAnswer {
    ErrorAnswer::not_run(ErrorCode::TooLarge, format!("a body has at most {limit}"))
}

fn check_method<B>(request: &Request<B>, allowed: &Method) -> Result<(), ErrorAnswer> {
    if request.method() == allowed {
        return Ok(());
    }
    Err(ErrorAnswer::not_run(
        ErrorCode::MethodNotAllowed,
        format!("{} is refused: allowed is {allowed}", request.method()),
    ))
}

/// Returns the size of the request line and all headers on the wire, separators included.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let headers = request.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let uri = request.uri();
    let target = uri.path().len() + uri.query().map_or(0, |query| query.len() + 1);
    request.method().as_str().len() + target + " HTTP/1.1\r\n\r\n ".len() + lines.sum::<usize>()
}

/// Returns the bearer token, or `None` if the header is absent, malformed or repeated.
fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut given = headers.get_all(header::AUTHORIZATION).iter();
    let (value, None) = (given.next()?, given.next()) else {
        return None;
    };
    let (scheme, token) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("Bearer").then_some(token)
}

fn error_response(answer: &ErrorAnswer) -> Response<Full<Bytes>> {
    let mut response = json_response(answer.error.code.status(), answer);
    if answer.error.code == ErrorCode::Unauthorized {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
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
