//! Protobuf messages of the configuration exchange, defined by hand for prost.

use alderhaven_core::carry_state::CarryState;
use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ObjectStamp};

use crate::malformed_message::MalformedMessage;

/// Wire form of an [`ExchangeMessage`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExchangeFrame {
    #[prost(oneof = "ExchangeWire", tags = "1, 2, 3, 4, 5")]
    message: Option<ExchangeWire>,
}

impl ExchangeFrame {
    /// Returns true if the receiver replies to the message.
    #[must_use]
    pub const fn expects_reply(&self) -> bool {
        matches!(
            self.message,
            Some(ExchangeWire::Compare(_) | ExchangeWire::Fetch(_))
        )
    }
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ExchangeWire {
    #[prost(message, tag = "1")]
    Announce(AnnounceWire),
    #[prost(message, tag = "2")]
    Compare(CompareWire),
    #[prost(message, tag = "3")]
    Stamps(StampsWire),
    #[prost(message, tag = "4")]
    Fetch(FetchWire),
    #[prost(message, tag = "5")]
    Objects(ObjectsWire),
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeyWire {
    #[prost(string, tag = "1")]
    kind: String,
    #[prost(string, tag = "2")]
    name: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StampWire {
    #[prost(message, optional, tag = "1")]
    key: Option<KeyWire>,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    era: u64,
    /// The number of the carry state.
    #[prost(uint32, tag = "4")]
    carry: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AnnounceWire {
    #[prost(message, repeated, tag = "1")]
    stamps: Vec<StampWire>,
    #[prost(uint32, tag = "2")]
    hops: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CompareWire {
    #[prost(fixed64, repeated, tag = "1")]
    buckets: Vec<u64>,
    #[prost(message, optional, tag = "2")]
    after: Option<KeyWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StampsWire {
    #[prost(message, repeated, tag = "1")]
    stamps: Vec<StampWire>,
    #[prost(message, optional, tag = "2")]
    continue_after: Option<KeyWire>,
    #[prost(bool, tag = "3")]
    is_complete: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FetchWire {
    #[prost(message, repeated, tag = "1")]
    keys: Vec<KeyWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ObjectsWire {
    #[prost(message, repeated, tag = "1")]
    objects: Vec<ObjectWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ObjectWire {
    #[prost(message, optional, tag = "1")]
    key: Option<KeyWire>,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    write_id: String,
    /// `None` for a tombstone.
    #[prost(string, optional, tag = "4")]
    body: Option<String>,
    #[prost(uint64, tag = "5")]
    era: u64,
    /// The number of the carry state.
    #[prost(uint32, tag = "6")]
    carry: u32,
}

impl From<ExchangeMessage> for ExchangeFrame {
    fn from(message: ExchangeMessage) -> Self {
        let message = match message {
            ExchangeMessage::Announce { stamps, hops } => ExchangeWire::Announce(AnnounceWire {
                stamps: stamps.into_iter().map(stamp_to_wire).collect(),
                hops,
            }),
            ExchangeMessage::Compare { buckets, after } => ExchangeWire::Compare(CompareWire {
                buckets,
                after: after.map(key_to_wire),
            }),
            ExchangeMessage::Stamps {
                stamps,
                continue_after,
                is_complete,
            } => ExchangeWire::Stamps(StampsWire {
                stamps: stamps.into_iter().map(stamp_to_wire).collect(),
                continue_after: continue_after.map(key_to_wire),
                is_complete,
            }),
            ExchangeMessage::Fetch { keys } => ExchangeWire::Fetch(FetchWire {
                keys: keys.into_iter().map(key_to_wire).collect(),
            }),
            ExchangeMessage::Objects { objects } => ExchangeWire::Objects(ObjectsWire {
                objects: objects.into_iter().map(object_to_wire).collect(),
            }),
        };
        Self {
            message: Some(message),
        }
    }
}

impl TryFrom<ExchangeFrame> for ExchangeMessage {
    type Error = MalformedMessage;

    fn try_from(frame: ExchangeFrame) -> Result<Self, MalformedMessage> {
        let message = frame
            .message
            .ok_or(MalformedMessage::InvalidField("message"))?;
        Ok(match message {
            ExchangeWire::Announce(wire) => Self::Announce {
                stamps: convert_all(wire.stamps, stamp_from_wire)?,
                hops: wire.hops,
            },
            ExchangeWire::Compare(wire) => Self::Compare {
                buckets: wire.buckets,
                after: wire.after.map(key_from_wire).transpose()?,
            },
            ExchangeWire::Stamps(wire) => Self::Stamps {
                stamps: convert_all(wire.stamps, stamp_from_wire)?,
                continue_after: wire.continue_after.map(key_from_wire).transpose()?,
                is_complete: wire.is_complete,
            },
            ExchangeWire::Fetch(wire) => Self::Fetch {
                keys: convert_all(wire.keys, key_from_wire)?,
            },
            ExchangeWire::Objects(wire) => Self::Objects {
                objects: convert_all(wire.objects, object_from_wire)?,
            },
        })
    }
}

fn convert_all<W, T>(
    wires: Vec<W>,
    read: impl Fn(W) -> Result<T, MalformedMessage>,
) -> Result<Vec<T>, MalformedMessage> {
    wires.into_iter().map(read).collect()
}

fn key_to_wire(key: ObjectKey) -> KeyWire {
    KeyWire {
        kind: key.kind.as_str().to_owned(),
        name: key.name,
    }
}

fn key_from_wire(wire: KeyWire) -> Result<ObjectKey, MalformedMessage> {
    let kind = wire.kind.parse();
    Ok(ObjectKey {
        kind: kind.map_err(|_| MalformedMessage::InvalidField("kind"))?,
        name: wire.name,
    })
}

fn required_key_from_wire(wire: Option<KeyWire>) -> Result<ObjectKey, MalformedMessage> {
    wire.ok_or(MalformedMessage::InvalidField("key"))
        .and_then(key_from_wire)
}

fn stamp_to_wire(stamp: ObjectStamp) -> StampWire {
    StampWire {
        key: Some(key_to_wire(stamp.key)),
        revision: stamp.version.revision,
        era: stamp.version.era.0,
        carry: stamp.version.carry.as_number(),
    }
}

fn stamp_from_wire(wire: StampWire) -> Result<ObjectStamp, MalformedMessage> {
    Ok(ObjectStamp {
        key: required_key_from_wire(wire.key)?,
        version: version_from_wire(wire.revision, wire.era, wire.carry)?,
    })
}

fn object_to_wire(object: StoredObject) -> ObjectWire {
    ObjectWire {
        key: Some(key_to_wire(object.key)),
        revision: object.version.revision,
        write_id: object.write_id,
        body: object.body,
        era: object.version.era.0,
        carry: object.version.carry.as_number(),
    }
}

fn object_from_wire(wire: ObjectWire) -> Result<StoredObject, MalformedMessage> {
    Ok(StoredObject {
        key: required_key_from_wire(wire.key)?,
        version: version_from_wire(wire.revision, wire.era, wire.carry)?,
        write_id: wire.write_id,
        body: wire.body,
    })
}

fn version_from_wire(
    revision: u64,
    era: u64,
    carry: u32,
) -> Result<StoreVersion, MalformedMessage> {
    let carry = CarryState::from_number(carry);
    Ok(StoreVersion {
        era: StoreEra(era),
        revision,
        carry: carry.ok_or(MalformedMessage::InvalidField("carry"))?,
    })
}
