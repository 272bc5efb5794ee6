//! Frames whose connection ends before they are complete.

use alderhaven_peer::codec::FrameCodec;
use alderhaven_peer::connection;
use alderhaven_peer::frames::{AttemptReply, PeerMessage};
use alderhaven_peer::group_messages::GroupReply;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Encoder;

#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    HalfClose,
    Reset,
}

/// Opens a connection within this process.
async fn open_connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (
        near.expect("the connection opens"),
        far.expect("the connection is accepted").0,
    )
}

/// Returns the bytes of a message on the wire.
fn encode(message: &PeerMessage) -> BytesMut {
    let mut bytes = BytesMut::new();
    let encoded = FrameCodec::default().encode(message.clone(), &mut bytes);
    encoded.expect("the message fits into a frame");
    bytes
}

/// Sends the bytes and ends the connection. Returns the messages that the other side reads.
async fn read_until_end(bytes: &[u8], end: ConnectionEnd) -> Vec<PeerMessage> {
    let (near, mut far) = open_connection().await;
    let (_sender, mut reader) = connection::split(near).expect("the connection splits");
    far.write_all(bytes).await.expect("the connection is open");
    let half_closed = match end {
        ConnectionEnd::Close => {
            drop(far);
            None
        }
        ConnectionEnd::HalfClose => {
            far.shutdown().await.expect("the connection is open");
            Some(far)
        }
        ConnectionEnd::Reset => {
            far.set_zero_linger().expect("the connection can be reset");
            drop(far);
            None
        }
    };
    let mut messages = Vec::new();
    while let Some(message) = connection::next_message(&mut reader).await {
        messages.push(message);
    }
    drop(half_closed);
    messages
}

fn replies() -> [PeerMessage; 2] {
    let attempt = AttemptReply {
        rows: b"[[1],[2]]".to_vec().into(),
        ..AttemptReply::default()
    };
    let group = GroupReply {
        number: 7,
        ..GroupReply::default()
    };
    [PeerMessage::Reply(attempt), PeerMessage::GroupReply(group)]
}

/// Guards against replies of relays and of other fronts that are taken for whole although their
/// connection ended within them, also after a whole one.
#[tokio::test]
async fn frame_that_ends_early_is_no_message() {
    for message in replies() {
        let frame = encode(&message);
        for end in [
            ConnectionEnd::Close,
            ConnectionEnd::HalfClose,
            ConnectionEnd::Reset,
        ] {
            for length in 0..frame.len() {
                let messages = read_until_end(&frame[..length], end).await;
                assert!(messages.is_empty(), "{length} bytes, {end:?}: {messages:?}");
                let after_whole = [&frame[..], &frame[..length]].concat();
                let messages = read_until_end(&after_whole, end).await;
                // A reset may take received bytes along.
                let is_reset = matches!(end, ConnectionEnd::Reset);
                let is_whole = messages == [message.clone()];
                assert!(
                    is_whole || (is_reset && messages.is_empty()),
                    "{length} bytes, {end:?}: {messages:?}"
                );
            }
        }
    }
}
