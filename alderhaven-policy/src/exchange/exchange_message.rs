//! Messages of the exchange, and the actions that follow from them.

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::NodeId;
use alderhaven_core::store_version::StoreVersion;

/// Identifies one version of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectStamp {
    /// Object that the version belongs to.
    pub key: ObjectKey,
    /// Version that the store assigned.
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

/// Messages between two nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeMessage {
    /// Tells the receiver of new versions that the sender holds.
    Announce {
        /// Versions that the receiver may fetch.
        stamps: Vec<ObjectStamp>,
        /// Number of times that the versions may be announced further.
        hops: u32,
    },
    /// Asks for the versions in the buckets whose hashes differ.
    Compare {
        /// Hashes of all buckets of the sender's index.
        buckets: Vec<u64>,
        /// Last key of the previous chunk; `None` for the first chunk.
        after: Option<ObjectKey>,
    },
    /// Returns one chunk of the versions in the buckets that differ.
    Stamps {
        /// Versions that the sender holds.
        stamps: Vec<ObjectStamp>,
        /// Where the next chunk starts; `None` after the last chunk.
        continue_after: Option<ObjectKey>,
        /// Whether the sender holds the full configuration, rather than having just started.
        is_complete: bool,
    },
    /// Asks for objects.
    Fetch {
        /// Objects that the sender wants.
        keys: Vec<ObjectKey>,
    },
    /// Returns all or some of the requested objects.
    Objects {
        /// Objects that fit into one message.
        objects: Vec<StoredObject>,
    },
}

/// Actions that the caller has to carry out after a message or a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeOutput {
    /// Messages to send, with their receivers.
    pub send: Vec<(NodeId, ExchangeMessage)>,
    /// Objects to put in force.
    pub accept: Vec<StoredObject>,
}
