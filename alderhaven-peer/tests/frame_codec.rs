//! Tests of frames that arrive in parts.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_peer::codec::{FrameCodec, MAX_FRAME_BYTES};
use alderhaven_peer::frames::{PeerFrame, PeerMessage};
use alderhaven_peer::group_messages::GroupRequest;
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn request(number: u64, bytes: usize) -> PeerMessage {
    PeerMessage::GroupRequest(GroupRequest {
        number,
        body: Bytes::from(vec![7; bytes]),
        ..GroupRequest::default()
    })
}

fn encode(messages: &[PeerMessage]) -> BytesMut {
    let mut encoded = BytesMut::new();
    for message in messages {
        let result = FrameCodec::default().encode(message.clone(), &mut encoded);
        result.expect("the frame is not too large");
    }
    encoded
}

fn ledger(bytes: usize) -> Arc<ByteLedger> {
    let size = ByteSize::from_bytes(bytes);
    Arc::new(ByteLedger::new(size, ProcessClock::default()))
}

/// Decodes what arrives in pieces of the given sizes, which repeat.
fn decode(codec: &mut FrameCodec, encoded: &[u8], pieces: &[usize]) -> Vec<PeerMessage> {
    let mut source = BytesMut::new();
    let mut messages = Vec::new();
    let mut rest = encoded;
    for piece in pieces.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (arrived, later) = rest.split_at(rest.len().min(*piece));
        source.extend_from_slice(arrived);
        rest = later;
        while let Some(frame) = codec.decode(&mut source).expect("a valid frame") {
            messages.extend(frame.message);
        }
    }
    messages
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    // Frames around the size from which they are kept in parts must arrive whole, wherever they are cut.
    #[test]
    fn decode_any_pieces_bring_the_same_frames(
        sizes in proptest::collection::vec(prop_oneof![0..64_usize, 16_000..17_000_usize, 60_000..200_000_usize], 1..6),
        pieces in proptest::collection::vec(prop_oneof![1..64_usize, 1_000..100_000_usize], 1..8),
    ) {
        let messages: Vec<PeerMessage> = (0..).zip(&sizes).map(|(number, size)| request(number, *size)).collect();
        let encoded = encode(&messages);
        let ledger = ledger(16 << 20);
        let mut codec = FrameCodec::with_ledger(Arc::clone(&ledger));
        prop_assert_eq!(decode(&mut codec, &encoded, &pieces), messages);
        prop_assert_eq!(ledger.figures().held.as_bytes(), 0);
    }
}

// A frame that stops short of its end must give up its memory to another connection's.
#[test]
fn decode_held_frame_gives_way() {
    let ledger = ledger(4 << 20);
    let encoded = encode(&[request(1, 2 << 20)]);
    let mut held = FrameCodec::with_ledger(Arc::clone(&ledger));
    let mut source = BytesMut::from(&encoded[..encoded.len() - 1]);
    assert_eq!(
        held.decode(&mut source).expect("a valid frame"),
        None::<PeerFrame>
    );
    std::thread::sleep(std::time::Duration::from_millis(2));
    let mut other = FrameCodec::with_ledger(Arc::clone(&ledger));
    let mut source = BytesMut::from(&encoded[..encoded.len() - 1]);
    assert_eq!(
        other.decode(&mut source).expect("a valid frame"),
        None::<PeerFrame>
    );
    assert!(held.eviction().is_cancelled());
    assert!(!other.eviction().is_cancelled());
}

#[test]
fn decode_oversized_frame_is_an_error() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("the length fits");
    let mut source = BytesMut::from(&length.to_be_bytes()[..]);
    assert!(FrameCodec::default().decode(&mut source).is_err());
}
