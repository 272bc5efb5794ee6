//! Framing of peer messages: a four-byte big-endian length, then the protobuf message.

use std::io;
use std::sync::Arc;

use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_intake::holding::{BudgetSpent, Holding};
use bytes::{Buf, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::frame_segments::FrameSegments;
use crate::frames::{PeerFrame, PeerMessage};

/// Maximum size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Frames from this size on are kept in parts and accounted for until they are complete. The memory of
/// smaller ones is bounded by the number of connections.
const LARGE_FRAME_BYTES: usize = 16 << 10;

/// Size of the parts in which a large frame is read.
const SEGMENT_BYTES: usize = 64 << 10;

/// Encodes and decodes peer messages on a byte stream.
///
/// An oversized or malformed frame is an error, on which the connection is closed.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    ledger: Option<Arc<ByteLedger>>,
    /// The large frame of which a part has arrived.
    large_frame: Option<LargeFrame>,
    eviction: CancellationToken,
}

/// A frame that is kept in parts until all of it has arrived.
#[derive(Debug)]
struct LargeFrame {
    segments: FrameSegments,
    length: usize,
    holding: Option<Holding>,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self {
            length_codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
            ledger: None,
            large_frame: None,
            eviction: CancellationToken::new(),
        }
    }
}

impl FrameCodec {
    /// Creates a codec whose incomplete frames are accounted for.
    #[must_use]
    pub fn with_ledger(ledger: Arc<ByteLedger>) -> Self {
        Self {
            ledger: Some(ledger),
            ..Self::default()
        }
    }

    /// Gets the token that is cancelled when others need the memory of the incomplete frame.
    #[must_use]
    pub const fn eviction(&self) -> &CancellationToken {
        &self.eviction
    }

    /// Begins a large frame at the start of `source`, if there is one that has not arrived in full.
    fn begin_large_frame(&mut self, source: &mut BytesMut) {
        let Some(length) = large_frame_length(source) else {
            return;
        };
        source.advance(LENGTH_BYTES);
        let holding = self
            .ledger
            .as_ref()
            .map(|ledger| Holding::with_eviction(ledger, self.eviction.clone()));
        self.large_frame = Some(LargeFrame {
            segments: FrameSegments::default(),
            length,
            holding,
        });
    }
}

impl LargeFrame {
    /// Moves what has arrived to the frame; returns true if it is complete.
    fn take_from(&mut self, source: &mut BytesMut) -> io::Result<bool> {
        self.segments
            .take_from(source, self.length - self.segments.len());
        let received = self.segments.len();
        if received == self.length {
            return Ok(true);
        }
        if let Some(holding) = &self.holding {
            let held = holding.resize(received);
            held.map_err(|BudgetSpent| {
                let reason = format!("no memory for frames after {received} bytes of this one");
                io::Error::new(io::ErrorKind::OutOfMemory, reason)
            })?;
        }
        source.reserve(SEGMENT_BYTES);
        Ok(false)
    }
}

/// Returns the length of the frame that `source` begins with if it is large, may be as long, and has not
/// arrived in full.
fn large_frame_length(source: &BytesMut) -> Option<usize> {
    let prefix = source.first_chunk::<LENGTH_BYTES>()?;
    let length = usize::try_from(u32::from_be_bytes(*prefix)).ok()?;
    let is_large = (LARGE_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length);
    (is_large && source.len() < LENGTH_BYTES + length).then_some(length)
}

fn decode_frame(body: impl Buf) -> io::Result<Option<PeerFrame>> {
    PeerFrame::decode(body)
        .map(Some)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<PeerFrame>> {
        if self.large_frame.is_none() {
            self.begin_large_frame(source);
        }
        if let Some(frame) = &mut self.large_frame {
            if !frame.take_from(source)? {
                return Ok(None);
            }
            let complete = self.large_frame.take().map(|frame| frame.segments);
            return decode_frame(complete.unwrap_or_default());
        }
        let Some(body) = self.length_codec.decode(source)? else {
            return Ok(None);
        };
        decode_frame(body.freeze())
    }
}

impl Encoder<PeerMessage> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, message: PeerMessage, destination: &mut BytesMut) -> io::Result<()> {
        let frame = PeerFrame {
            message: Some(message),
        };
        let length = frame.encoded_len();
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"),
            ));
        }
        // Writes prefix and body directly into the connection's buffer, without an intermediate
        // copy.
        let prefix = u32::try_from(length).map_err(io::Error::other)?;
        destination.reserve(4 + length);
        destination.extend_from_slice(&prefix.to_be_bytes());
        frame.encode(destination).map_err(io::Error::other)
    }
}
