//! Round trips of the exchange's messages.

use alderhaven_core::carry_state::CarryState;
use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_peer::exchange_messages::ExchangeFrame;
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ObjectStamp};
use prost::Message;

fn object(carry: CarryState) -> StoredObject {
    StoredObject {
        key: ObjectKey {
            kind: ObjectKind::Routing,
            name: "main".to_owned(),
        },
        version: StoreVersion {
            era: StoreEra(3),
            revision: 41,
            carry,
        },
        write_id: "w41".to_owned(),
        body: Some("{}".to_owned()),
    }
}

fn round_trip(message: ExchangeMessage) -> ExchangeMessage {
    let bytes = ExchangeFrame::from(message).encode_to_vec();
    let frame = ExchangeFrame::decode(bytes.as_slice()).expect("the frame can be decoded");
    frame.try_into().expect("the message is well-formed")
}

/// Guards against versions that lose their era on the way to a peer.
#[test]
fn messages_keep_whole_versions() {
    for carry in [CarryState::Stored, CarryState::Carried, CarryState::Dropped] {
        let object = object(carry);
        let messages = [
            ExchangeMessage::Announce {
                stamps: vec![ObjectStamp::from(&object)],
                hops: 2,
            },
            ExchangeMessage::Stamps {
                stamps: vec![ObjectStamp::from(&object)],
                continue_after: None,
                is_complete: true,
            },
            ExchangeMessage::Objects {
                objects: vec![object],
            },
        ];
        for message in messages {
            assert_eq!(round_trip(message.clone()), message);
        }
    }
}
