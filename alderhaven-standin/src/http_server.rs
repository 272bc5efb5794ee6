//! The HTTP/1.1 server under the stand-ins, one task a connection.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The largest body of a request, in bytes: the largest object and some room.
pub const MAX_BODY_BYTES: usize = (1 << 20) + 4096;

/// A `HttpReply` is a whole reply.
pub type HttpReply = Response<Full<Bytes>>;

/// A `ConnectionCut` ends a connection without a reply.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is cut without a reply")
    }
}

impl std::error::Error for ConnectionAborted {}

/// A `ServerHandle` is a running server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop_token: CancellationToken,
    tasks: TaskTracker,
}

impl ServerHandle {
    /// Starts a server on `listen`; port 0 takes a free one.
    ///
    /// # Errors
    /// The operating system's error where the address can't be bound.
    pub async fn start<H, F>(listen: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<HttpReply, ConnectionAborted>> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let server = Self {
            address: listener.local_addr()?,
            stop_token: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let stopping = server.stop_token.clone();
        let tasks = server.tasks.clone();
        server.tasks.spawn(async move {
            while let Some(stream) = accept_connection(&listener, &stopping).await {
                tasks.spawn(serve_connection(stream, handler.clone(), stopping.clone()));
            }
        });
        Ok(server)
    }

    /// Gets the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking connections, lets the requests in flight finish and waits for them.
    pub async fn stop(&self) {
        self.stop_token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Accepts the next connection; none where the server stops.
pub async fn accept_connection(
    listener: &TcpListener,
    stopping: &CancellationToken,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Replies are small and written whole: waiting for more would only delay them.
                let _unsupported = stream.set_nodelay(true);
                return Some(stream);
            }
            // Out of file descriptors: later ones may be free again.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}

/// Serves one connection until its end, or until the requests in flight are done at a stop.
pub async fn serve_connection<H, F>(stream: TcpStream, handler: H, stopping: CancellationToken)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<HttpReply, ConnectionAborted>> + Send + 'static,
{
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handler));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A cut or broken connection is an everyday event of the stand-ins.
        _ended = connection.as_mut() => return,
        () = stopping.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Returns a reply with a JSON body.
pub fn json_reply(status: StatusCode, content: &impl Serialize) -> HttpReply {
    match serde_json::to_vec(content) {
        Ok(body) => build_reply(status, "application/json", Bytes::from(body)),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Returns a reply with a plain text.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> HttpReply {
    build_reply(status, "text/plain", Bytes::from(text.into()))
}

fn build_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    reply
}

/// A `BodyRefusal` says why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than [`MAX_BODY_BYTES`].
    TooLarge,
    /// The body was broken off.
    Truncated,
}

impl BodyError {
    /// Gets the reply that tells the caller.
    #[must_use]
    pub fn reply(self) -> HttpReply {
        match self {
            Self::TooLarge => text_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::Truncated => text_reply(StatusCode::BAD_REQUEST, "the body was broken off"),
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
/// `BodyRefusal` where the body is too large or broken off.
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Truncated),
    }
}

/// Gets a value of a query string by its name.
#[must_use]
pub fn query_parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
