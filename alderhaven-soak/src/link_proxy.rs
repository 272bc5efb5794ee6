//! A TCP proxy on loopback that delays, blocks or resets the connections through it.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// How a link handles its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Forwards everything.
    #[default]
    Open,
    /// Forwards everything, and delays each block that it reads.
    Delayed(Duration),
    /// Holds back bytes to the server until the mode changes.
    #[serde(rename = "cut_forth")]
    UpstreamBlocked,
    /// Holds back bytes from the server until the mode changes.
    #[serde(rename = "cut_back")]
    DownstreamBlocked,
    /// Holds back bytes in both directions; new connections are accepted but not forwarded.
    #[serde(rename = "silent")]
    Blocked,
    /// Resets open connections, and new ones when they are accepted.
    Reset,
}

/// The direction of transfer: to the server (upstream) or from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkDirection {
    Upstream,
    Downstream,
}

impl LinkMode {
    const fn blocks(self, direction: LinkDirection) -> bool {
        match self {
            Self::UpstreamBlocked => matches!(direction, LinkDirection::Upstream),
            Self::DownstreamBlocked => matches!(direction, LinkDirection::Downstream),
            Self::Blocked => true,
            Self::Open | Self::Delayed(_) | Self::Reset => false,
        }
    }
}

/// When bytes were last forwarded to the server.
type LastRequest = Arc<Mutex<Option<Instant>>>;

/// A link to one server. It closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    last_request: LastRequest,
    _stop_guard: Arc<DropGuard>,
}

impl LinkProxy {
    /// Opens a link to `server`.
    ///
    /// # Errors
    /// The operating system's error if no port can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(LinkMode::Open);
        let stop_token = CancellationToken::new();
        let mode_receiver = mode.subscribe();
        let last_request = LastRequest::default();
        let recorded_request = Arc::clone(&last_request);
        let accept_stop_token = stop_token.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = accept_stop_token.cancelled() => {}
                () = accept_connections(listener, server, mode_receiver, recorded_request, accept_stop_token.clone()) => {}
            }
        });
        Ok(Self {
            address,
            mode,
            last_request,
            _stop_guard: Arc::new(stop_token.drop_guard()),
        })
    }

    /// Returns the address at which clients reach the server through the link.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns when bytes were last forwarded to the server.
    #[must_use]
    pub fn last_request_at(&self) -> Option<Instant> {
        *lock(&self.last_request)
    }

    /// Changes the mode of open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    last_request: LastRequest,
    stop_token: CancellationToken,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (mode, stop_token) = (mode.clone(), stop_token.clone());
        let last_request = Arc::clone(&last_request);
        tokio::spawn(async move {
            tokio::select! {
                () = stop_token.cancelled() => {}
                () = forward_connection(client, server, mode, last_request) => {}
            }
        });
    }
}

/// Forwards one connection until it ends or is reset.
async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
    last_request: LastRequest,
) {
    let mut unblocked_mode = mode.clone();
    // While requests are blocked, the connection is accepted but none is opened to the server.
    let unblocked = unblocked_mode.wait_for(|mode| !mode.blocks(LinkDirection::Upstream));
    if unblocked.await.is_err() {
        return;
    }
    if *mode.borrow() == LinkMode::Reset {
        reset_when_dropped(&client);
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(server).await else {
        reset_when_dropped(&client);
        return;
    };
    // Messages are small and written whole, so Nagle's algorithm would only delay them.
    let _unsupported = (client.set_nodelay(true), upstream.set_nodelay(true));
    let modes = mode.clone();
    let is_reset = {
        let (client_in, client_out) = client.split();
        let (upstream_in, upstream_out) = upstream.split();
        tokio::select! {
            () = wait_for_reset(&mut mode) => true,
            () = forward_bytes(
                client_in,
                upstream_out,
                modes.clone(),
                LinkDirection::Upstream,
                Some(last_request),
            ) => false,
            () = forward_bytes(
                upstream_in,
                client_out,
                modes,
                LinkDirection::Downstream,
                None,
            ) => false,
        }
    };
    if is_reset {
        reset_when_dropped(&client);
        reset_when_dropped(&upstream);
    }
}

async fn wait_for_reset(mode: &mut watch::Receiver<LinkMode>) {
    let reset = mode.wait_for(|mode| *mode == LinkMode::Reset);
    if reset.await.is_err() {
        // The link was dropped, so no reset can follow.
        std::future::pending::<()>().await;
    }
}

async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    direction: LinkDirection,
    last_request: Option<LastRequest>,
) {
    let mut block = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut block).await {
            Ok(length) if length > 0 => length,
            // The end of one direction ends the connection: neither side uses half-closed
            // connections.
            _ => return,
        };
        let current = match mode.wait_for(|mode| !mode.blocks(direction)).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let LinkMode::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if let Some(last_request) = &last_request {
            *lock(last_request) = Some(Instant::now());
        }
        if to.write_all(&block[..length]).await.is_err() {
            return;
        }
    }
}

fn lock(last_request: &LastRequest) -> MutexGuard<'_, Option<Instant>> {
    last_request.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the operating system send a reset when the connection is dropped.
fn reset_when_dropped(stream: &TcpStream) {
    // If this fails, the connection is closed in order, which is a fault as well.
    let _refused = stream.set_zero_linger();
}
