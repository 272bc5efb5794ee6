//! A loopback proxy that disturbs the connections through it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// A `LinkMode` is how a link treats what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// It passes everything on.
    #[default]
    Open,
    /// It passes everything on so much later.
    Delayed(Duration),
    /// What goes to the server is held up.
    #[serde(rename = "cut_forth")]
    UpstreamBlocked,
    /// What comes from the server is held up.
    #[serde(rename = "cut_back")]
    DownstreamBlocked,
    /// Both are held up, and new connections too.
    #[serde(rename = "silent")]
    Blocked,
    /// Open connections are reset, and new ones at once.
    Reset,
}

/// A `LinkWay` is one of the two directions.
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

/// A `LinkProxy` is a link to one server; it ends with the last of its clones.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _stop_guard: Arc<DropGuard>,
}

impl LinkProxy {
    /// Opens a link to `server`.
    ///
    /// # Errors
    /// The operating system's error where no port can be had.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(LinkMode::Open);
        let stopping = CancellationToken::new();
        let mode_receiver = mode.subscribe();
        let stopped = stopping.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accept_connections(listener, server, mode_receiver, stopped.clone()) => {}
            }
        });
        Ok(Self {
            address,
            mode,
            _stop_guard: Arc::new(stopping.drop_guard()),
        })
    }

    /// Gets where the server is reached through the link.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on the link treats everything so.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    stopped: CancellationToken,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (mode, stopped) = (mode.clone(), stopped.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = forward_connection(client, server, mode) => {}
            }
        });
    }
}

/// Passes one connection on until it ends or is reset.
async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut unblocked_mode = mode.clone();
    // A link that is silent takes the connection and passes nothing on.
    let is_unblocked = unblocked_mode.wait_for(|mode| !mode.blocks(LinkDirection::Upstream));
    if is_unblocked.await.is_err() {
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
    // Messages are small and written whole: waiting for more would only delay them.
    let _unsupported = (client.set_nodelay(true), upstream.set_nodelay(true));
    let copy_mode = mode.clone();
    let is_reset = {
        let (client_reader, client_writer) = client.split();
        let (upstream_reader, upstream_writer) = upstream.split();
        tokio::select! {
            () = wait_for_reset(&mut mode) => true,
            () = forward_bytes(client_reader, upstream_writer, copy_mode.clone(), LinkDirection::Upstream) => false,
            () = forward_bytes(upstream_reader, client_writer, copy_mode, LinkDirection::Downstream) => false,
        }
    };
    if is_reset {
        reset_when_dropped(&client);
        reset_when_dropped(&upstream);
    }
}

async fn wait_for_reset(mode: &mut watch::Receiver<LinkMode>) {
    let is_reset = mode.wait_for(|mode| *mode == LinkMode::Reset);
    if is_reset.await.is_err() {
        // The link's owner is gone: nothing will be reset any more.
        std::future::pending::<()>().await;
    }
}

async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    direction: LinkDirection,
) {
    let mut block = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut block).await {
            Ok(length) if length > 0 => length,
            // The end of one direction ends the connection: no side here uses half of one.
            _ => return,
        };
        let current = match mode.wait_for(|mode| !mode.blocks(direction)).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let LinkMode::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&block[..length]).await.is_err() {
            return;
        }
    }
}

/// Makes the system reset the connection when it is dropped, as a broken one is.
fn reset_when_dropped(stream: &TcpStream) {
    // Where it is refused the connection ends in order, which is a fault as well.
    let _refused = stream.set_zero_linger();
}
