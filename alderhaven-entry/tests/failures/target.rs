//! A target that can crash, and whose open connections can go silent.

use std::future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use alderhaven_standin::attempt_head::AttemptHead;
use alderhaven_standin::http_server::{
    ConnectionAborted, HttpReply, accept_connection, json_reply, read_body, serve_connection,
    text_reply,
};
use alderhaven_store::target_dialect;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Service time of an attempt.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// A running target.
pub struct FakeTarget {
    pub address: SocketAddr,
    state: Arc<FakeState>,
}

#[derive(Default)]
struct FakeState {
    /// Cancelled on a crash: closes the listener and all connections.
    crashed: CancellationToken,
    /// Increased when connections go silent. Connections of an earlier generation don't reply.
    generation: AtomicU64,
    started_count: AtomicUsize,
    running_count: AtomicUsize,
}

impl FakeTarget {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(FakeState::default());
        tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Self { address, state }
    }

    pub fn is_dead(&self) -> bool {
        self.state.crashed.is_cancelled()
    }

    /// Makes all open connections silent, without closing them.
    pub fn silence_connections(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Crashes the target.
    pub fn crash(&self) {
        self.state.crashed.cancel();
    }

    /// Returns the number of attempts that are running.
    pub fn running_count(&self) -> usize {
        self.state.running_count.load(Ordering::SeqCst)
    }

    /// Returns the number of attempts that were started.
    pub fn started_count(&self) -> usize {
        self.state.started_count.load(Ordering::SeqCst)
    }
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.state.crashed.cancel();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<FakeState>) {
    while let Some(stream) = accept_connection(&listener, &state.crashed).await {
        let crashed = state.crashed.clone();
        let connection = serve_one(stream, Arc::clone(&state));
        tokio::spawn(crashed.run_until_cancelled_owned(connection));
    }
}

async fn serve_one(stream: TcpStream, state: Arc<FakeState>) {
    let generation = state.generation.load(Ordering::SeqCst);
    let handler = move |request| handle_request(Arc::clone(&state), generation, request);
    serve_connection(stream, handler, CancellationToken::new()).await;
}

async fn handle_request(
    state: Arc<FakeState>,
    generation: u64,
    request: Request<Incoming>,
) -> Result<HttpReply, ConnectionAborted> {
    if state.generation.load(Ordering::SeqCst) != generation {
        future::pending::<()>().await;
    }
    let (head, body) = request.into_parts();
    if head.uri.path() == target_dialect::CANCEL_PATH {
        return Ok(text_reply(StatusCode::NOT_FOUND, "not in flight"));
    }
    let body = read_body(body).await.map_err(|_| ConnectionAborted)?;
    let parameters = String::from_utf8_lossy(&body).into_owned();
    state.started_count.fetch_add(1, Ordering::SeqCst);
    state.running_count.fetch_add(1, Ordering::SeqCst);
    if parameters.contains("stuck") {
        future::pending::<()>().await;
    }
    let slowdown = if parameters.contains("slow") { 25 } else { 1 };
    tokio::time::sleep(SERVICE_TIME * slowdown).await;
    state.running_count.fetch_sub(1, Ordering::SeqCst);
    if parameters.contains("poison") {
        state.crashed.cancel();
        return Err(ConnectionAborted);
    }
    let mut reply = json_reply(StatusCode::OK, &[1, 2, 3]);
    AttemptHead::parse(&head.headers)
        .map_err(|_| ConnectionAborted)?
        .echo_headers(&mut reply);
    Ok(reply)
}
