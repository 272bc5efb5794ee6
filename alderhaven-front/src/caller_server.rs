//! Listeners for callers, the directory and metrics: accepts connections, applies limits and
//! closes connections during a drain.

use std::future::Future;
use std::sync::Arc;

use alderhaven_intake::connection_limit::ConnectionLimit;
use alderhaven_intake::connection_slot::ConnectionSlot;
use alderhaven_intake::lingering_stream::LingeringStream;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::{task, time};

use crate::caller_connection::CallerConnection;
use crate::caller_service;
use crate::directory_service;
use crate::front_context::FrontContext;
use crate::front_directory::FrontDirectory;
use crate::front_event::FrontEvent;
use crate::wire_dialect::WholeBody;

/// The smallest connection buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The longest time for the head of a directory query, a readiness probe or a scrape, idle time before it
/// included.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// The longest time for the last answer on a connection that was closed for a new one.
const REFUSAL_TIME: std::time::Duration = std::time::Duration::from_millis(500);

/// The delay after a failed accept, typically for lack of file descriptors.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Serves callers until the drain stops accepting requests.
pub async fn serve_callers(listener: TcpListener, context: FrontContext) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match context.intake.callers.admit() {
                    Some(slot) => {
                        tokio::spawn(serve_caller(stream, slot, context.clone()));
                        // Lets it read what has arrived before another one may replace it.
                        task::yield_now().await;
                    }
                    None => report_refused("callers"),
                },
                Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = context.stop.finishing() => return,
        }
    }
}

async fn serve_caller(stream: TcpStream, slot: ConnectionSlot, context: FrontContext) {
    // Disables Nagle's algorithm, which delays small answers.
    let _is_set = stream.set_nodelay(true);
    let (stream, socket) = LingeringStream::new(stream);
    let connection = CallerConnection {
        slot: Arc::new(slot),
        socket,
    };
    let serving = serve_requests(stream, &connection, context);
    let Some(_refusal) = serve_until_replaced(serving, &connection).await else {
        return;
    };
    connection.socket.close().await;
}

/// Serves a connection until it ends or is closed for a new one; `None` if it must close at once.
async fn serve_until_replaced(
    serving: impl Future<Output = ()>,
    connection: &CallerConnection,
) -> Option<OwnedSemaphorePermit> {
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        () = serving.as_mut() => return connection.slot.begin_refusal(),
        () = connection.slot.closed() => report_replaced("callers"),
    }
    let refusal = connection.slot.begin_refusal()?;
    if !connection.socket.is_kept() {
        return None;
    }
    // A request whose body is on the way still hears that it did not run.
    let _is_late = time::timeout(REFUSAL_TIME, serving).await.is_err();
    Some(refusal)
}

async fn serve_requests(
    stream: LingeringStream,
    connection: &CallerConnection,
    context: FrontContext,
) {
    let limits = context
        .catalog
        .view()
        .routing
        .as_ref()
        .map(|routing| routing.limits.clone());
    let limits = limits.unwrap_or_default();
    let stop = context.stop.clone();
    let service =
        service_fn(|request| caller_service::serve(context.clone(), connection.clone(), request));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time between requests towards the head of the next one.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).as_duration())
        .max_buf_size(limits.max_head.as_bytes().max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        // When a connection breaks, dropping it cancels its request and the attempts at targets.
        _ended = serving.as_mut() => return,
        () = stop.finishing() => serving.as_mut().graceful_shutdown(),
    }
    let _ended = serving.await;
}

fn report_refused(address: &'static str) {
    FrontEvent::ConnectionRefused { address }.emit(Level::Warn);
}

fn report_replaced(address: &'static str) {
    FrontEvent::ConnectionReplaced { address }.emit(Level::Warn);
}

/// Serves directory queries and readiness probes, for as long as the process runs.
pub async fn serve_directory(
    listener: TcpListener,
    limit: Arc<ConnectionLimit>,
    context: FrontContext,
    directory: FrontDirectory,
) {
    let answer = move |request: &Request<Incoming>| {
        directory_service::directory_response(&context, &directory, request)
    };
    serve_with(listener, limit, answer).await;
}

/// Serves metrics and status, for as long as the process runs.
pub async fn serve_metrics(listener: TcpListener, context: FrontContext) {
    let limit = Arc::clone(&context.intake.metrics);
    serve_with(listener, limit, move |request: &Request<Incoming>| {
        directory_service::metrics_response(&context, request)
    })
    .await;
}

async fn serve_with<A>(listener: TcpListener, limit: Arc<ConnectionLimit>, answer: A)
where
    A: Fn(&Request<Incoming>) -> Response<WholeBody> + Clone + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = limit.admit() else {
            report_refused("service");
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let _is_set = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                std::future::ready(Ok::<_, std::convert::Infallible>(answer(&request)))
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // The client may disconnect at any time; there is nothing to clean up.
                _ended = connection => {}
                () = slot.closed() => report_replaced("service"),
            }
        });
    }
}
