//! What is said of a member: its record, its version and its configuration in force.

use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId, IncarnationNumber, NodeId, StoreVersion};
use serde::{Deserialize, Serialize};

/// A `MemberRole` says what a member does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// The member serves callers.
    Entry,
    /// The member holds connections to targets.
    Relay,
}

/// A `MemberRecord` is what does not change of a member while its process runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The member's id.
    pub node: NodeId,
    /// What it does.
    pub role: MemberRole,
    /// The host that it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The address for gossip (UDP) and exchange (TCP).
    pub gossip_address: SocketAddr,
    /// The address for attempts (TCP); none for an entry.
    pub peer_address: Option<SocketAddr>,
    /// The address for callers; none for a relay.
    pub caller_address: Option<SocketAddr>,
    /// The processor time that the member may use, in thousandths of a core; 0 where it is not known.
    #[builder(default)]
    #[serde(default)]
    pub capacity: CpuCapacity,
}

/// A `MemberVersion` orders what is said of one member; the higher one is the newer.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// The incarnation of the process; a restart has a higher one.
    #[serde(rename = "start")]
    pub incarnation: IncarnationNumber,
    /// How often the process has refuted news of its own death.
    pub refutation: u32,
}

/// A `MemberState` is what others believe of a member, in the order in which news of one version
/// override each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a probe and has not refuted it yet.
    Suspect,
    /// The member announced that it stops; it gets no new work.
    Leaving,
    /// The member is gone.
    Dead,
}

impl MemberState {
    /// Returns true where new work may be sent to the member.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A `ConfigDigest` is a short form of the configuration that a node has in force.
///
/// Two nodes with equal digests hold the same versions of the same objects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// The highest store version among the objects.
    pub highest: StoreVersion,
    /// The sum of all store versions, wrapping. Versions only rise, so the sum of one process only
    /// rises and tells its newer digest from its older one.
    #[serde(rename = "progress")]
    pub version_sum: u64,
    /// The exclusive or of the hashes of all objects' keys and versions.
    pub hash: u64,
}

/// A `LoadLevel` is how busy a member is, in thousandths of its capacity.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LoadLevel(pub u32);

/// A `CpuCapacity` is processor time in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CpuCapacity(pub u32);
