//! Listeners for callers, the directory and metrics: accepts connections, applies limits and
//! closes connections during a drain.

use std::io;
use std::net::SocketAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::caller_service;
use crate::directory_service;
use crate::front_context::FrontContext;
use crate::front_directory::FrontDirectory;
use crate::wire_dialect::WholeBody;

/// The accept backlog. When it is full the kernel drops SYN packets, and a retransmission takes a
/// second, which exceeds most deadlines.
const ACCEPT_BACKLOG: u32 = 1_024;

/// The smallest connection buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The longest time for the head of a directory query, a readiness probe or a scrape, idle time before it
/// included.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// The delay after a failed accept, typically for lack of file descriptors.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Opens a listener on an IPv4 address.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves callers until the drain stops accepting requests.
pub async fn serve_callers(listener: TcpListener, context: FrontContext) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve_caller(stream, context.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = context.stop.finishing() => return,
        }
    }
}

async fn serve_caller(stream: TcpStream, context: FrontContext) {
    // Disables Nagle's algorithm, which delays small answers.
    let _is_set = stream.set_nodelay(true);
    let limits = context
        .catalog
        .view()
        .routing
        .as_ref()
        .map(|routing| routing.limits.clone());
    let limits = limits.unwrap_or_default();
    let stop = context.stop.clone();
    let service = service_fn(|request| caller_service::serve(context.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time between requests towards the head of the next one.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).as_duration())
        .max_buf_size(limits.max_head.as_bytes().max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // When a connection breaks, dropping it cancels its request and the attempts at targets.
        _ended = connection.as_mut() => return,
        () = stop.finishing() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Serves directory queries and readiness probes, for as long as the process runs.
pub async fn serve_directory(
    listener: TcpListener,
    context: FrontContext,
    directory: FrontDirectory,
) {
    let answer = move |request: &Request<Incoming>| {
        directory_service::directory_response(&context, &directory, request)
    };
    serve_with(listener, answer).await;
}

/// Serves metrics and status, for as long as the process runs.
pub async fn serve_metrics(listener: TcpListener, context: FrontContext) {
    serve_with(listener, move |request: &Request<Incoming>| {
        directory_service::metrics_response(&context, request)
    })
    .await;
}

async fn serve_with<A>(listener: TcpListener, answer: A)
where
    A: Fn(&Request<Incoming>) -> Response<WholeBody> + Clone + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
                .serve_connection(TokioIo::new(stream), service);
            // The client may disconnect at any time; there is nothing to clean up.
            let _ended = connection.await;
        });
    }
}
