//! Framing of peer messages: a four-byte big-endian length, then the protobuf message.

use std::io;

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frames::{PeerFrame, PeerMessage};

/// Maximum size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Encodes and decodes peer messages on a byte stream.
///
/// An oversized or malformed frame is an error, on which the connection is closed.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self {
            length_codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
        }
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<PeerFrame>> {
        let Some(body) = self.length_codec.decode(source)? else {
            return Ok(None);
        };
        PeerFrame::decode(body.freeze())
            .map(Some)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
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
