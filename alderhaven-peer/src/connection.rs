//! A connection between two processes: a reader of frames and a sender that writes in batches.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use alderhaven_core::logging;
use bytes::BytesMut;
use futures::StreamExt;
use log::Level;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec::{Encoder, FramedRead};

use crate::codec::FrameCodec;
use crate::frames::{PeerFrame, PeerMessage};

/// The most messages that one write carries; enough for all attempts of a query.
const MAX_BATCH_MESSAGES: usize = 256;
/// The most bytes that a write buffer keeps between two writes.
const MAX_RETAINED_BUFFER_BYTES: usize = 64 << 10;
/// The first capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The time after which a peer that takes no bytes is given up.
///
/// A connection whose path lost track of it accepts no more bytes once the kernel's buffer is full.
/// Without a bound the queue before it would grow for minutes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `FrameSender` queues messages for one connection; it is cheap to clone.
#[derive(Clone, Debug)]
pub struct FrameSender {
    queue: mpsc::UnboundedSender<PeerMessage>,
}

/// A `ConnectionClosed` says that a message was not sent because its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionClosed;

/// A `ConnectionEvent` is what the log says of a connection.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ConnectionEvent {
    /// A frame was too long or malformed; its connection is closed.
    MalformedFrame {
        peer: Option<SocketAddr>,
        reason: String,
    },
}

/// A `FrameReader` yields the frames that come in on one connection.
pub type FrameReader = FramedRead<OwnedReadHalf, FrameCodec>;

impl FrameSender {
    /// Queues a message.
    ///
    /// # Errors
    /// `ConnectionClosed` where the connection is closed: no byte of the message was sent.
    pub fn send(&self, message: PeerMessage) -> Result<(), ConnectionClosed> {
        self.queue.send(message).map_err(|_| ConnectionClosed)
    }

    /// Returns true where the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Splits a connection into its sender and its reader, and starts the task that writes.
///
/// # Errors
/// An error of the operating system where the socket's options can't be set.
pub fn split(stream: TcpStream) -> io::Result<(FrameSender, FrameReader)> {
    stream.set_nodelay(true)?;
    let (read_half, write_half) = stream.into_split();
    let (sender, queue) = mpsc::unbounded_channel();
    tokio::spawn(write_frames(write_half, queue));
    let reader = FramedRead::with_capacity(read_half, FrameCodec::default(), READ_BUFFER_BYTES);
    Ok((FrameSender { queue: sender }, reader))
}

/// Reads the next message; none where the connection ended or the peer sent a malformed frame.
pub async fn next_message(reader: &mut FrameReader) -> Option<PeerMessage> {
    loop {
        match reader.next().await {
            Some(Ok(PeerFrame {
                message: Some(message),
            })) => return Some(message),
            // A newer peer may send messages that are not known here; they are passed over.
            Some(Ok(PeerFrame { message: None })) => {}
            Some(Err(error)) => {
                log_malformed(reader, &error);
                return None;
            }
            None => return None,
        }
    }
}

/// Logs a frame that can't be read; a connection that merely broke is an everyday event.
fn log_malformed(reader: &FrameReader, error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        let event = ConnectionEvent::MalformedFrame {
            peer: reader.get_ref().peer_addr().ok(),
            reason: error.to_string(),
        };
        logging::emit(Level::Warn, &event);
    }
}

/// Empties a buffer, and gives back one that a large message has stretched: a node has dozens of
/// connections, and a large configuration crosses each of them once.
fn clear_buffer(buffer: &mut BytesMut) {
    if buffer.capacity() > MAX_RETAINED_BUFFER_BYTES {
        *buffer = BytesMut::new();
    } else {
        buffer.clear();
    }
}

async fn write_frames(
    mut write_half: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<PeerMessage>,
) {
    let mut messages = Vec::with_capacity(MAX_BATCH_MESSAGES);
    let mut buffer = BytesMut::new();
    let mut codec = FrameCodec::default();
    // All messages that wait go out in one write: under load a system call carries many frames.
    while queue.recv_many(&mut messages, MAX_BATCH_MESSAGES).await > 0 {
        for message in messages.drain(..) {
            if codec.encode(message, &mut buffer).is_err() {
                return;
            }
        }
        match time::timeout(WRITE_TIMEOUT, write_half.write_all(&buffer)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        clear_buffer(&mut buffer);
    }
}
