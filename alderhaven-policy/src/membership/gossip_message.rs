//! Gossip messages between members, and upper bounds of their encoded sizes.

use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use smallvec::SmallVec;

use crate::membership::member_record::{
    ConfigDigest, LoadLevel, MemberRecord, MemberState, MemberVersion,
};
use crate::membership::store_answer::StoreAnswer;

/// Number of buckets that a view is divided into for comparison; each has one hash.
pub const VIEW_BUCKETS: usize = 16;

/// Bytes reserved in each message for its header and body: an upper bound of their encoded size,
/// reached by the longest node name and a full set of bucket hashes.
pub const ENVELOPE_BYTES: usize = 393;

/// Upper bound of an encoded update without its name and record.
const UPDATE_OVERHEAD_BYTES: usize = 26;

/// Upper bound of an encoded record without its names and addresses.
const RECORD_OVERHEAD_BYTES: usize = 18;

/// Encoded bytes of an address besides its IP address: tag, length and port.
const ADDRESS_OVERHEAD_BYTES: usize = 4;

/// Upper bound of an encoded report group without its members.
const GROUP_OVERHEAD_BYTES: usize = 73;

/// Encoded bytes of one member in a report group.
const GROUP_MEMBER_BYTES: usize = 4;

/// One datagram between two members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipMessage {
    /// State of the sender at the time of sending.
    pub sender: SenderHeader,
    /// Request, reply or notification that the message was sent for.
    pub body: GossipBody,
    /// Piggybacked updates about members.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked reports of configurations in force.
    pub reports: Vec<ReportGroup>,
}

/// Self-description that a sender puts into each message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SenderHeader {
    /// Identifies the sender.
    pub node: NodeId,
    /// Current version of the sender.
    pub version: MemberVersion,
    /// Whether the sender has announced that it leaves.
    pub is_leaving: bool,
    /// Current utilization of the sender.
    pub load: LoadLevel,
    /// Configuration that the sender has in force.
    pub config: ConfigDigest,
    /// Hash of the sender's view; equal views have equal hashes.
    pub view_hash: u64,
    /// Latest answer of the store to any member that the sender knows of.
    pub store_answer: Option<StoreAnswer>,
}

/// Purpose of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipBody {
    /// Carries only piggybacked updates and reports.
    Updates,
    /// Asks the target for an acknowledgement.
    Ping {
        /// Repeated by the reply.
        sequence: u32,
        /// Member that is probed. Another member that now uses its address does not answer.
        target: NodeId,
    },
    /// Asks the receiver to probe a target on behalf of the sender.
    PingRequest {
        /// Repeated by the reply.
        sequence: u32,
        /// Member to probe.
        target: NodeId,
        /// Gossip address of the target.
        address: SocketAddr,
    },
    /// Acknowledges a ping or a ping request.
    Ack {
        /// Sequence number of the request.
        sequence: u32,
    },
    /// Asks for the members in the buckets whose hashes differ.
    SyncRequest {
        /// Repeated by the reply.
        sequence: u32,
        /// Last member of the previous chunk; `None` for the first chunk.
        after: Option<NodeId>,
        /// Hashes of all buckets of the sender's view.
        buckets: SmallVec<[u64; VIEW_BUCKETS]>,
    },
    /// Returns one chunk of members, as the updates of the message.
    SyncReply {
        /// Sequence number of the request.
        sequence: u32,
        /// Where the next chunk starts; `None` after the last chunk.
        continue_after: Option<NodeId>,
    },
}

/// State of one member at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// Member that the update is about.
    pub node: NodeId,
    /// Reported state.
    pub state: MemberState,
    /// Version that the state belongs to.
    pub version: MemberVersion,
    /// Present if the receiver may not know the member.
    pub record: Option<MemberRecord>,
}

impl MemberUpdate {
    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let record = self.record.as_ref().map_or(0, |record| {
            let names = [
                record.node.as_str(),
                record.host.as_str(),
                record.domain.as_str(),
            ];
            let addresses = std::iter::once(record.gossip_address)
                .chain(record.peer_address)
                .chain(record.caller_address);
            RECORD_OVERHEAD_BYTES
                + names.iter().map(|name| name.len()).sum::<usize>()
                + addresses.map(address_bytes).sum::<usize>()
        });
        UPDATE_OVERHEAD_BYTES + self.node.as_str().len() + record
    }
}

const fn address_bytes(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => ADDRESS_OVERHEAD_BYTES + 4,
        SocketAddr::V6(_) => ADDRESS_OVERHEAD_BYTES + 16,
    }
}

/// Processes that have the same configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportGroup {
    /// Configuration in force.
    pub config: ConfigDigest,
    /// Fingerprints of the processes.
    pub members: Vec<u32>,
}

impl ReportGroup {
    /// Returns an upper bound of the encoded size in bytes of a group of `members` members.
    #[must_use]
    pub const fn size_bound(members: usize) -> usize {
        GROUP_OVERHEAD_BYTES + members * GROUP_MEMBER_BYTES
    }
}

/// A message and its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingMessage {
    /// Gossip address of the receiver.
    pub to: SocketAddr,
    /// Message to encode and send.
    pub message: GossipMessage,
}
