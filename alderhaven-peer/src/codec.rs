//! The framing of peer messages: a length of four bytes, then the prost message.

use std::io;

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frames::{PeerFrame, PeerMessage};

/// The largest frame that is accepted, in bytes: a reply of one shard with room to spare.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A `FrameCodec` turns bytes into peer messages and back.
///
/// A frame that is too long or malformed is an error of the connection, which is then closed; the
/// process goes on.
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
                format!("a frame of {length} bytes is above {MAX_FRAME_BYTES}"),
            ));
        }
        // The length prefix and the body are written straight into the connection's buffer.
        let prefix = u32::try_from(length).map_err(io::Error::other)?;
        destination.reserve(4 + length);
        destination.extend_from_slice(&prefix.to_be_bytes());
        frame.encode(destination).map_err(io::Error::other)
    }
}
