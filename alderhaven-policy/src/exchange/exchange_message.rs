//! The messages of the exchange.

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::{NodeId, StoreVersion};

/// An `ObjectStamp` names one version of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectStamp {
    /// The object.
    pub key: ObjectKey,
    /// Its store version.
    pub version: StoreVersion,
}

impl From<&StoredObject> for ObjectStamp {
    fn from(object: &StoredObject) -> Self {
        Self {
            key: object.key.clone(),
            version: object.version,
        }
    }
}

/// An `ExchangeMessage` is the closed set of messages.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeMessage {
    /// The sender holds these versions, which are new.
    Announce {
        /// The versions.
        stamps: Vec<ObjectStamp>,
        /// How many times the news may be announced on.
        hops: u32,
    },
    /// The sender asks what the receiver holds in the parts that differ.
    Compare {
        /// The hashes of the parts of the sender's objects.
        buckets: Vec<u64>,
        /// The last key of the chunk before; none for the first chunk.
        after: Option<ObjectKey>,
    },
    /// One chunk of what the sender holds in the parts that differ.
    Stamps {
        /// The versions.
        stamps: Vec<ObjectStamp>,
        /// The last key of the chunk where there are more; none for the last chunk.
        continue_after: Option<ObjectKey>,
        /// Whether the sender holds all that it could hear of, rather than having just started.
        is_complete: bool,
    },
    /// The sender wants these objects.
    Fetch {
        /// The objects.
        keys: Vec<ObjectKey>,
    },
    /// Some or all of the objects that were wanted.
    Objects {
        /// The objects.
        objects: Vec<StoredObject>,
    },
}

/// An `ExchangeStep` is what is to be done after a message or a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeOutput {
    /// The messages to send.
    pub send: Vec<(NodeId, ExchangeMessage)>,
    /// The objects to put in force.
    pub accept: Vec<StoredObject>,
}
