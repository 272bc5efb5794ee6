//! Reads a connection in turns, so that one with much data doesn't hold up the others.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

/// Bytes after which a turn ends. A connection whose memory others need gives it up between two turns.
const TURN_BYTES: usize = 128 << 10;

/// The reading half of a connection.
#[derive(Debug)]
pub struct YieldingReader {
    read_half: OwnedReadHalf,
    bytes_in_turn: usize,
}

impl YieldingReader {
    /// Wraps the reading half of a connection.
    #[must_use]
    pub const fn new(read_half: OwnedReadHalf) -> Self {
        Self {
            read_half,
            bytes_in_turn: 0,
        }
    }

    /// Gets the address of the peer; `None` if the connection is closed.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.read_half.peer_addr().ok()
    }
}

impl AsyncRead for YieldingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes_in_turn >= TURN_BYTES {
            self.bytes_in_turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.read_half).poll_read(context, buffer);
        if poll.is_pending() {
            self.bytes_in_turn = 0;
        } else {
            self.bytes_in_turn += buffer.filled().len() - before;
        }
        poll
    }
}
