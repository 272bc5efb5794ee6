//! The listeners towards callers: connections, their limits and their end.

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

/// The connections that may wait to be accepted. Where that queue is full the system drops the
/// packet, and the caller's next one comes a second later, after most deadlines.
const ACCEPT_BACKLOG: u32 = 1_024;

/// The least buffer of a connection that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The pause after a failed accept, which is out of descriptors in nearly all cases.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Opens a listener.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves callers' requests until the process takes nothing new.
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
    // Without it small answers wait for the acknowledgement of the last; refused by no system.
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
        // The library counts the time between two requests as part of the second one's head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).as_duration())
        .max_buf_size(limits.max_head.as_bytes().max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A connection that breaks off drops its request, and with it the attempts at targets.
        _ended = connection.as_mut() => return,
        () = stop.finishing() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Serves questions for fronts and for readiness, for as long as the process runs.
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

/// Serves the metrics, for as long as the process runs.
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
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // What the asker gets of it is up to the asker.
            let _ended = connection.await;
        });
    }
}
