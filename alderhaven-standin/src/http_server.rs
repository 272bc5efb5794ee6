//! HTTP/1.1 server of the stand-ins, with one task per connection.

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

/// Upper bound of a request body: the largest object plus some overhead.
pub const MAX_BODY_BYTES: usize = (1 << 20) + 4096;

/// Response with a complete body.
pub type HttpReply = Response<Full<Bytes>>;

/// Makes the server close the connection without a response.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Running server; dropping the handle does not stop it.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop_token: CancellationToken,
    tasks: TaskTracker,
}

impl ServerHandle {
    /// Binds `listen` and serves requests by `handler`; port 0 selects a free one.
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
        let stop_token = server.stop_token.clone();
        let tasks = server.tasks.clone();
        server.tasks.spawn(async move {
            while let Some(stream) = accept_connection(&listener, &stop_token).await {
                tasks.spawn(serve_connection(
                    stream,
                    handler.clone(),
                    stop_token.clone(),
                ));
            }
        });
        Ok(server)
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, and waits until the requests in flight are answered.
    pub async fn stop(&self) {
        self.stop_token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Accepts the next connection; returns none once the server stops.
pub async fn accept_connection(
    listener: &TcpListener,
    stop_token: &CancellationToken,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = stop_token.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Replies are small and written in one piece; Nagle's algorithm would only delay
                // them.
                let _unsupported = stream.set_nodelay(true);
                return Some(stream);
            }
            // File descriptors are exhausted; retry, as some may be closed soon.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}

/// Serves a connection until it is closed; a stop lets the request in flight finish.
pub async fn serve_connection<H, F>(stream: TcpStream, handler: H, stop_token: CancellationToken)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<HttpReply, ConnectionAborted>> + Send + 'static,
{
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handler));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // Clients and faults close connections at any time, so errors are ignored.
        _ended = connection.as_mut() => return,
        () = stop_token.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Builds a response with a JSON body; a failure to serialize becomes status 500.
pub fn json_reply(status: StatusCode, content: &impl Serialize) -> HttpReply {
    match serde_json::to_vec(content) {
        Ok(body) => json_text_reply(status, body),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a response with a body that is JSON already.
#[must_use]
pub fn json_text_reply(status: StatusCode, body: Vec<u8>) -> HttpReply {
    build_reply(status, "application/json", Bytes::from(body))
}

/// Builds a plain text response.
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

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Exceeds [`MAX_BODY_BYTES`].
    TooLarge,
    /// The connection ended within the body.
    Truncated,
}

impl BodyError {
    /// Builds the error response.
    #[must_use]
    pub fn reply(self) -> HttpReply {
        match self {
            Self::TooLarge => text_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::Truncated => text_reply(StatusCode::BAD_REQUEST, "the body is incomplete"),
        }
    }
}

/// Reads a complete request body.
///
/// # Errors
/// [`BodyError`] where the body is too large or truncated.
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Truncated),
    }
}

/// Returns the first parameter called `name` of a query string, without decoding it.
#[must_use]
pub fn query_parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
