//! Requests that callers hold open on a connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

/// The receive buffer of a caller that reads nothing, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 4 << 10;

/// The pause before a caller whose connection was closed comes back.
const RETURN_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two requests of a caller.
const SEND_PAUSE: Duration = Duration::from_millis(100);

/// What a caller sends before it stays.
#[derive(Clone, Debug)]
pub enum HeldRequest {
    /// These bytes, after which it reads what comes.
    Sent(Vec<u8>),
    /// These bytes, and it reads nothing.
    Unread(Vec<u8>),
    /// The same bytes several times with a pause after each, and it reads nothing.
    Paced(Vec<u8>, usize),
}

/// How a connection of such a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldEnd {
    /// With the answer that the request did not run, and when to come back.
    Refused,
    /// With another answer.
    Answered,
    /// Without an answer.
    Closed,
}

impl HeldRequest {
    /// Creates a body with a length, of which `sent` bytes are sent. A head is the lines without the
    /// empty one at its end.
    #[must_use]
    pub fn with_length(head: &str, length: usize, sent: usize) -> Self {
        let head = format!("{head}Content-Length: {length}\r\n\r\n");
        Self::Sent([head.as_bytes(), &vec![b'x'; sent]].concat())
    }

    /// Creates a chunked body of `count` chunks of `size` bytes, without the last chunk.
    #[must_use]
    pub fn in_chunks(head: &str, count: usize, size: usize) -> Self {
        let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = [
            format!("{size:x}\r\n").as_bytes(),
            &vec![b'x'; size],
            b"\r\n",
        ]
        .concat();
        Self::Sent([head.as_bytes(), &chunk.repeat(count)].concat())
    }

    /// Creates a head that goes on for `bytes` bytes and doesn't end.
    #[must_use]
    pub fn endless_head(head: &str, bytes: usize) -> Self {
        Self::Sent(format!("{head}X-Long: {}", "x".repeat(bytes)).into_bytes())
    }

    /// Creates whole requests without a body, whose answers aren't read.
    #[must_use]
    pub fn unread_requests(head: &str, count: usize) -> Self {
        Self::Unread(format!("{head}\r\n").repeat(count).into_bytes())
    }

    /// Creates whole requests without a body, one after another, whose answers aren't read.
    #[must_use]
    pub fn paced_requests(head: &str, count: usize) -> Self {
        Self::Paced(format!("{head}\r\n").into_bytes(), count)
    }

    /// Sends the request on one connection and stays until the front closes it.
    async fn hold(&self, address: SocketAddr) -> std::io::Result<HeldEnd> {
        let socket = TcpSocket::new_v4()?;
        match self {
            Self::Sent(bytes) => {
                let mut stream = socket.connect(address).await?;
                // The front may close before it has read everything; its answer still counts.
                let _is_sent = stream.write_all(bytes).await;
                Ok(read_end(stream).await)
            }
            Self::Unread(bytes) => send_and_stay(socket, address, bytes, 1).await,
            Self::Paced(bytes, count) => send_and_stay(socket, address, bytes, *count).await,
        }
    }

    /// Holds connections one after another, and passes the end of each to `record`.
    pub async fn hold_forever(&self, address: SocketAddr, record: impl Fn(HeldEnd)) {
        loop {
            if let Ok(end) = self.hold(address).await {
                record(end);
            }
            time::sleep(RETURN_PAUSE).await;
        }
    }
}

/// Sends bytes `count` times and reads nothing until the connection is reset.
async fn send_and_stay(
    socket: TcpSocket,
    address: SocketAddr,
    bytes: &[u8],
    count: usize,
) -> std::io::Result<HeldEnd> {
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
    let mut stream = socket.connect(address).await?;
    for _ in 0..count {
        stream.write_all(bytes).await?;
        time::sleep(SEND_PAUSE).await;
    }
    while !is_reset(&stream) {
        time::sleep(RETURN_PAUSE).await;
    }
    Ok(HeldEnd::Closed)
}

/// Returns true if the front has reset the connection, which needs no reading.
fn is_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

async fn read_end(mut stream: TcpStream) -> HeldEnd {
    let mut bytes = Vec::new();
    // A reset ends the reading like a close.
    let _is_reset = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    if text.starts_with("http/1.1 503") && text.contains("\r\nretry-after:") {
        HeldEnd::Refused
    } else if text.starts_with("http/1.1 ") {
        HeldEnd::Answered
    } else {
        HeldEnd::Closed
    }
}
