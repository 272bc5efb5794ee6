//! Keep-alive connections from callers to the entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::query_reply::ReplyContent;

type CallerSender = SendRequest<Full<Bytes>>;

/// Distributes requests over all entries round-robin, with idle connections per entry.
#[derive(Debug)]
pub struct CallerPool {
    entries: Vec<EntryConnections>,
    next_entry: AtomicUsize,
}

#[derive(Debug)]
struct EntryConnections {
    address: SocketAddr,
    idle_connections: Mutex<Vec<CallerSender>>,
}

impl CallerPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(entries: &[SocketAddr]) -> Self {
        let entries = entries.iter().map(|address| EntryConnections {
            address: *address,
            idle_connections: Mutex::default(),
        });
        Self {
            entries: entries.collect(),
            next_entry: AtomicUsize::new(0),
        }
    }

    /// Sends a request to the given entry, or to the next in turn, and waits for the complete
    /// reply.
    pub async fn post(&self, entry: Option<usize>, path: &str, body: Bytes) -> ReplyContent {
        let index = entry.unwrap_or_else(|| self.next_entry.fetch_add(1, Ordering::Relaxed));
        self.entries[index % self.entries.len()]
            .post(path, body)
            .await
    }
}

impl EntryConnections {
    async fn post(&self, path: &str, body: Bytes) -> ReplyContent {
        let mut request = self.build_request(path, body);
        loop {
            let idle = self.lock_idle().pop();
            let is_new = idle.is_none();
            let mut sender = match idle {
                Some(sender) => sender,
                None => match self.connect().await {
                    Some(sender) => sender,
                    None => return ReplyContent::Unsent,
                },
            };
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let Ok(body) = response.into_body().collect().await else {
                        return ReplyContent::Aborted;
                    };
                    self.lock_idle().push(sender);
                    return ReplyContent::Body(body.to_bytes());
                }
                // The entry closed an idle connection before the request was sent; retry on another
                // one.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return ReplyContent::Unsent,
                    None => return ReplyContent::Aborted,
                },
            }
        }
    }

    fn build_request(&self, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = path
            .parse()
            .expect("a template name is valid in a URI path");
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&self.address.to_string());
        headers.insert(
            HOST,
            host.expect("a socket address is a valid header value"),
        );
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request
    }

    async fn connect(&self) -> Option<CallerSender> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // An error of the connection is reported by the request on it.
        tokio::spawn(connection);
        Some(sender)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<CallerSender>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
