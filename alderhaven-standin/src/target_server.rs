//! A target with its own listener, a connection limit and a delay of new connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::manifest::ReplicaEntry;
use alderhaven_store::target_dialect;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::attempt_head::{AttemptHead, parse_attempt_id};
use crate::http_server::{self, ConnectionAborted, HttpReply, read_body, text_reply};
use crate::run_log::RunLog;
use crate::target_spec::TargetSpec;
use crate::target_state::TargetState;

/// Delay between attempts to rebind the address after a crash.
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Running target.
#[derive(Debug)]
pub struct TargetServer {
    state: Arc<TargetState>,
    address: SocketAddr,
    stop_token: CancellationToken,
    tasks: TaskTracker,
}

impl TargetServer {
    /// Starts a target on a free loopback port.
    ///
    /// # Errors
    /// The operating system's error where no port can be bound.
    pub async fn start(spec: TargetSpec, run_log: Arc<RunLog>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            state: Arc::new(TargetState::new(spec, run_log)),
            stop_token: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let context = TargetContext {
            state: Arc::clone(&server.state),
            stop_token: server.stop_token.clone(),
            tasks: server.tasks.clone(),
        };
        server
            .tasks
            .spawn(serve_until_stopped(listener, server.address, context));
        Ok(server)
    }

    /// Returns the target's state, to inject faults.
    #[must_use]
    pub const fn state(&self) -> &Arc<TargetState> {
        &self.state
    }

    /// Returns the bound address, which stays the same after a crash.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target's entry of a manifest.
    #[must_use]
    pub fn replica_entry(&self) -> ReplicaEntry {
        let spec = self.state.spec();
        ReplicaEntry {
            target: spec.target.clone(),
            address: self.address,
            domain: spec.domain.clone(),
            slots: spec.slots,
            connections: spec.connections,
        }
    }

    /// Returns true once [`TargetServer::stop`] was called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_token.is_cancelled()
    }

    /// Stops accepting connections, and waits for the attempts in flight.
    pub async fn stop(&self) {
        self.stop_token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Shared by the tasks of one target.
#[derive(Clone)]
struct TargetContext {
    state: Arc<TargetState>,
    stop_token: CancellationToken,
    tasks: TaskTracker,
}

/// Accepts connections until the stop; after a crash the same address is bound again.
async fn serve_until_stopped(
    mut listener: TcpListener,
    address: SocketAddr,
    context: TargetContext,
) {
    loop {
        let crash_token = context.state.lifecycle().start();
        tokio::select! {
            biased;
            () = crash_token.cancelled() => {}
            () = accept_connections(&listener, &context, &crash_token) => return,
        }
        drop(listener);
        let downtime = context.state.lifecycle().downtime();
        match context
            .stop_token
            .run_until_cancelled(rebind(address, downtime))
            .await
        {
            Some(rebound) => listener = rebound,
            None => return,
        }
    }
}

/// Waits for the downtime, then binds the address; retries while it is in use.
async fn rebind(address: SocketAddr, downtime: Duration) -> TcpListener {
    tokio::time::sleep(downtime).await;
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_RETRY_DELAY).await;
    }
}

async fn accept_connections(
    listener: &TcpListener,
    context: &TargetContext,
    crash_token: &CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(context.state.spec().connections as usize));
    while let Some(stream) = http_server::accept_connection(listener, &context.stop_token).await {
        // Connections above the limit are closed at once.
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            let connection = serve_connection(stream, context.clone());
            let crash_token = crash_token.clone();
            context.tasks.spawn(async move {
                crash_token.run_until_cancelled(connection).await;
                drop(permit);
            });
        }
    }
}

async fn serve_connection(stream: TcpStream, context: TargetContext) {
    let silence_token = context.state.lifecycle().silence_token();
    tokio::time::sleep(context.state.spec().connect_cost.as_duration()).await;
    let stop_token = context.stop_token.clone();
    let handler = move |request| {
        let (context, silence_token) = (context.clone(), silence_token.clone());
        async move {
            // A silenced connection delivers no requests to the target and no replies to the
            // caller.
            if silence_token.is_cancelled() {
                return withhold_reply(&context.stop_token).await;
            }
            let reply = handle_request(context.state, request).await;
            if silence_token.is_cancelled() {
                return withhold_reply(&context.stop_token).await;
            }
            reply
        }
    };
    http_server::serve_connection(stream, handler, stop_token).await;
}

async fn withhold_reply(stop_token: &CancellationToken) -> Result<HttpReply, ConnectionAborted> {
    stop_token.cancelled().await;
    Err(ConnectionAborted)
}

async fn handle_request(
    state: Arc<TargetState>,
    request: Request<Incoming>,
) -> Result<HttpReply, ConnectionAborted> {
    let (parts, body) = request.into_parts();
    Ok(match (&parts.method, parts.uri.path()) {
        (&Method::POST, target_dialect::QUERY_PATH) => {
            let head = match AttemptHead::parse(&parts.headers) {
                Ok(head) => head,
                Err(header) => return Ok(bad_header_reply(header)),
            };
            match read_body(body).await {
                Ok(body) => {
                    let parameters = String::from_utf8_lossy(&body).into_owned();
                    state.handle_attempt(&head, parameters).await
                }
                Err(error) => error.reply(),
            }
        }
        (&Method::POST, target_dialect::CANCEL_PATH) => match parse_attempt_id(&parts.headers) {
            Ok(attempt) if state.cancel(attempt) => text_reply(StatusCode::OK, ""),
            Ok(_) => text_reply(StatusCode::NOT_FOUND, "the attempt is not in flight"),
            Err(header) => bad_header_reply(header),
        },
        _ => text_reply(StatusCode::NOT_FOUND, "unknown path or method"),
    })
}

fn bad_header_reply(header: &str) -> HttpReply {
    text_reply(
        StatusCode::BAD_REQUEST,
        format!("header `{header}` is missing or malformed"),
    )
}
