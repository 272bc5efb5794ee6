//! Connection between two processes: a frame reader, and a sender that writes in batches.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_intake::byte_ledger::ByteLedger;
use bytes::BytesMut;
use futures::StreamExt;
use log::Level;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec::{Encoder, FramedRead};

use crate::codec::FrameCodec;
use crate::frames::{PeerFrame, PeerMessage};
use crate::yielding_reader::YieldingReader;

/// Maximum number of messages in one write.
const MAX_BATCH_MESSAGES: usize = 256;
/// Maximum capacity of the write buffer that is kept between writes.
const MAX_RETAINED_BUFFER_BYTES: usize = 64 << 10;
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Time after which a connection is closed if its peer accepts no bytes.
///
/// A connection that was lost on the path without a reset accepts no more bytes once the kernel's
/// buffer is full. Without a bound its queue would grow for minutes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Default bytes of incomplete frames that a process holds.
const DEFAULT_FRAME_BUDGET: ByteSize = ByteSize::from_kib(16 << 10);

/// Accounts for the incomplete frames of all connections; process-wide, like the logger.
static FRAMES: OnceLock<Arc<ByteLedger>> = OnceLock::new();

/// Cheaply cloneable sender that queues messages for one connection.
#[derive(Clone, Debug)]
pub struct FrameSender {
    queue: mpsc::UnboundedSender<PeerMessage>,
}

/// Error for a message that was not sent because its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionClosed;

/// Log events of a connection.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ConnectionEvent {
    /// The memory for incomplete frames is used up, and this one occupied the most for the longest; its
    /// connection is closed.
    FrameEvicted { peer: Option<SocketAddr> },
    /// A frame was oversized or malformed; its connection is closed.
    MalformedFrame {
        peer: Option<SocketAddr>,
        reason: String,
    },
}

/// Stream of the frames received on one connection.
pub type FrameReader = FramedRead<YieldingReader, FrameCodec>;

impl FrameSender {
    /// Queues a message for sending.
    ///
    /// # Errors
    /// Returns `ConnectionClosed` if the connection is closed; no byte of the message was sent.
    pub fn send(&self, message: PeerMessage) -> Result<(), ConnectionClosed> {
        self.queue.send(message).map_err(|_| ConnectionClosed)
    }

    /// Returns true if the connection accepts no more messages.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Splits a connection into its sender and its reader, and spawns the task that writes.
///
/// # Errors
/// Returns the operating system's error if the socket's options can't be set.
pub fn split(stream: TcpStream) -> io::Result<(FrameSender, FrameReader)> {
    stream.set_nodelay(true)?;
    let (read_half, write_half) = stream.into_split();
    let (sender, queue) = mpsc::unbounded_channel();
    tokio::spawn(write_frames(write_half, queue));
    let codec = FrameCodec::with_ledger(Arc::clone(frame_ledger()));
    let read_half = YieldingReader::new(read_half);
    let reader = FramedRead::with_capacity(read_half, codec, READ_BUFFER_BYTES);
    Ok((FrameSender { queue: sender }, reader))
}

/// Reads the next message; `None` if the connection ended or the peer sent a malformed frame.
pub async fn next_message(reader: &mut FrameReader) -> Option<PeerMessage> {
    loop {
        let eviction = reader.decoder().eviction().clone();
        let frame = tokio::select! {
            biased;
            frame = reader.next() => frame,
            () = eviction.cancelled() => {
                logging::emit(Level::Warn, &ConnectionEvent::FrameEvicted { peer: reader.get_ref().peer_address() });
                return None;
            }
        };
        match frame {
            Some(Ok(PeerFrame {
                message: Some(message),
            })) => return Some(message),
            // Skips a message type that only newer versions know.
            Some(Ok(PeerFrame { message: None })) => {}
            Some(Err(error)) => {
                log_malformed(reader, &error);
                return None;
            }
            None => return None,
        }
    }
}

/// Gets the ledger of incomplete frames.
pub fn frame_ledger() -> &'static Arc<ByteLedger> {
    FRAMES.get_or_init(|| new_ledger(DEFAULT_FRAME_BUDGET))
}

/// Sets the bytes of incomplete frames that the process holds. Only the first call has an effect, and only
/// before the first connection.
pub fn set_frame_budget(budget: ByteSize) {
    let _is_first = FRAMES.set(new_ledger(budget)).is_ok();
}

fn new_ledger(budget: ByteSize) -> Arc<ByteLedger> {
    Arc::new(ByteLedger::new(budget, ProcessClock::default()))
}

/// Logs a frame that can't be decoded; other connection errors are ordinary and not logged.
fn log_malformed(reader: &FrameReader, error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        let event = ConnectionEvent::MalformedFrame {
            peer: reader.get_ref().peer_address(),
            reason: error.to_string(),
        };
        logging::emit(Level::Warn, &event);
    }
}

/// Clears the buffer, and frees one that a large message has grown, so that idle connections hold
/// little memory.
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
    // Writes all queued messages at once, which saves system calls under load.
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
