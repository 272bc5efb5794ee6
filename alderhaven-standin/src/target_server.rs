//! One target: a listener of its own, with a connection limit and a cost of new connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use alderhaven_core::manifest::ReplicaEntry;
use alderhaven_platform::dialect;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::attempt_head::{AttemptHead, attempt_of};
use crate::http_server::{self, ConnectionCut, HttpReply, read_body, text_reply};
use crate::run_log::RunLog;
use crate::target_state::{TargetSpec, TargetState};

/// A `TargetServer` is a running target.
#[derive(Debug)]
pub struct TargetServer {
    state: Arc<TargetState>,
    address: SocketAddr,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

impl TargetServer {
    /// Starts a target on a free port of the loopback address.
    ///
    /// # Errors
    /// The operating system's error where no port can be bound.
    pub async fn start(spec: TargetSpec, runs: Arc<RunLog>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            state: Arc::new(TargetState::new(spec, runs)),
            stopping: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let accepting = accept_all(
            listener,
            Arc::clone(&server.state),
            server.stopping.clone(),
            server.tasks.clone(),
        );
        server.tasks.spawn(accepting);
        Ok(server)
    }

    /// Gets the target's state, for faults.
    #[must_use]
    pub const fn state(&self) -> &Arc<TargetState> {
        &self.state
    }

    /// Gets the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the target's line in a manifest.
    #[must_use]
    pub fn replica(&self) -> ReplicaEntry {
        let spec = self.state.spec();
        ReplicaEntry {
            target: spec.target.clone(),
            address: self.address,
            domain: spec.domain.clone(),
            slots: spec.slots,
            connections: spec.connections,
        }
    }

    /// Stops taking connections and waits for the attempts in flight.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept_all(
    listener: TcpListener,
    state: Arc<TargetState>,
    stopping: CancellationToken,
    tasks: TaskTracker,
) {
    let places = Arc::new(Semaphore::new(state.spec().connections as usize));
    while let Some(stream) = http_server::accept(&listener, &stopping).await {
        // A connection beyond the limit is closed at once.
        if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
            let connection = serve(stream, Arc::clone(&state), stopping.clone());
            tasks.spawn(async move {
                connection.await;
                drop(place);
            });
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<TargetState>, stopping: CancellationToken) {
    tokio::time::sleep(state.spec().connect_cost.as_duration()).await;
    let handler = move |request| handle(Arc::clone(&state), request);
    http_server::serve(stream, handler, stopping).await;
}

async fn handle(
    state: Arc<TargetState>,
    request: Request<Incoming>,
) -> Result<HttpReply, ConnectionCut> {
    let (parts, body) = request.into_parts();
    Ok(match (&parts.method, parts.uri.path()) {
        (&Method::POST, dialect::QUERY_PATH) => {
            let head = match AttemptHead::parse(&parts.headers) {
                Ok(head) => head,
                Err(header) => return Ok(bad_header(header)),
            };
            match read_body(body).await {
                Ok(body) => {
                    let parameters = String::from_utf8_lossy(&body).into_owned();
                    state.query(&head, parameters).await
                }
                Err(refusal) => refusal.reply(),
            }
        }
        (&Method::POST, dialect::CANCEL_PATH) => match attempt_of(&parts.headers) {
            Ok(attempt) if state.cancel(attempt) => text_reply(StatusCode::OK, ""),
            Ok(_) => text_reply(StatusCode::NOT_FOUND, "not in flight"),
            Err(header) => bad_header(header),
        },
        _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
    })
}

fn bad_header(header: &str) -> HttpReply {
    text_reply(
        StatusCode::BAD_REQUEST,
        format!("header `{header}` is missing or unreadable"),
    )
}
