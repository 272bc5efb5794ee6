//! The messages of membership.

use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use smallvec::SmallVec;

use crate::membership::member_record::{
    ConfigDigest, LoadLevel, MemberRecord, MemberState, MemberVersion,
};
use crate::membership::store_answer::StoreAnswer;

/// The number of hashes that a view is split into for comparison.
pub const VIEW_BUCKETS: usize = 16;

/// The bytes kept free for a message's header and body, an upper bound of their encoded form: the
/// header has a name of at most 63 bytes and about 80 bytes of numbers, the largest body has a name
/// and sixteen hashes.
pub const ENVELOPE_BYTES: usize = 360;

/// The upper bound of an update's encoded form beside its name and record: its own length, the
/// name's length, a state and a version.
const UPDATE_OVERHEAD_BYTES: usize = 26;

/// The upper bound of a record's encoded form beside its names and addresses: their lengths, a role and a
/// capacity.
const RECORD_OVERHEAD_BYTES: usize = 18;

/// The bytes of an encoded address beside its IP number: tag, length and port.
const ADDRESS_OVERHEAD_BYTES: usize = 4;

/// The upper bound of a report group's encoded form beside its members.
const GROUP_OVERHEAD_BYTES: usize = 40;

/// The bytes of one member in a report group.
const GROUP_MEMBER_BYTES: usize = 4;

/// A `GossipMessage` is one datagram between two members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipMessage {
    /// Who sends it.
    pub sender: SenderHeader,
    /// What it asks or answers.
    pub body: GossipBody,
    /// News of members that travels with it.
    pub updates: Vec<MemberUpdate>,
    /// Configurations in force that travel with it.
    pub reports: Vec<ReportGroup>,
}

/// A `SenderHeader` is what a sender says of itself in each message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SenderHeader {
    /// The sender.
    pub node: NodeId,
    /// The sender's version.
    pub version: MemberVersion,
    /// Whether the sender leaves.
    pub is_leaving: bool,
    /// How busy the sender is.
    pub load: LoadLevel,
    /// The sender's configuration in force.
    pub config: ConfigDigest,
    /// The hash of the sender's view of the members.
    pub view_hash: u64,
    /// When the store last answered anyone, as far as the sender knows.
    pub store_answer: Option<StoreAnswer>,
}

/// A `GossipBody` is the closed set of what a message asks or answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipBody {
    /// The message only carries news.
    Updates,
    /// The sender asks the target to answer.
    Ping {
        /// The number that the answer repeats.
        sequence: u32,
        /// The member that is meant; another one that took over its address does not answer.
        target: NodeId,
    },
    /// The sender asks the receiver to probe a target.
    PingRequest {
        /// The number that the answer repeats.
        sequence: u32,
        /// The member to probe.
        target: NodeId,
        /// Its address.
        address: SocketAddr,
    },
    /// The answer to a ping or to a request for one.
    Ack {
        /// The number of the question.
        sequence: u32,
    },
    /// The sender asks for members of which its view differs.
    SyncRequest {
        /// The number that the answer repeats.
        sequence: u32,
        /// The last member of the chunk before; none for the first chunk.
        after: Option<NodeId>,
        /// The hashes of the parts of the sender's view.
        buckets: SmallVec<[u64; VIEW_BUCKETS]>,
    },
    /// One chunk of members, as the updates of the message.
    SyncReply {
        /// The number of the question.
        sequence: u32,
        /// The last member of the chunk where there are more; none for the last chunk.
        continue_after: Option<NodeId>,
    },
}

/// A `MemberUpdate` is one piece of news of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// Its state.
    pub state: MemberState,
    /// The version that the state is of.
    pub version: MemberVersion,
    /// The member's record where receivers may not know it.
    pub record: Option<MemberRecord>,
}

impl MemberUpdate {
    /// Gets an upper bound of the encoded size in bytes.
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

/// A `ReportGroup` names members that have the same configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportGroup {
    /// The configuration.
    pub config: ConfigDigest,
    /// The fingerprints of the members' processes.
    pub members: Vec<u32>,
}

impl ReportGroup {
    /// Gets an upper bound of the encoded size in bytes of a group of `members` members.
    #[must_use]
    pub const fn size_bound(members: usize) -> usize {
        GROUP_OVERHEAD_BYTES + members * GROUP_MEMBER_BYTES
    }
}

/// An `OutgoingMessage` is a message and the gossip address that it goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingMessage {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The message.
    pub message: GossipMessage,
}
