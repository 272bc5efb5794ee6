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
    const fn blocks(self, way: LinkDirection) -> bool {
        match self {
            Self::UpstreamBlocked => matches!(way, LinkDirection::Upstream),
            Self::DownstreamBlocked => matches!(way, LinkDirection::Downstream),
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
        let seen = mode.subscribe();
        let stopped = stopping.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accept_connections(listener, server, seen, stopped.clone()) => {}
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
    while let Ok((near, _)) = listener.accept().await {
        let (mode, stopped) = (mode.clone(), stopped.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = forward_connection(near, server, mode) => {}
            }
        });
    }
}

/// Passes one connection on until it ends or is reset.
async fn forward_connection(
    mut near: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut waiting = mode.clone();
    // A link that is silent takes the connection and passes nothing on.
    let is_open = waiting.wait_for(|mode| !mode.blocks(LinkDirection::Upstream));
    if is_open.await.is_err() {
        return;
    }
    if *mode.borrow() == LinkMode::Reset {
        reset_when_dropped(&near);
        return;
    }
    let Ok(mut far) = TcpStream::connect(server).await else {
        reset_when_dropped(&near);
        return;
    };
    // Messages are small and written whole: waiting for more would only delay them.
    let _unsupported = (near.set_nodelay(true), far.set_nodelay(true));
    let ways = mode.clone();
    let is_reset = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        tokio::select! {
            () = wait_for_reset(&mut mode) => true,
            () = forward_bytes(near_in, far_out, ways.clone(), LinkDirection::Upstream) => false,
            () = forward_bytes(far_in, near_out, ways, LinkDirection::Downstream) => false,
        }
    };
    if is_reset {
        reset_when_dropped(&near);
        reset_when_dropped(&far);
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
    way: LinkDirection,
) {
    let mut block = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut block).await {
            Ok(length) if length > 0 => length,
            // The end of one direction ends the connection: no side here uses half of one.
            _ => return,
        };
        let now = match mode.wait_for(|mode| !mode.blocks(way)).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let LinkMode::Delayed(delay) = now {
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
